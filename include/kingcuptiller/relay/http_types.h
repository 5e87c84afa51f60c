#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

// The HTTP messages of the data path. Bodies are held whole: an answer that breaks off must never
// look complete to the client.

namespace kingcuptiller {

using relay_request = boost::beast::http::request<boost::beast::http::string_body>;
using relay_response = boost::beast::http::response<boost::beast::http::string_body>;
using tcp_endpoint = boost::asio::ip::tcp::endpoint;

// "IP:port" as an address to connect to or listen on. Throws `error` with `settings_invalid`.
[[nodiscard]] tcp_endpoint parseTcpEndpoint(const std::string &text);

// An acceptor that listens. Throws `error` with `port_unavailable`.
[[nodiscard]] boost::asio::ip::tcp::acceptor openListener(boost::asio::io_context &context,
                                                          const tcp_endpoint &address);

// An answer of this system with a plain text body.
[[nodiscard]] relay_response makeTextResponse(boost::beast::http::status status,
                                              const std::string &text);

} // namespace kingcuptiller
