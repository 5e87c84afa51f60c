#pragma once

#include <boost/beast/http/message.hpp>

#include <optional>
#include <string_view>

// Decides whether what a peer sent is a response by the protocol. All readers of responses ask
// here, beside the checks of the parser: an upstream in trouble sends what looks like a response,
// and what the parser tolerates would reach the client.

namespace kingcuptiller {

using response_head = boost::beast::http::response_header<>;

// Returns the fault of a response head, or nothing if it is well formed: a status from 100 to 999
// that the request can lead to, field names and values of permitted characters, and an unambiguous
// length.
[[nodiscard]] std::optional<std::string_view> findFault(const response_head &head);

// How a request and the connection stood when the body of its response ended with the connection.
struct connection_end
{
    // All bytes of the request have been written.
    bool requestWritten = false;
    // Writing the request has failed. The failure may have been the reset that also ended the
    // body: the operating system reports a reset once, and then an orderly end.
    bool writeFailed = false;
    // The response says that the connection closes after it.
    bool announced = false;

    bool operator==(const connection_end &) const = default;
};

// Whether a body without a length, which ended with its connection, is complete.
[[nodiscard]] bool isCompleteBody(const connection_end &end);

} // namespace kingcuptiller
