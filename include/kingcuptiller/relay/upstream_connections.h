#pragma once

#include "kingcuptiller/relay/http_types.h"
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

// The names of the headers that clients, entries and upstreams speak. They belong to the platform
// on which the system runs.
struct relay_headers
{
    // A client's id of one request; upstreams repeat it in their answers.
    std::string requestId;
    // Milliseconds that the receiver may use.
    std::string remainingTime;
    // The object that a request concerns.
    std::string object;
    // The lifetime that shall run the request; any other refuses it.
    std::string expectedUpstream;
    // Proves that an upstream made the answer.
    std::string upstreamMarker;
    // Present when the upstream states that it has not run the request.
    std::string notExecuted;
    // "running,waiting,slots" of the upstream.
    std::string loadReport;
    // Milliseconds for which the upstream stays cold.
    std::string coldRemaining;
    // Seconds after which the client may come back.
    std::string retryAfter;

    bool operator==(const relay_headers &) const = default;
};

// A connection to an upstream that carries one request at a time.
struct upstream_connection
{
    // What is read ahead of the parser: a head, the size of a chunk, or a piece of a body.
    static constexpr std::size_t bufferBytes = 65'536;

    explicit upstream_connection(boost::asio::io_context &context)
        : socket(context)
        , buffer(bufferBytes)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    // It has carried a request before.
    bool carriedRequest = false;
    instant idleSince;
    milliseconds maximumIdleTime{0};
};

// Idle connections to upstreams. A kept connection is handed out only while the upstream surely
// keeps it open: well before its announced idle time ends, and when nothing has arrived on it.
class upstream_connection_pool
{
public:
    // A kept connection, or nullptr.
    [[nodiscard]] std::shared_ptr<upstream_connection> acquire(const endpoint_address &address,
                                                               instant now);
    // Takes a connection back after a complete answer.
    void giveBack(const endpoint_address &address, std::shared_ptr<upstream_connection> connection,
                  const relay_response &response, instant now);
    // Closes the connections that have been idle for too long, or on which bytes arrived.
    void closeUnusable(instant now);

private:
    std::map<endpoint_address, std::deque<std::shared_ptr<upstream_connection>>> m_idle;
};

// How one sending ended.
struct upstream_attempt_result
{
    enum class completion_status {
        // A complete answer that belongs to the request.
        answered,
        // No connection, or the request was not begun.
        not_sent,
        // It may have run; no complete answer came.
        broken,
        // As `broken`: the time was over.
        timed_out,
    };

    completion_status status = completion_status::not_sent;
    relay_response response;
};

// Opens a connection within `limit`; returns whether it is open.
boost::asio::awaitable<bool> openConnection(boost::asio::io_context &context,
                                            std::shared_ptr<upstream_connection> connection,
                                            tcp_endpoint address, milliseconds limit);

// What bounds one sending.
struct exchange_limits
{
    milliseconds timeLimit{0};
    // Bytes of the answer's body as they are sent, with the framing of chunks.
    std::uint64_t responseBytes = 0;
};

// Sends a request once on an open connection and reads its answer. An upstream in trouble may send
// bytes without end, in a head, a body or between answers, so each is bounded; beyond a bound, and
// after any end but a whole answer, the connection is closed.
// Answers to other requests that come first are dropped; on a connection that has carried requests,
// an answer that names none counts as one of these. An answer that arrives before the whole
// request was sent ends the use of the connection. Whoever closes the socket meanwhile ends the
// sending; the caller then knows why.
boost::asio::awaitable<upstream_attempt_result>
exchange(boost::asio::io_context &context, std::shared_ptr<upstream_connection> connection,
         std::shared_ptr<const relay_request> request, const relay_headers &headers,
         const exchange_limits &limits);

} // namespace kingcuptiller
