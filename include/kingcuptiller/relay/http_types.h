#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

// HTTP message types and TCP helper functions for forwarding requests from clients to upstreams.
// Bodies are buffered completely before they are forwarded, so that a truncated response never
// looks complete to the client.

namespace kingcuptiller {

using relay_request = boost::beast::http::request<boost::beast::http::string_body>;
using relay_response = boost::beast::http::response<boost::beast::http::string_body>;
// The request line and the fields of a request, without its body.
using request_head = boost::beast::http::request_header<>;
using tcp_endpoint = boost::asio::ip::tcp::endpoint;

// Parses "IP:port", an address to connect to or to listen on. Throws `error` with
// `settings_invalid` when `text` has another form.
[[nodiscard]] tcp_endpoint parseTcpEndpoint(const std::string &text);

// Returns an acceptor that listens on `address`. Throws `error` with `port_unavailable` when the
// address cannot be opened, bound or listened on.
[[nodiscard]] boost::asio::ip::tcp::acceptor openListener(boost::asio::io_context &context,
                                                          const tcp_endpoint &address);

// Returns an HTTP/1.1 response with `text` as its text/plain body, for responses that this system
// generates itself.
[[nodiscard]] relay_response makeTextResponse(boost::beast::http::status status,
                                              const std::string &text);

} // namespace kingcuptiller
