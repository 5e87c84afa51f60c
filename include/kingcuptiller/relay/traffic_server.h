#pragma once

#include "kingcuptiller/fleet/traffic_configuration.h"
#include "kingcuptiller/relay/http_types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace kingcuptiller {

// Tells whoever works on a request that its client has closed the connection.
class client_disconnect_signal
{
public:
    [[nodiscard]] bool hasDisconnected() const { return m_disconnected; }
    // Called once, when the client leaves; replaces a former callback. Empty to watch no longer.
    void setDisconnectCallback(std::function<void()> callback) { m_callback = std::move(callback); }
    void signalDisconnect();

private:
    bool m_disconnected = false;
    std::function<void()> m_callback;
};

// Answers one request. It must not throw; the request stays valid until it returns.
using request_handler = std::function<boost::asio::awaitable<relay_response>(
    const relay_request &request, client_disconnect_signal &client)>;

// An HTTP/1.1 server for one address. All of it runs in the thread that runs `context`. It reads
// whole requests within the limits, answers them one after another on each connection, and refuses
// what breaks the limits with 400, 408, 413 or 431 and a close.
class traffic_server
{
public:
    // Connections use TLS when `tls` is given. Throws `error` with `port_unavailable`.
    traffic_server(boost::asio::io_context &context, const tcp_endpoint &address,
                   request_handler handler, std::function<client_limits()> limits,
                   std::shared_ptr<boost::asio::ssl::context> tls = nullptr);
    ~traffic_server();
    traffic_server(const traffic_server &) = delete;
    traffic_server &operator=(const traffic_server &) = delete;

    // From now on each answer closes its connection, and connections without a request are closed.
    void startDraining();
    // New connections are no longer taken.
    void stopAccepting();
    // Requests that are being read, worked on or answered.
    [[nodiscard]] std::size_t requestsInProgress() const;
    [[nodiscard]] tcp_endpoint address() const;

private:
    struct session;

    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serveConnection(std::shared_ptr<session> client);
    boost::asio::awaitable<bool> serveNextRequest(session &client);
    boost::asio::awaitable<bool> readRequest(session &client);
    boost::asio::awaitable<bool> sendErrorResponse(session &client,
                                                   boost::beast::http::status status);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    request_handler m_handler;
    std::function<client_limits()> m_limits;
    std::set<std::shared_ptr<session>> m_sessions;
    std::shared_ptr<boost::asio::ssl::context> m_tls;
    bool m_draining = false;
};

} // namespace kingcuptiller
