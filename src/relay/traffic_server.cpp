#include "kingcuptiller/relay/traffic_server.h"

#include "kingcuptiller/relay/client_stream.h"
#include "kingcuptiller/telemetry/log.h"
#include "received_body.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <string_view>
#include <utility>

namespace kingcuptiller {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
// Time for writing a response; the connection of a client that reads more slowly is closed.
constexpr std::chrono::seconds writeTimeout{10};
// How long input is discarded after 503, and the size of one read.
constexpr milliseconds discardTime{1'000};
constexpr std::size_t discardedBytesPerRead = 4'096;
// A body up to this size, in bytes, is small. All small bodies together may take this part of the
// limit for the large ones.
constexpr std::uint64_t maxSmallBodyBytes = 65'536;
constexpr std::uint64_t smallBodiesDivisor = 4;
// Limit of the bytes read ahead of the parser: a header section, a trailer section, a chunk-size
// line, or the begin of the next request. Larger if header sections may be larger.
constexpr std::size_t minBufferBytes = 65'536;
// What each field of a header section takes in memory beside its text.
constexpr std::uint64_t bytesPerField = 96;
// Shorter bodies are not streamed: they arrive in few packets.
constexpr std::uint64_t minStreamedBodyBytes = 8'192;
// Retry-After of a request whose body does not fit, in seconds. Bodies in memory are let go as soon
// as their requests end.
constexpr const char *retryAfterHeldBytes = "1";
// Delay after a failed accept, which usually means that the process has no free file descriptors.
constexpr milliseconds acceptRetryDelay{50};
constexpr milliseconds answeredCheckInterval{5};
// Deliveries of responses are remembered for one to two of these periods.
constexpr std::chrono::seconds deliveryPeriod{30};

auto redirectErrorTo(error_code &errorCode)
{
    return asio::redirect_error(asio::use_awaitable, errorCode);
}

bool isClosedByPeer(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto bytesRead = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return bytesRead == 0
        || (bytesRead < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

// Also returns false when a timeout has closed the socket and the coroutine of its session has not
// been resumed yet.
bool hasUnreadBytes(const asio::ip::tcp::socket &socket)
{
    error_code errorCode;
    return socket.available(errorCode) > 0 && !errorCode;
}

http::status statusForError(const error_code &errorCode)
{
    if (errorCode == http::error::body_limit)
        return http::status::payload_too_large;
    if (errorCode == http::error::header_limit || errorCode == http::error::buffer_overflow)
        return http::status::request_header_fields_too_large;
    return http::status::bad_request;
}

bool isParseError(const error_code &errorCode)
{
    return errorCode.category() == http::make_error_code(http::error::bad_method).category()
        && errorCode != http::error::end_of_stream && errorCode != http::error::partial_message;
}

relay_response makeMemoryRejection()
{
    relay_response response = makeTextResponse(http::status::service_unavailable,
                                               "not run: no memory for the request at present\n");
    response.set(http::field::retry_after, retryAfterHeldBytes);
    return response;
}

} // namespace

void client_disconnect_signal::signalDisconnect()
{
    m_disconnected = true;
    if (const auto callback = std::exchange(m_callback, nullptr))
        callback();
}

struct traffic_server::session : std::enable_shared_from_this<session>
{
    session(asio::ip::tcp::socket socket, const std::shared_ptr<asio::ssl::context> &tls)
        : stream(std::move(socket), tls)
    {
    }

    client_stream stream;
    beast::flat_buffer buffer;
    relay_request request;
    // The bytes of the body of `request`, and which budget they belong to.
    byte_budget::holding heldBytes;
    bool bodyIsLarge = false;
    // The reader of a body that is streamed; nullptr for other requests.
    std::shared_ptr<request_parser> streamedParser;
    byte_budget::holding heldHead;
    // The key of this session in `m_waiting`; 0 while it does not wait.
    std::uint64_t waitingNumber = 0;
    // Set from the first byte of a request until its response is written.
    bool requestInProgress = false;
    // The reader of a body that is received before its request is handled; nullptr for others.
    const request_parser *bodyParser = nullptr;
    // The response with which the reading of that body is given up.
    std::optional<relay_response> rejection;
};

traffic_server::traffic_server(asio::io_context &context, const tcp_endpoint &address,
                               request_handler handler, std::function<client_limits()> limits,
                               std::shared_ptr<asio::ssl::context> tls,
                               const server_capacity &capacity, body_streaming_rule streamsBody)
    : m_context(context)
    , m_acceptor(openListener(context, address))
    , m_handler(std::move(handler))
    , m_limits(std::move(limits))
    , m_tls(std::move(tls))
    , m_capacity(capacity)
    , m_heads(capacity.headBytes)
    , m_largeBodies(capacity.largeBodyBytes)
    , m_smallBodies(capacity.largeBodyBytes / smallBodiesDivisor)
    , m_streamsBody(std::move(streamsBody))
    , m_deliveries(deliveryPeriod)
{
    asio::co_spawn(m_context, acceptConnections(), asio::detached);
}

traffic_server::~traffic_server() = default;

tcp_endpoint traffic_server::address() const
{
    return m_acceptor.local_endpoint();
}

std::size_t traffic_server::requestsInProgress() const
{
    return static_cast<std::size_t>(
        std::count_if(m_sessions.begin(), m_sessions.end(),
                      [](const auto &client) { return client->requestInProgress; }));
}

void traffic_server::stopAccepting()
{
    error_code errorCode;
    // Connections in the queue of the listening socket would be reset.
    m_acceptor.non_blocking(true, errorCode);
    for (std::size_t i = 0; i < m_capacity.connections && !errorCode; ++i) {
        asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, errorCode);
        if (!errorCode)
            startSession(std::move(socket));
    }
    m_acceptor.close(errorCode);
}

void traffic_server::startLeaving(head_check rejects)
{
    m_leaving = true;
    m_rejects = std::move(rejects);
}

void traffic_server::rejectUnfinishedRequests()
{
    for (const auto &client : m_sessions) {
        if (client->bodyParser == nullptr || client->rejection)
            continue;
        client->rejection = m_rejects(client->bodyParser->get());
        if (client->rejection)
            client->stream.cancel();
    }
}

milliseconds traffic_server::longestDelivery()
{
    return std::chrono::ceil<milliseconds>(m_deliveries.at(asio::steady_timer::clock_type::now()));
}

asio::awaitable<void> traffic_server::waitUntilAnswered(milliseconds limit)
{
    asio::steady_timer pause(m_context);
    const auto until = asio::steady_timer::clock_type::now() + limit;
    while (requestsInProgress() > 0 && asio::steady_timer::clock_type::now() < until) {
        pause.expires_after(answeredCheckInterval);
        co_await pause.async_wait(asio::use_awaitable);
    }
}

void traffic_server::startDraining()
{
    m_draining = true;
    for (const auto &client : m_sessions) {
        // Also during draining, a request of which bytes have arrived gets its response.
        if (!client->requestInProgress && client->buffer.size() == 0
            && !hasUnreadBytes(client->stream.socket()))
            client->stream.cancel();
    }
}

asio::awaitable<void> traffic_server::acceptConnections()
{
    while (m_acceptor.is_open()) {
        error_code errorCode;
        auto socket = co_await m_acceptor.async_accept(redirectErrorTo(errorCode));
        if (errorCode == asio::error::operation_aborted)
            co_return;
        if (errorCode) {
            log_line(log_level::warning, "traffic", "accept_failed")
                .field("reason", errorCode.message());
            asio::steady_timer pause(m_context, acceptRetryDelay);
            co_await pause.async_wait(redirectErrorTo(errorCode));
            continue;
        }
        startSession(std::move(socket));
    }
}

void traffic_server::startSession(asio::ip::tcp::socket socket)
{
    if (!makeRoom())
        return;
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto client = std::make_shared<session>(std::move(socket), m_tls);
    m_sessions.insert(client);
    asio::co_spawn(m_context, serveConnection(client), asio::detached);
}

bool traffic_server::makeRoom()
{
    if (m_sessions.size() < m_capacity.connections)
        return true;
    const bool canClose = !m_waiting.empty();
    log_line(log_level::warning, "traffic", canClose ? "connection_evicted" : "connection_refused")
        .field("connections", static_cast<std::uint64_t>(m_sessions.size()))
        .field("limit", static_cast<std::uint64_t>(m_capacity.connections));
    if (!canClose)
        return false;
    session &oldest = *m_waiting.begin()->second;
    stopWaiting(oldest);
    error_code ignored;
    oldest.stream.socket().close(ignored);
    return true;
}

void traffic_server::startWaiting(session &client)
{
    stopWaiting(client);
    client.waitingNumber = ++m_lastWaitingNumber;
    m_waiting.emplace(client.waitingNumber, &client);
}

void traffic_server::stopWaiting(session &client)
{
    m_waiting.erase(client.waitingNumber);
    client.waitingNumber = 0;
}

asio::awaitable<void> traffic_server::serveConnection(std::shared_ptr<session> client)
{
    bool keepsConnection = true;
    startWaiting(*client);
    if (client->stream.usesTls()) {
        error_code errorCode;
        client->stream.expiresAfter(m_limits().headerTimeout);
        co_await client->stream.asyncHandshake(redirectErrorTo(errorCode));
        keepsConnection = !errorCode;
    }
    while (keepsConnection) {
        client->requestInProgress = false;
        client->request = {};
        client->heldBytes = m_smallBodies.open();
        client->bodyIsLarge = false;
        client->streamedParser.reset();
        client->heldHead = m_heads.open();
        client->rejection.reset();
        startWaiting(*client);
        try {
            keepsConnection = co_await serveNextRequest(*client);
        } catch (const std::exception &failure) {
            log_line(log_level::error, "traffic", "session_failed").field("reason", failure.what());
            keepsConnection = false;
        }
    }
    stopWaiting(*client);
    error_code ignored;
    client->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_sessions.erase(client);
}

asio::awaitable<bool> traffic_server::sendErrorResponse(session &client, http::status status)
{
    relay_response response =
        makeTextResponse(status, "the request breaks a limit or is malformed\n");
    response.keep_alive(false);
    error_code errorCode;
    client.stream.expiresAfter(writeTimeout);
    co_await http::async_write(client.stream, response, redirectErrorTo(errorCode));
    co_return false;
}

asio::awaitable<bool> traffic_server::sendRejection(session &client, relay_response response)
{
    response.keep_alive(false);
    error_code errorCode;
    client.stream.expiresAfter(writeTimeout);
    co_await http::async_write(client.stream, response, redirectErrorTo(errorCode));
    if (!errorCode)
        co_await discardInput(client);
    co_return false;
}

asio::awaitable<void> traffic_server::discardInput(session &client)
{
    error_code errorCode;
    client.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, errorCode);
    client.stream.expiresAfter(discardTime);
    std::vector<char> discarded(discardedBytesPerRead);
    while (!errorCode)
        co_await client.stream.async_read_some(asio::buffer(discarded), redirectErrorTo(errorCode));
}

bool traffic_server::holdHead(session &client, const request_parser &parser)
{
    std::uint64_t bytes = 0;
    for (const auto &field : parser.get().base())
        bytes += field.name_string().size() + field.value().size() + bytesPerField;
    if (client.heldHead.resize(bytes))
        return true;
    log_line(log_level::warning, "traffic", "head_rejected")
        .field("bytes", bytes)
        .field("held", m_heads.heldBytes());
    return false;
}

bool traffic_server::holdBody(session &client, std::uint64_t bytes)
{
    const bool isLarge = bytes > maxSmallBodyBytes;
    if (isLarge != client.bodyIsLarge)
        client.heldBytes = (isLarge ? m_largeBodies : m_smallBodies).open();
    client.bodyIsLarge = isLarge;
    if (client.heldBytes.resize(bytes))
        return true;
    log_line(log_level::warning, "traffic", "body_rejected")
        .field("bytes", bytes)
        .field("held_large", m_largeBodies.heldBytes())
        .field("held_small", m_smallBodies.heldBytes());
    return false;
}

bool traffic_server::isStreamed(const request_parser &parser) const
{
    const auto length = parser.content_length();
    return m_streamsBody && (parser.chunked() || length.value_or(0) >= minStreamedBodyBytes)
        && m_streamsBody(parser.get());
}

asio::awaitable<void> traffic_server::receiveBody(std::shared_ptr<session> client,
                                                  std::shared_ptr<request_parser> parser,
                                                  std::shared_ptr<client_disconnect_signal> signal)
{
    const std::shared_ptr<request_body> body = signal->body();
    error_code errorCode;
    bool fits = true;
    client->stream.expiresAfter(m_limits().idleTimeout);
    while (!errorCode && fits && !parser->is_done() && !body->isAborted()) {
        co_await http::async_read_some(client->stream, client->buffer, *parser,
                                       redirectErrorTo(errorCode));
        fits = holdBody(*client, parser->get().body().size());
        body->notifyAppended();
    }
    // The handler may have responded before the end of the body, and then has aborted it.
    if (parser->is_done() && fits && !body->isAborted()) {
        client->stream.expiresNever();
        watchForDisconnect(client, signal);
        body->complete();
    } else if (!body->isAborted()) {
        body->abort();
        signal->signalDisconnect();
    }
    body->endReading();
}

asio::awaitable<void> traffic_server::acceptBody(session &client, const request_parser &parser,
                                                 error_code &errorCode)
{
    if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
        co_await asio::async_write(client.stream, asio::buffer(continueResponse),
                                   redirectErrorTo(errorCode));
}

asio::awaitable<bool> traffic_server::readBody(session &client, request_parser &parser,
                                               error_code &errorCode)
{
    const std::uint64_t announcedBytes = parser.content_length().value_or(0);
    // A body that can never fit is not read.
    if (announcedBytes > m_capacity.largeBodyBytes && !holdBody(client, announcedBytes))
        co_return false;
    co_await acceptBody(client, parser, errorCode);
    client.stream.expiresAfter(m_limits().idleTimeout);
    client.bodyParser = &parser;
    while (!errorCode && !client.rejection && !parser.is_done()) {
        co_await http::async_read_some(client.stream, client.buffer, parser,
                                       redirectErrorTo(errorCode));
        // Counted as it arrives: a client that announces a large body and sends it slowly, or not
        // at all, must not keep out the bodies of others.
        if (!holdBody(client, parser.get().body().size())) {
            client.bodyParser = nullptr;
            co_return false;
        }
    }
    client.bodyParser = nullptr;
    co_return true;
}

asio::awaitable<bool> traffic_server::readRequest(session &client)
{
    const client_limits limits = m_limits();
    error_code errorCode;
    const auto ownedParser = std::make_shared<request_parser>();
    request_parser &parser = *ownedParser;
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    client.buffer.max_size(std::max(minBufferBytes, 2 * limits.headerBytes));
    if (client.buffer.size() == 0) {
        // The idle timeout applies between requests, the header timeout from the first byte of a
        // request.
        client.stream.expiresAfter(limits.idleTimeout);
        const auto bytesRead = co_await client.stream.async_read_some(client.buffer.prepare(4096),
                                                                      redirectErrorTo(errorCode));
        client.buffer.commit(bytesRead);
        if (errorCode)
            co_return false;
    }
    client.requestInProgress = true;
    client.stream.expiresAfter(limits.headerTimeout);
    co_await http::async_read_header(client.stream, client.buffer, parser,
                                     redirectErrorTo(errorCode));
    if (!errorCode && parser.chunked() && parser.get().has_content_length())
        errorCode = http::error::bad_transfer_encoding;
    if (!errorCode && !holdHead(client, parser)) {
        relay_response rejection = makeMemoryRejection();
        co_return co_await sendRejection(client, std::move(rejection));
    }
    // The handler decides on a request without a body.
    if (!errorCode && m_rejects && !parser.is_done()) {
        if (auto rejection = m_rejects(parser.get()))
            co_return co_await sendRejection(client, std::move(*rejection));
    }
    if (!errorCode && isStreamed(parser)) {
        co_await acceptBody(client, parser, errorCode);
        client.request.base() = parser.get().base();
        client.streamedParser = ownedParser;
        co_return !errorCode;
    }
    if (!errorCode && !co_await readBody(client, parser, errorCode)) {
        relay_response rejection = makeMemoryRejection();
        co_return co_await sendRejection(client, std::move(rejection));
    }
    if (client.rejection) {
        relay_response rejection = std::move(*client.rejection);
        co_return co_await sendRejection(client, std::move(rejection));
    }
    if (errorCode) {
        if (errorCode == beast::error::timeout)
            co_return co_await sendErrorResponse(client, http::status::request_timeout);
        if (isParseError(errorCode))
            co_return co_await sendErrorResponse(client, statusForError(errorCode));
        co_return false;
    }
    client.request.base() = std::move(parser.get().base());
    client.request.body() = std::move(parser.get().body());
    co_return true;
}

asio::awaitable<bool> traffic_server::serveNextRequest(session &client)
{
    if (m_draining && client.buffer.size() == 0 && !hasUnreadBytes(client.stream.socket()))
        co_return false;
    if (!co_await readRequest(client))
        co_return false;
    stopWaiting(client);
    asio::ip::tcp::socket &socket = client.stream.socket();
    if (isClosedByPeer(socket)) {
        log_line(log_level::debug, "traffic", "abandoned_request_dropped")
            .field(
                "target",
                std::string_view(client.request.target().data(), client.request.target().size()));
        co_return false;
    }
    const auto disconnectSignal =
        std::make_shared<client_disconnect_signal>([&socket] { return isClosedByPeer(socket); });
    co_return co_await respond(client.shared_from_this(), disconnectSignal);
}

void traffic_server::watchForDisconnect(const std::shared_ptr<session> &client,
                                        const std::shared_ptr<client_disconnect_signal> &signal)
{
    client->stream.socket().async_wait(
        asio::socket_base::wait_read, [signal, client](error_code errorCode) {
            if (!errorCode && isClosedByPeer(client->stream.socket()))
                signal->signalDisconnect();
        });
}

asio::awaitable<bool> traffic_server::respond(std::shared_ptr<session> client,
                                              std::shared_ptr<client_disconnect_signal> signal)
{
    const bool keepAlive = client->request.keep_alive();
    const std::shared_ptr<request_parser> parser = client->streamedParser;
    client->stream.expiresNever();
    if (parser) {
        // The body shares ownership of the parser, which holds the bytes.
        const std::shared_ptr<const std::string> bytes(parser, &parser->get().body());
        std::optional<std::uint64_t> length;
        if (parser->content_length())
            length = *parser->content_length();
        signal->setBody(std::make_shared<request_body>(m_context, bytes, length));
        asio::co_spawn(m_context, receiveBody(client, parser, signal), asio::detached);
    } else {
        watchForDisconnect(client, signal);
    }
    relay_response response = co_await m_handler(client->request, *signal);
    signal->setDisconnectCallback({});
    error_code errorCode;
    client->stream.socket().cancel(errorCode);
    const bool isBodyUnread = parser && !signal->body()->isComplete();
    if (isBodyUnread) {
        signal->body()->abort();
        co_await signal->body()->waitForReader();
    }
    if (signal->hasDisconnected())
        co_return false;
    const bool isHeadRequest = client->request.method() == http::verb::head;
    response.keep_alive(keepAlive && !m_leaving && !m_draining && !isBodyUnread);
    client->stream.expiresAfter(writeTimeout);
    const auto writeStart = asio::steady_timer::clock_type::now();
    if (isHeadRequest) {
        http::response_serializer<http::string_body> serializer(response);
        serializer.split(true);
        co_await http::async_write_header(client->stream, serializer, redirectErrorTo(errorCode));
    } else {
        co_await http::async_write(client->stream, response, redirectErrorTo(errorCode));
    }
    const auto writeEnd = asio::steady_timer::clock_type::now();
    if (!errorCode)
        m_deliveries.record(writeEnd - writeStart, writeEnd);
    if (!errorCode && isBodyUnread)
        co_await discardInput(*client);
    co_return !errorCode && response.keep_alive();
}

} // namespace kingcuptiller
