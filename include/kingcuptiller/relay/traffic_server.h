#pragma once

#include "kingcuptiller/fleet/traffic_configuration.h"
#include "kingcuptiller/relay/byte_budget.h"
#include "kingcuptiller/relay/http_types.h"
#include "kingcuptiller/relay/recent_maximum.h"
#include "kingcuptiller/relay/request_body.h"
#include "kingcuptiller/values/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace kingcuptiller {

namespace internal {
struct received_body;
}

// Informs the handler of a request that the client has closed its connection.
class client_disconnect_signal
{
public:
    client_disconnect_signal() = default;
    // `isClosed` asks the connection itself, see `isWaiting`.
    explicit client_disconnect_signal(std::function<bool()> isClosed)
        : m_isClosed(std::move(isClosed))
    {
    }

    [[nodiscard]] bool hasDisconnected() const { return m_disconnected; }
    // Whether the client still waits for the response, as the connection shows at this moment.
    // `hasDisconnected` may lag behind, because it is set by an event of the event loop.
    [[nodiscard]] bool isWaiting() const
    {
        return !m_disconnected && !(m_isClosed && m_isClosed());
    }
    // Sets the function that is called once when the client disconnects, replacing the previous
    // one. An empty function removes it.
    void setDisconnectCallback(std::function<void()> callback) { m_callback = std::move(callback); }
    // Marks the client as disconnected and calls the callback, if any.
    void signalDisconnect();
    // The body, if it is still being received while the request is handled; else nullptr, and the
    // body is in the request.
    [[nodiscard]] const std::shared_ptr<request_body> &body() const { return m_body; }
    void setBody(std::shared_ptr<request_body> body) { m_body = std::move(body); }
    // Keeps the holding until the response has been sent or the connection has ended.
    void holdUntilResponded(byte_budget::holding heldBytes)
    {
        m_heldBytes.push_back(std::move(heldBytes));
    }

private:
    std::function<bool()> m_isClosed;
    bool m_disconnected = false;
    std::function<void()> m_callback;
    std::shared_ptr<request_body> m_body;
    std::vector<byte_budget::holding> m_heldBytes;
};

// Handles one request and returns its response. It must not throw. `request` and `client` are valid
// until the coroutine completes.
using request_handler = std::function<boost::asio::awaitable<relay_response>(
    const relay_request &request, client_disconnect_signal &client)>;

// Decides by the head of a request whether its body is received while the request is handled; see
// `client_disconnect_signal::body`. Bodies that are short are always received before.
using body_streaming_rule = std::function<bool(const request_head &head)>;

// Returns the response to a request that is rejected by its head, before its body is received;
// nothing for other requests.
using head_check = std::function<std::optional<relay_response>(const request_head &head)>;

// What one server may hold for all its clients together.
struct server_capacity
{
    // The large bodies of all requests that are being read or handled, in bytes. One of the largest
    // size that configurations permit fits. Small bodies have a limit of their own, so that large
    // ones do not keep them out.
    std::uint64_t largeBodyBytes = std::uint64_t{64} * 1024 * 1024;
    // The heads of these requests, with what their fields take in memory.
    std::uint64_t headBytes = std::uint64_t{32} * 1024 * 1024;
    // When a client connects beyond this, the connection that has waited longest for a complete
    // request is closed.
    std::size_t connections = 4'096;

    bool operator==(const server_capacity &) const = default;
};

// An HTTP/1.1 server that listens on one address and runs entirely in the thread that runs
// `context`. It reads each request completely, unless its body is streamed, and handles the
// requests of a connection one after another. For a malformed request, or one that exceeds the
// limits, it sends 400, 408, 413 or 431 and closes the connection; where the requests of all
// clients would take too much memory, 503 with Retry-After. A request whose client has closed the
// connection before the request is read, as happens while this process is suspended, is dropped
// without being handled.
class traffic_server
{
public:
    // Starts to listen. `limits` is called for each request. Connections use TLS when `tls` is not
    // nullptr. Throws `error` with `port_unavailable` when it cannot listen on `address`.
    traffic_server(boost::asio::io_context &context, const tcp_endpoint &address,
                   request_handler handler, std::function<client_limits()> limits,
                   std::shared_ptr<boost::asio::ssl::context> tls = nullptr,
                   const server_capacity &capacity = {}, body_streaming_rule streamsBody = {});
    ~traffic_server();
    traffic_server(const traffic_server &) = delete;
    traffic_server &operator=(const traffic_server &) = delete;

