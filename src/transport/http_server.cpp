#include "kingcuptiller/transport/http_server.h"

#include "kingcuptiller/relay/traffic_server.h"
#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/values/error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <pplx/threadpool.h>

#include <optional>
#include <thread>
#include <utility>

namespace kingcuptiller {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Longer than clients of this system keep an idle connection.
constexpr milliseconds idleTimeout{120'000};
// How long a server that ends waits for the answers of its handlers.
constexpr milliseconds endingLimit{1'000};

http_request toRequest(const relay_request &message)
{
    http_request request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos)
        request.query = target.substr(mark + 1);
    for (const auto &field : message)
        request.headers.emplace(std::string(field.name_string()), std::string(field.value()));
    request.body = message.body();
    return request;
}

relay_response toResponse(const http_answer &answer)
{
    relay_response response(static_cast<http::status>(answer.status), 11);
    for (const auto &[name, value] : answer.headers)
        response.set(name, value);
    response.body() = answer.body;
    response.prepare_payload();
    return response;
}

// The place where a connection waits for the answer to its request. It belongs to the server's
// thread.
struct awaited_answer
{
    explicit awaited_answer(asio::io_context &context)
        : timer(context, asio::steady_timer::time_point::max())
    {
    }

    void set(const http_answer &answer)
    {
        if (std::exchange(answered, true))
            return;
        response = toResponse(answer);
        timer.cancel();
    }

    asio::steady_timer timer;
    bool answered = false;
    relay_response response;
};

// The handler's side of one request, used from any thread; a request that nobody answers gets
// status 500.
class pending_reply
{
public:
    pending_reply(std::shared_ptr<asio::io_context> context, std::shared_ptr<awaited_answer> place)
        : m_context(std::move(context))
        , m_place(std::move(place))
    {
    }
    ~pending_reply() { send({.status = 500, .headers = {}, .body = {}}); }
    pending_reply(const pending_reply &) = delete;
    pending_reply &operator=(const pending_reply &) = delete;

    void send(const http_answer &answer)
    {
        if (const auto place = std::exchange(m_place, nullptr))
            asio::post(*m_context, [place, answer] { place->set(answer); });
    }

private:
    std::shared_ptr<asio::io_context> m_context;
    std::shared_ptr<awaited_answer> m_place;
};

std::shared_ptr<asio::ssl::context> tlsOf(const http_server::options &chosen)
{
    if (chosen.certificateFile.empty() || chosen.keyFile.empty())
        return nullptr;
    try {
        auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
        context->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_sslv2
                             | asio::ssl::context::no_sslv3 | asio::ssl::context::no_tlsv1
                             | asio::ssl::context::no_tlsv1_1);
        context->use_certificate_chain_file(chosen.certificateFile);
        context->use_private_key_file(chosen.keyFile, asio::ssl::context::pem);
        return context;
    } catch (const std::exception &failure) {
        throw error(result_code::settings_invalid,
                    std::string("TLS certificate or key cannot be used: ") + failure.what());
    }
}

} // namespace

void setTrafficThreads(std::size_t count)
{
    crossplat::threadpool::initialize_with_threads(count);
}

class http_server::implementation
{
public:
    implementation(const options &chosen, http_handler handler)
        : m_handler(std::move(handler))
        , m_server(
              *m_context, parseTcpEndpoint(chosen.address + ":" + std::to_string(chosen.port)),
              [this](const relay_request &request, client_disconnect_signal &) {
                  return handle(request);
              },
              [limits = limitsOf(chosen)] { return limits; }, tlsOf(chosen))
        , m_thread([this] { m_context->run(); })
    {
    }

    ~implementation()
    {
        asio::post(*m_context, [this] {
            m_server.stopAccepting();
            m_server.startDraining();
            asio::co_spawn(*m_context, stopWhenAnswered(), asio::detached);
        });
        m_thread.join();
    }
    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

private:
    static client_limits limitsOf(const options &chosen)
    {
        client_limits limits;
        limits.bodyBytes = chosen.maximumBody;
        limits.idleTimeout = idleTimeout;
        return limits;
    }

    asio::awaitable<void> stopWhenAnswered()
    {
        co_await m_server.waitUntilAnswered(endingLimit);
        m_context->stop();
    }

    asio::awaitable<relay_response> handle(const relay_request &message)
    {
        if (message.method() != http::verb::get && message.method() != http::verb::post
            && message.method() != http::verb::head)
            co_return makeTextResponse(http::status::method_not_allowed, "use GET, HEAD or POST\n");
        if (message.chunked())
            co_return makeTextResponse(http::status::length_required, "name the body's length\n");
        const auto place = std::make_shared<awaited_answer>(*m_context);
        callHandler(toRequest(message), place);
        boost::system::error_code ignored;
        if (!place->answered)
            co_await place->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_return std::move(place->response);
    }

    void callHandler(http_request request, const std::shared_ptr<awaited_answer> &place)
    {
        const auto reply = std::make_shared<pending_reply>(m_context, place);
        try {
            m_handler(std::move(request),
                      [reply](const http_answer &answer) { reply->send(answer); });
        } catch (const std::exception &fault) {
            log_line(log_level::error, "http_server", "handler_failed")
                .field("reason", fault.what());
        }
    }

    // Replies that come after the end of the server still need the context.
    std::shared_ptr<asio::io_context> m_context = std::make_shared<asio::io_context>(1);
    http_handler m_handler;
    traffic_server m_server;
    std::thread m_thread;
};

http_server::http_server(const options &chosen, http_handler handler)
    : m_implementation(std::make_unique<implementation>(chosen, std::move(handler)))
{
}

http_server::~http_server() = default;

} // namespace kingcuptiller
