#include "kingcuptiller/relay/upstream_connections.h"

#include "kingcuptiller/telemetry/log.h"
#include "response_rules.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <string_view>
#include <utility>

namespace kingcuptiller {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

// Keep-alive timeout that is assumed when the upstream announces none.
constexpr milliseconds defaultIdleTimeout{4'000};
// Share of the upstream's keep-alive timeout during which a connection is reused. A request sent
// later could arrive after the upstream has closed the connection.
constexpr double reusableIdleShare = 0.6;
// Limit of the header section and of the trailer section of a response, in bytes.
constexpr std::uint32_t maximumHeaderBytes = 16'384;
// Responses to other requests and interim responses that may precede the expected response.
constexpr int maximumDiscardedResponses = 3;
// Response bodies up to this size are read without regard to the budget of held bytes.
constexpr std::uint64_t uncountedBodyBytes = 16'384;
// TCP_USER_TIMEOUT: a connection is closed when sent data is not acknowledged for this long.
constexpr int tcpUserTimeoutMs = 2'000;
// The most bytes of a streamed body that are written at once.
constexpr std::size_t maximumPieceBytes = 16'384;

auto redirectErrorTo(error_code &errorCode)
{
    return asio::redirect_error(asio::use_awaitable, errorCode);
}

// Returns whether the peer has closed the connection or sent bytes while no request was pending.
bool isClosedOrReadable(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

// Closes the socket of a connection after a time limit, unless this object is destroyed earlier.
// The timer's handler may still be queued at the destruction, so it shares ownership of the state
// that it uses.
class socket_timeout
{
public:
    socket_timeout(asio::io_context &context,
                   const std::shared_ptr<upstream_connection> &connection, milliseconds limit)
        : m_timer(context, limit)
        , m_state(std::make_shared<timeout_state>())
    {
        m_timer.async_wait([state = m_state, connection](error_code errorCode) {
            error_code ignored;
            if (errorCode || state->cancelled)
                return;
            state->expired = true;
            connection->socket.close(ignored);
        });
    }
    ~socket_timeout() { m_state->cancelled = true; }
    socket_timeout(const socket_timeout &) = delete;
    socket_timeout &operator=(const socket_timeout &) = delete;

    [[nodiscard]] bool expired() const { return m_state->expired; }

private:
    struct timeout_state
    {
        bool cancelled = false;
        bool expired = false;
    };

    asio::steady_timer m_timer;
    std::shared_ptr<timeout_state> m_state;
};

milliseconds announcedIdleTimeout(const relay_response &response)
{
    const auto text = response[http::field::keep_alive];
    const std::string_view value(text.data(), text.size());
    const std::size_t timeoutPosition = value.find("timeout=");
    unsigned seconds = 0;
    if (timeoutPosition == std::string_view::npos
        || std::from_chars(value.data() + timeoutPosition + 8, value.data() + value.size(), seconds)
                .ec
            != std::errc())
        return defaultIdleTimeout;
    return std::chrono::seconds(seconds);
}

// Returns whether `response` is the response to `request`. On a connection that carried earlier
// requests, a response without a request id may be a late response to one of them.
bool belongsToRequest(const relay_response &response, const relay_request &request,
                      const relay_headers &headers, bool carriedEarlierRequest)
{
    const auto echoedId = response.find(headers.requestId);
    return echoedId == response.end() ? !carriedEarlierRequest
                                      : echoedId->value() == request[headers.requestId];
}

// How far a request has been written. Shared with the writer, which may outlive the attempt.
struct write_progress
{
    bool isComplete = false;
    bool hasFailed = false;
};

// Reads one response. `maximumBodyBytes` applies to the bytes on the wire, because chunk framing
// may be far larger than the body. `heldBytes` is resized to the size of the body.
asio::awaitable<error_code> readResponse(std::shared_ptr<upstream_connection> connection,
                                         http::response_parser<http::string_body> &parser,
                                         std::uint64_t maximumBodyBytes,
                                         byte_budget::holding &heldBytes,
                                         std::shared_ptr<const write_progress> written)
{
    error_code errorCode;
    co_await http::async_read_header(connection->socket, connection->buffer, parser,
                                     redirectErrorTo(errorCode));
    if (!errorCode) {
        if (const auto fault = findFault(parser.get().base())) {
            log_line(log_level::warning, "relay", "response_malformed").field("fault", *fault);
            errorCode = http::error::bad_field;
        }
    }
    // Checked here because the parser reserves memory for the announced length before it compares
    // the length with its body limit.
    if (!errorCode && !parser.is_done() && parser.content_length().value_or(0) > maximumBodyBytes)
        errorCode = http::error::body_limit;
    // Without eager parsing, each chunk would take one iteration of the event loop.
    parser.eager(true);
    std::uint64_t bodyBytes = 0;
    while (!errorCode && !parser.is_done()) {
        bodyBytes += co_await http::async_read_some(connection->socket, connection->buffer, parser,
                                                    redirectErrorTo(errorCode));
        const std::uint64_t size = parser.get().body().size();
        const bool fits = heldBytes.resize(size > uncountedBodyBytes ? size : 0);
        if (!errorCode && (bodyBytes > maximumBodyBytes || !fits))
            errorCode = http::error::body_limit;
    }
    if (!errorCode && parser.need_eof()
        && !isCompleteBody({written->isComplete, written->hasFailed, !parser.get().keep_alive()}))
        errorCode = http::error::partial_message;
    co_return errorCode;
}

// Writes a piece of a body, as a chunk where the request announces no length.
asio::awaitable<error_code> writePiece(std::shared_ptr<upstream_connection> connection,
                                       std::string piece, bool isChunked)
{
    error_code errorCode;
    const asio::const_buffer buffer(piece.data(), piece.size());
    if (isChunked)
        co_await asio::async_write(connection->socket, http::make_chunk(buffer),
                                   redirectErrorTo(errorCode));
    else
        co_await asio::async_write(connection->socket, buffer, redirectErrorTo(errorCode));
    co_return errorCode;
}

// Writes a request whose body is still being received.
asio::awaitable<void> writeStreamedRequest(std::shared_ptr<upstream_connection> connection,
                                           std::shared_ptr<const relay_request> request,
                                           std::shared_ptr<request_body> body,
                                           std::shared_ptr<write_progress> written)
{
    const bool isChunked = !body->announcedBytes();
    error_code errorCode;
    http::request_serializer<http::string_body> serializer(*request);
    serializer.split(true);
    co_await http::async_write_header(connection->socket, serializer, redirectErrorTo(errorCode));
    std::size_t writtenBytes = 0;
    while (!errorCode && !body->isAborted()) {
        co_await body->waitForMore(writtenBytes);
        std::string piece = body->bytes().substr(writtenBytes, maximumPieceBytes);
        if (piece.empty())
            break;
        writtenBytes += piece.size();
        errorCode = co_await writePiece(connection, std::move(piece), isChunked);
    }
    if (!errorCode && !body->isAborted() && isChunked)
        co_await asio::async_write(connection->socket, http::make_chunk_last(),
                                   redirectErrorTo(errorCode));
    written->isComplete = !errorCode && !body->isAborted();
    written->hasFailed = !written->isComplete;
    // The upstream must not wait for the rest of a body that does not come.
    error_code ignored;
    if (body->isAborted())
        connection->socket.close(ignored);
}

} // namespace

std::shared_ptr<upstream_connection>
upstream_connection_pool::acquire(const endpoint_address &address, instant now)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return nullptr;
    auto &idle = found->second;
    while (!idle.empty()) {
        std::shared_ptr<upstream_connection> connection = std::move(idle.back());
        idle.pop_back();
        if (now - connection->idleSince < connection->reusableIdleTime
            && !isClosedOrReadable(connection->socket))
            return connection;
    }
    return nullptr;
}

void upstream_connection_pool::giveBack(const endpoint_address &address,
                                        std::shared_ptr<upstream_connection> connection,
                                        const relay_response &response, instant now)
{
    // Bytes after a complete response belong to no request.
    if (!response.keep_alive() || connection->buffer.size() > 0)
        return;
    connection->carriedEarlierRequest = true;
    connection->idleSince = now;
    connection->reusableIdleTime = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(announcedIdleTimeout(response).count()) * reusableIdleShare));
    m_idle[address].push_back(std::move(connection));
}

