#pragma once

#include "kingcuptiller/relay/http_types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace kingcuptiller {

// The body of a request that is handled while it is still being received. It keeps all bytes, so
// that the request can be sent again after an upstream has stated that it has not run it. Not
// thread-safe.
class request_body
{
public:
    // `bytes` is appended to by the reader of the request. `announcedBytes` is the length that the
    // client has announced; nothing for a chunked body.
    request_body(boost::asio::io_context &context, std::shared_ptr<const std::string> bytes,
                 std::optional<std::uint64_t> announcedBytes);

    // Tells the waiting writers that bytes have been appended.
    void notifyAppended();
    // The last byte has been received.
    void complete();
    // The rest will not come: the client has broken off, the body exceeds a limit, or the rest is
    // not needed.
    void abort();
    // The reader of the request does not touch the connection any more.
    void endReading();

    // The bytes so far. Further ones may move them in memory.
    [[nodiscard]] const std::string &bytes() const { return *m_bytes; }
    [[nodiscard]] std::optional<std::uint64_t> announcedBytes() const { return m_announcedBytes; }
    [[nodiscard]] bool isComplete() const { return m_state == body_state::complete; }
    [[nodiscard]] bool isAborted() const { return m_state == body_state::aborted; }

    // Waits until there are more than `knownBytes`, or the body is complete or aborted.
    [[nodiscard]] boost::asio::awaitable<void> waitForMore(std::size_t knownBytes);
    // Waits for `endReading`.
    [[nodiscard]] boost::asio::awaitable<void> waitForReader();

private:
    enum class body_state { receiving, complete, aborted };

    void wakeWaiters();
    [[nodiscard]] boost::asio::awaitable<void> waitForChange();

    boost::asio::io_context &m_context;
    std::shared_ptr<const std::string> m_bytes;
    std::optional<std::uint64_t> m_announcedBytes;
    body_state m_state = body_state::receiving;
    bool m_isReading = true;
    std::set<boost::asio::steady_timer *> m_waiters;
};

} // namespace kingcuptiller