    // Prepares for the end of the process: from now on each response closes its connection, and
    // `rejects` decides on each request whose body is being received or still to be received.
    void startLeaving(head_check rejects);
    // Rejects the requests whose bodies are being received and that `rejects` of `startLeaving` now
    // rejects. Call it regularly.
    void rejectUnfinishedRequests();
    // Returns the longest time that a client has lately taken to read its response: small unless
    // responses are large or clients read slowly.
    [[nodiscard]] milliseconds longestDelivery();
    // Closes idle connections. Connections with a request in progress are closed after its
    // response.
    void startDraining();
    // Closes the listening socket, after it has taken over the connections that are established.
    void stopAccepting();
    // Waits until no request is in progress, but not longer than `limit`.
    [[nodiscard]] boost::asio::awaitable<void> waitUntilAnswered(milliseconds limit);
    // Returns the number of requests that are being read, handled or responded to.
    [[nodiscard]] std::size_t requestsInProgress() const;
    // Returns the address on which the server listens, with the actual port.
    [[nodiscard]] tcp_endpoint address() const;

private:
    struct session;
    using request_parser = boost::beast::http::request_parser<internal::received_body>;

    boost::asio::awaitable<void> acceptConnections();
    // Serves a connection that has been accepted, if there is room for it.
    void startSession(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serveConnection(std::shared_ptr<session> client);
    // Reads, handles and responds to one request. Returns whether the connection stays open.
    boost::asio::awaitable<bool> serveNextRequest(session &client);
    // Lets the handler respond to `client.request`, and sends the response.
    boost::asio::awaitable<bool> respond(std::shared_ptr<session> client,
                                         std::shared_ptr<client_disconnect_signal> signal);
    // Whether the body behind a head that has been read is to be streamed.
    [[nodiscard]] bool isStreamed(const request_parser &parser) const;
    // Receives the body of a request that is being handled.
    boost::asio::awaitable<void> receiveBody(std::shared_ptr<session> client,
                                             std::shared_ptr<request_parser> parser,
                                             std::shared_ptr<client_disconnect_signal> signal);
    // Tells `signal` when the client closes the connection while no input is expected.
    void watchForDisconnect(const std::shared_ptr<session> &client,
                            const std::shared_ptr<client_disconnect_signal> &signal);
    // Reads a request into `client.request`. Returns false when there is none and the connection is
    // to be closed; sends an error response first where appropriate.
    boost::asio::awaitable<bool> readRequest(session &client);
    // Makes room for a new connection if there are too many. Returns false if there is none.
    [[nodiscard]] bool makeRoom();
    // Notes that a connection waits for a complete request, or that it does not wait any more.
    void startWaiting(session &client);
    void stopWaiting(session &client);
    // Counts the head of a request that has been read. Returns false when it does not fit.
    [[nodiscard]] bool holdHead(session &client, const request_parser &parser);
    // Counts the body of `client` with `bytes`, instead of its bytes so far. Returns false when
    // they do not fit into the budget for bodies of this size.
    [[nodiscard]] bool holdBody(session &client, std::uint64_t bytes);
    // Tells a client that waits for it to send its body.
    boost::asio::awaitable<void> acceptBody(session &client, const request_parser &parser,
                                            boost::system::error_code &errorCode);
    // Reads the body that follows a header, and counts it. Returns false when it does not fit into
    // the budget for bodies of its size; sets `errorCode` when reading fails.
    boost::asio::awaitable<bool> readBody(session &client, request_parser &parser,
                                          boost::system::error_code &errorCode);
    // Reads and discards a body that is within the limits, for a short time: a connection that is
    // closed with unread bytes is reset, and the client may lose the response.
    boost::asio::awaitable<void> discardInput(session &client);
    // Sends the rejection of a request whose body has not been received completely, and closes the
    // connection. Always returns false.
    boost::asio::awaitable<bool> sendRejection(session &client, relay_response response);
    // Sends a response with `status` that closes the connection. Always returns false.
    boost::asio::awaitable<bool> sendErrorResponse(session &client,
                                                   boost::beast::http::status status);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    request_handler m_handler;
    std::function<client_limits()> m_limits;
    std::set<std::shared_ptr<session>> m_sessions;
    std::shared_ptr<boost::asio::ssl::context> m_tls;
    server_capacity m_capacity;
    // Connections that wait for a complete request, those that have waited longest first.
    std::map<std::uint64_t, session *> m_waiting;
    std::uint64_t m_lastWaitingNumber = 0;
    byte_budget m_heads;
    byte_budget m_largeBodies;
    byte_budget m_smallBodies;
    body_streaming_rule m_streamsBody;
    recent_maximum m_deliveries;
    // Set while the process is about to end.
    head_check m_rejects;
    bool m_leaving = false;
    bool m_draining = false;
};

} // namespace kingcuptiller
