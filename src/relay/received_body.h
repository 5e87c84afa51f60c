#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace kingcuptiller::internal {

// A body type for boost::beast::http parsers that grows with the bytes that arrive.
// boost::beast::http::string_body reserves the announced length at once, so that clients which
// announce large bodies would take memory without sending anything.
struct received_body
{
    // boost::beast requires these names.
    // NOLINTBEGIN(readability-identifier-naming)
    using value_type = std::string;

    class reader
    {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields> & /*head*/, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> & /*length*/,
                  boost::system::error_code &errorCode)
        {
            errorCode = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &errorCode)
        {
            errorCode = {};
            const std::size_t sizeBefore = m_body.size();
            for (const auto buffer : boost::beast::buffers_range_ref(buffers))
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
            return m_body.size() - sizeBefore;
        }

        void finish(boost::system::error_code &errorCode) { errorCode = {}; }

    private:
        value_type &m_body;
    };
    // NOLINTEND(readability-identifier-naming)
};

} // namespace kingcuptiller::internal
