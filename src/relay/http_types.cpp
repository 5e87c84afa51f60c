#include "kingcuptiller/relay/http_types.h"

#include "kingcuptiller/values/error.h"

#include <exception>
#include <string>

namespace kingcuptiller {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

tcp_endpoint parseTcpEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    try {
        if (colon != std::string::npos) {
            const unsigned long port = std::stoul(text.substr(colon + 1));
            if (port <= 65'535)
                return {asio::ip::make_address(text.substr(0, colon)),
                        static_cast<unsigned short>(port)};
        }
    } catch (const std::exception &) {
        throw error(result_code::settings_invalid,
                    "'" + text + "' is not an address of the form IP:port");
    }
    throw error(result_code::settings_invalid,
                "'" + text + "' is not an address of the form IP:port");
}

relay_response makeTextResponse(http::status status, const std::string &text)
{
    relay_response response(status, 11);
    response.set(http::field::content_type, "text/plain");
    response.body() = text;
    response.prepare_payload();
    return response;
}

asio::ip::tcp::acceptor openListener(asio::io_context &context, const tcp_endpoint &address)
{
    asio::ip::tcp::acceptor acceptor(context);
    error_code errorCode;
    acceptor.open(address.protocol(), errorCode);
    if (!errorCode)
        acceptor.set_option(asio::socket_base::reuse_address(true), errorCode);
    if (!errorCode)
        acceptor.bind(address, errorCode);
    if (!errorCode)
        acceptor.listen(asio::socket_base::max_listen_connections, errorCode);
    if (errorCode)
        throw error(result_code::port_unavailable,
                    "cannot listen on " + address.address().to_string() + ":"
                        + std::to_string(address.port()) + ": " + errorCode.message());
    return acceptor;
}

} // namespace kingcuptiller