void upstream_connection_pool::closeUnusable(instant now)
{
    for (auto &[address, idle] : m_idle) {
        std::erase_if(idle, [&](const auto &connection) {
            return now - connection->idleSince >= connection->reusableIdleTime
                || isClosedOrReadable(connection->socket);
        });
    }
    std::erase_if(m_idle, [](const auto &each) { return each.second.empty(); });
}

asio::awaitable<bool> openConnection(asio::io_context &context,
                                     std::shared_ptr<upstream_connection> connection,
                                     tcp_endpoint address, milliseconds limit)
{
    const socket_timeout timeout(context, connection, limit);
    auto &socket = connection->socket;
    error_code errorCode;
    co_await socket.async_connect(address, redirectErrorTo(errorCode));
    if (errorCode || !socket.is_open())
        co_return false;
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const int limitMs = tcpUserTimeoutMs;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limitMs, sizeof limitMs);
    co_return true;
}

asio::awaitable<upstream_attempt_result>
exchangeHttp(asio::io_context &context, std::shared_ptr<upstream_connection> connection,
             std::shared_ptr<const relay_request> request, const relay_headers &headers,
             const http_exchange_limits &limits, std::shared_ptr<request_body> body)
{
    upstream_attempt_result result;
    result.status = upstream_attempt_result::completion_status::incomplete;
    auto &socket = connection->socket;
    const socket_timeout timeout(context, connection, limits.timeLimit);
    error_code errorCode;
    // What arrives before the request belongs to no request.
    if (isClosedOrReadable(socket)) {
        result.status = upstream_attempt_result::completion_status::not_sent;
        socket.close(errorCode);
        co_return result;
    }
    const auto written = std::make_shared<write_progress>();
    // The handler keeps the connection and the request alive, because the attempt may end before
    // the write does: when the response arrives early.
    if (body)
        asio::co_spawn(context, writeStreamedRequest(connection, request, body, written),
                       asio::detached);
    else
        http::async_write(socket, *request,
                          [connection, request, written](error_code failure, std::size_t) {
                              written->isComplete = !failure;
                              written->hasFailed = static_cast<bool>(failure);
                          });
    if (limits.heldBytes != nullptr)
        result.heldBytes = limits.heldBytes->open();
    for (int previousResponses = 0; previousResponses <= maximumDiscardedResponses && !errorCode;
         ++previousResponses) {
        http::response_parser<http::string_body> parser;
        parser.header_limit(maximumHeaderBytes);
        parser.body_limit(limits.responseBytes);
        parser.skip(request->method() == http::verb::head);
        errorCode = co_await readResponse(connection, parser, limits.responseBytes,
                                          result.heldBytes, written);
        if (errorCode || parser.get().result_int() < 200)
            continue;
        if (belongsToRequest(parser.get(), *request, headers, connection->carriedEarlierRequest)) {
            result.status = upstream_attempt_result::completion_status::answered;
            result.response = parser.release();
            // When another response came first, or the request was not written completely, a later
            // response on this connection could not be assigned to its request.
            if (previousResponses > 0 || !written->isComplete)
                result.response.keep_alive(false);
            // The rest of a streamed body would only fill the link: its request may be sent to
            // another upstream by now.
            if (body && !written->isComplete)
                socket.close(errorCode);
            break;
        }
    }
    if (result.status == upstream_attempt_result::completion_status::answered)
        co_return result;
    result.heldBytes = {};
    if (timeout.expired())
        result.status = upstream_attempt_result::completion_status::timed_out;
    // Closed explicitly, because a write handler that is pending while the upstream does not read
    // would keep the connection open.
    error_code ignored;
    socket.close(ignored);
    co_return result;
}

} // namespace kingcuptiller
