#pragma once

#include "kingcuptiller/relay/byte_budget.h"
#include "kingcuptiller/relay/http_types.h"
#include "kingcuptiller/relay/request_body.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace kingcuptiller {

// Names of the HTTP headers that clients, entries (the proxies that forward requests) and upstreams
// exchange. The names are configurable, because each platform that uses the system has its own.
struct relay_headers
{
    // Request id that the client assigns; upstreams echo it in their responses.
    std::string requestId;
    // Milliseconds that the receiver has to respond.
    std::string remainingTime;
    // Key of the object (for example a cached data item) that the request accesses. Routes with
    // affinity prefer upstreams that recently served the same object.
    std::string object;
    // Id of the upstream incarnation that is to run the request; any other incarnation rejects it.
    std::string expectedUpstream;
    // Its presence proves that an upstream created the response.
    std::string upstreamMarker;
    // Present in a response by which the upstream states that it has not run the request.
    std::string notExecuted;
    // Load of the upstream as "running,waiting,slots": the requests that it runs, the requests in
    // its queue, and the requests that it can run at the same time. A fourth number may follow: how
    // long work takes on its machine now, in percent of the usual time.
    std::string loadReport;
    // Milliseconds for which the upstream remains cold (just started, with empty caches).
    std::string coldRemaining;
    // Seconds after which the receiver may retry: the client, or the entry when an upstream sends
    // it.
    std::string retryAfter;
    // "1" in every response of an upstream that drains.
    std::string leaving;
    // Carries the key of a client account, behind `authorizationScheme`.
    std::string authorization{};
    std::string authorizationScheme{};
    // The name of the client's account, which the entry sets for the upstream.
    std::string accountName{};

    bool operator==(const relay_headers &) const = default;
};

// A connection to an upstream that carries one request at a time.
struct upstream_connection
{
    // Limit of the bytes read ahead of the parser: a header section, a chunk-size line, or part of
    // a body.
    static constexpr std::size_t bufferBytes = 65'536;

    explicit upstream_connection(boost::asio::io_context &context)
        : socket(context)
        , buffer(bufferBytes)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    // Whether an earlier request was sent on this connection.
    bool carriedEarlierRequest = false;
    // When the connection last became idle.
    instant idleSince;
    // Time after `idleSince` at which the connection is no longer reused.
    milliseconds reusableIdleTime{0};
};

// Pool of idle keep-alive connections to upstreams. A connection is reused only while the upstream
// can be expected to keep it open: during a fixed fraction of the keep-alive timeout that the
// upstream announced, and only when no bytes and no close have arrived on it.
class upstream_connection_pool
{
public:
    // Removes a usable connection to `address` from the pool and returns it; nullptr when there is
    // none.
    [[nodiscard]] std::shared_ptr<upstream_connection> acquire(const endpoint_address &address,
                                                               instant now);
    // Adds a connection to the pool after `response` was read from it completely, unless it cannot
    // be reused.
    void giveBack(const endpoint_address &address, std::shared_ptr<upstream_connection> connection,
                  const relay_response &response, instant now);
    // Closes connections that were idle for too long, received bytes, or were closed by the
    // upstream.
    void closeUnusable(instant now);

private:
    std::map<endpoint_address, std::deque<std::shared_ptr<upstream_connection>>> m_idle;
};

// Result of one attempt, the transmission of a request to one upstream.
struct upstream_attempt_result
{
    enum class completion_status {
        // A complete response that belongs to the request was read.
        answered,
        // No byte of the request was sent, for example because there was no connection. This is
        // also
        // the initial value.
        not_sent,
        // The request may have run, but no complete response arrived.
        incomplete,
        // The time limit expired; the request may have run.
        timed_out,
    };

    completion_status status = completion_status::not_sent;
    // Set only when `status` is `answered`.
    relay_response response;
    // The bytes of the response body; keep this object as long as the body.
    byte_budget::holding heldBytes;
};

// Connects to `address` within `limit`. Returns whether the connection was established.
boost::asio::awaitable<bool> openConnection(boost::asio::io_context &context,
                                            std::shared_ptr<upstream_connection> connection,
                                            tcp_endpoint address, milliseconds limit);

// Limits of one call of `exchangeHttp`.
struct http_exchange_limits
{
    milliseconds timeLimit{0};
    // Limit of the response body in bytes on the wire, chunk framing included.
    std::uint64_t responseBytes = 0;
    // Limit of the response bodies of all exchanges together; nullptr for none. Short bodies are
    // not counted, so that they are read even while faulty upstreams use up the budget.
    const byte_budget *heldBytes = nullptr;
};

// Sends `request` once on an open connection and reads the response to it.
//
// A faulty upstream may send an unbounded number of bytes in a header section, in a body or between
// responses, so each of these is limited. When a limit is exceeded, or the attempt ends in any way
// but with a complete response, the connection is closed.
//
// A response belongs to the request when it echoes the request id. A response without a request id
// belongs to the request on a new connection, but is treated as a late response to an earlier
// request on a reused connection. A small number of responses to other requests is discarded. A
// response that arrives before the request was sent completely makes the connection not reusable.
//
// `body` is the body of a request that is still being received; nullptr if it is in `request`. Its
// bytes are sent as they arrive. If it is aborted, the connection is closed, so that the upstream
// never sees a complete request.
//
// Closing the socket from outside aborts the attempt with the status `incomplete`.
boost::asio::awaitable<upstream_attempt_result>
exchangeHttp(boost::asio::io_context &context, std::shared_ptr<upstream_connection> connection,
             std::shared_ptr<const relay_request> request, const relay_headers &headers,
             const http_exchange_limits &limits, std::shared_ptr<request_body> body = nullptr);

} // namespace kingcuptiller
