#include "kingcuptiller/relay/traffic_server.h"

#include "kingcuptiller/relay/client_stream.h"
#include "kingcuptiller/telemetry/log.h"

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

constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";
// How long a client may take to read an answer before its connection is closed.
constexpr std::chrono::seconds writeTimeout{10};
// Pause after a failure to accept, which mostly means that descriptors have run out.
constexpr milliseconds acceptPause{50};

auto into(error_code &problem)
{
    return asio::redirect_error(asio::use_awaitable, problem);
}

bool isClosedByPeer(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

// False as well when a time limit has closed the socket and its session has not been told yet.
bool hasUnreadBytes(const asio::ip::tcp::socket &socket)
{
    error_code problem;
    return socket.available(problem) > 0 && !problem;
}

http::status statusFor(const error_code &problem)
{
    if (problem == http::error::body_limit)
        return http::status::payload_too_large;
    if (problem == http::error::header_limit || problem == http::error::buffer_overflow)
        return http::status::request_header_fields_too_large;
    return http::status::bad_request;
}

bool isParseProblem(const error_code &problem)
{
    return problem.category() == http::make_error_code(http::error::bad_method).category()
        && problem != http::error::end_of_stream && problem != http::error::partial_message;
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
    // From the first byte of a request until its answer is written.
    bool busy = false;
};

traffic_server::traffic_server(asio::io_context &context, const tcp_endpoint &address,
                               request_handler handler, std::function<client_limits()> limits,
                               std::shared_ptr<asio::ssl::context> tls)
    : m_context(context)
    , m_acceptor(openListener(context, address))
    , m_handler(std::move(handler))
    , m_limits(std::move(limits))
    , m_tls(std::move(tls))
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
    return static_cast<std::size_t>(std::count_if(m_sessions.begin(), m_sessions.end(),
                                                  [](const auto &client) { return client->busy; }));
}

void traffic_server::stopAccepting()
{
    error_code ignored;
    m_acceptor.close(ignored);
}

void traffic_server::startDraining()
{
    m_draining = true;
    for (const auto &client : m_sessions) {
        // A request that is on its way is still answered.
        if (!client->busy && client->buffer.size() == 0 && !hasUnreadBytes(client->stream.socket()))
            client->stream.cancel();
    }
}

asio::awaitable<void> traffic_server::acceptConnections()
{
    while (m_acceptor.is_open()) {
        error_code problem;
        auto socket = co_await m_acceptor.async_accept(into(problem));
        if (problem == asio::error::operation_aborted)
            co_return;
        if (problem) {
            log_line(log_level::warning, "traffic", "accept_failed")
                .field("reason", problem.message());
            asio::steady_timer pause(m_context, acceptPause);
            co_await pause.async_wait(into(problem));
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), problem);
        auto client = std::make_shared<session>(std::move(socket), m_tls);
        m_sessions.insert(client);
        asio::co_spawn(m_context, serveConnection(client), asio::detached);
    }
}

asio::awaitable<void> traffic_server::serveConnection(std::shared_ptr<session> client)
{
    bool goesOn = true;
    if (client->stream.usesTls()) {
        error_code problem;
        client->stream.expiresAfter(m_limits().headerTimeout);
        co_await client->stream.asyncHandshake(into(problem));
        goesOn = !problem;
    }
    while (goesOn) {
        client->busy = false;
        try {
            goesOn = co_await serveNextRequest(*client);
        } catch (const std::exception &failure) {
            log_line(log_level::error, "traffic", "session_failed").field("reason", failure.what());
            goesOn = false;
        }
    }
    error_code ignored;
    client->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_sessions.erase(client);
}

asio::awaitable<bool> traffic_server::sendErrorResponse(session &client, http::status status)
{
    relay_response answer =
        makeTextResponse(status, "the request breaks a limit or is malformed\n");
    answer.keep_alive(false);
    error_code problem;
    client.stream.expiresAfter(writeTimeout);
    co_await http::async_write(client.stream, answer, into(problem));
    co_return false;
}

asio::awaitable<bool> traffic_server::readRequest(session &client)
{
    const client_limits limits = m_limits();
    error_code problem;
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    if (client.buffer.size() == 0) {
        // Between two requests the idle limit holds; from the first byte on the header limit.
        client.stream.expiresAfter(limits.idleTimeout);
        const auto got =
            co_await client.stream.async_read_some(client.buffer.prepare(4096), into(problem));
        client.buffer.commit(got);
        if (problem)
            co_return false;
    }
    client.busy = true;
    client.stream.expiresAfter(limits.headerTimeout);
    co_await http::async_read_header(client.stream, client.buffer, parser, into(problem));
    if (!problem && parser.chunked() && parser.get().has_content_length())
        problem = http::error::bad_transfer_encoding;
    if (!problem && beast::iequals(parser.get()[http::field::expect], "100-continue"))
        co_await asio::async_write(client.stream, asio::buffer(continueLine), into(problem));
    if (!problem) {
        client.stream.expiresAfter(limits.idleTimeout);
        co_await http::async_read(client.stream, client.buffer, parser, into(problem));
    }
    if (problem) {
        if (problem == beast::error::timeout)
            co_return co_await sendErrorResponse(client, http::status::request_timeout);
        if (isParseProblem(problem))
            co_return co_await sendErrorResponse(client, statusFor(problem));
        co_return false;
    }
    client.request = parser.release();
    co_return true;
}

asio::awaitable<bool> traffic_server::serveNextRequest(session &client)
{
    if (m_draining && client.buffer.size() == 0 && !hasUnreadBytes(client.stream.socket()))
        co_return false;
    if (!co_await readRequest(client))
        co_return false;
    const bool keepAlive = client.request.keep_alive();
    const auto disconnectSignal = std::make_shared<client_disconnect_signal>();
    asio::ip::tcp::socket &socket = client.stream.socket();
    client.stream.expiresNever();
    socket.async_wait(asio::socket_base::wait_read,
                      [disconnectSignal, owner = client.shared_from_this()](error_code problem) {
                          if (!problem && isClosedByPeer(owner->stream.socket()))
                              disconnectSignal->signalDisconnect();
                      });
    relay_response answer = co_await m_handler(client.request, *disconnectSignal);
    disconnectSignal->setDisconnectCallback({});
    error_code problem;
    socket.cancel(problem);
    if (disconnectSignal->hasDisconnected())
        co_return false;
    const bool head = client.request.method() == http::verb::head;
    answer.keep_alive(keepAlive && !m_draining);
    client.stream.expiresAfter(writeTimeout);
    if (head) {
        http::response_serializer<http::string_body> serializer(answer);
        serializer.split(true);
        co_await http::async_write_header(client.stream, serializer, into(problem));
    } else {
        co_await http::async_write(client.stream, answer, into(problem));
    }
    const bool goesOn = !problem && answer.keep_alive();
    co_return goesOn;
}

} // namespace kingcuptiller
