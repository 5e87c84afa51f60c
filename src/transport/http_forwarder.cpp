#if defined(__SANITIZE_THREAD__)
// Boost.Asio uses a fence that ThreadSanitizer does not model; g++ 12 warns where it is inlined.
#pragma GCC diagnostic ignored "-Wtsan"
#endif

#include "kingcuptiller/transport/http_forwarder.h"

// Boost 1.74 uses std::exchange without including this header.
#include <utility>

#include <boost/asio.hpp>
#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <charconv>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace kingcuptiller {

namespace {

namespace client = web::http::client;
using boost::asio::ip::tcp;

// cpprest writes headers and body separately. Without TCP_NODELAY the body would wait for the
// upstream's delayed acknowledgement of the headers (up to 40 ms). cpprest calls this before it
// connects a new socket and before it reuses a connected one; opening the socket here lets the
// option be set in the first case too.
void disableNagle(client::native_handle handle)
{
    auto *socket = static_cast<tcp::socket *>(handle);
    boost::system::error_code ignored;
    if (!socket->is_open())
        socket->open(tcp::v4(), ignored);
    socket->set_option(tcp::no_delay(true), ignored);
}

std::shared_ptr<client::http_client> makeClient(const endpoint_address &upstream)
{
    client::http_client_config config;
    config.set_nativehandle_options(disableNagle);
    config.set_max_redirects(0);
    // Only a backstop: each exchange has its own timer.
    config.set_timeout(std::chrono::seconds(60));
    return std::make_shared<client::http_client>(web::uri("http://" + upstream.text()), config);
}

web::http::http_request toMessage(const http_request &request)
{
    web::http::http_request message(request.method);
    message.set_request_uri(
        web::uri(request.query.empty() ? request.path : request.path + "?" + request.query));
    const std::string type = headerValue(request.headers, "Content-Type");
    if (!request.body.empty() || request.method == "POST")
        message.set_body(toBytes(request.body));
    if (!type.empty())
        message.headers().set_content_type(type);
    for (const auto &[name, value] : request.headers)
        message.headers()[name] = value;
    return message;
}

// True only if cpprest says that it could not connect. It gives the same error code when writing
// the headers fails, so the text decides as well. A release with other texts would make this false,
// and the outcome would be reported as open, which is safe.
bool provesNotConnected(const web::http::http_exception &failure)
{
    return failure.error_code() == std::errc::host_unreachable
        && std::string_view(failure.what()) == "Failed to connect to any resolved endpoint";
}

// The announced length, or nothing when it is missing or malformed.
std::optional<std::size_t> announcedLength(const web::http::http_response &response)
{
    const auto found = response.headers().find("Content-Length");
    if (found == response.headers().end()) {
        if (response.status_code() == web::http::status_codes::NoContent
            || response.status_code() == web::http::status_codes::NotModified)
            return 0;
        return std::nullopt;
    }
    std::size_t length = 0;
    const std::string &text = found->second;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (fault != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return length;
}

// One request and its answer. The first of answer, failure, time limit and cancellation ends it.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(const forward_request &request, std::shared_ptr<client::http_client> client,
             std::function<void(forward_result)> done)
        : m_client(std::move(client))
        , m_maximumAnswer(request.maximumAnswer)
        , m_done(std::move(done))
        , m_timer(crossplat::threadpool::shared_instance().service(), request.timeout)
    {
    }

    void start(const forward_request &request)
    {
        m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &fault) {
            if (const auto self = weak.lock(); self && !fault)
                self->abort(forward_outcome::timed_out, "no complete answer in time");
        });
        m_client->request(toMessage(request.message), m_cancellation.get_token())
            .then([self = shared_from_this()](const pplx::task<web::http::http_response> &head) {
                self->guarded([&] { self->receive(head.get()); });
            });
    }

    // Ends the exchange without an answer and closes its connection.
    void abort(forward_outcome outcome, const std::string &reason)
    {
        finish({.outcome = outcome, .answer = {}, .reason = reason});
        m_cancellation.cancel();
    }

private:
    void guarded(const std::function<void()> &step)
    {
        try {
            step();
        } catch (const web::http::http_exception &failure) {
            finish({.outcome = provesNotConnected(failure) ? forward_outcome::not_connected
                                                           : forward_outcome::cut_short,
                    .answer = {},
                    .reason = failure.what()});
        } catch (const std::exception &failure) {
            finish({.outcome = forward_outcome::cut_short, .answer = {}, .reason = failure.what()});
        }
    }

    void receive(const web::http::http_response &response)
    {
        const auto length = announcedLength(response);
        if (!length)
            return abort(forward_outcome::cut_short, "the answer announces no length");
        if (*length > m_maximumAnswer)
            return abort(forward_outcome::too_large, "the answer exceeds the size limit");
        response.extract_vector().then([self = shared_from_this(), response, length = *length](
                                           const pplx::task<std::vector<unsigned char>> &body) {
            self->guarded([&] { self->complete(response, length, body.get()); });
        });
    }

    void complete(const web::http::http_response &response, std::size_t length,
                  const std::vector<unsigned char> &body)
    {
        if (body.size() != length)
            return abort(forward_outcome::cut_short, "the answer is shorter than announced");
        forward_result result{.outcome = forward_outcome::complete, .answer = {}, .reason = {}};
        result.answer.status = response.status_code();
        for (const auto &[name, value] : response.headers())
            result.answer.headers.emplace(name, value);
        result.answer.body.assign(body.begin(), body.end());
        finish(std::move(result));
    }

    void finish(forward_result result)
    {
        if (m_finished.exchange(true))
            return;
        // A timer is not thread-safe, and its handler runs in the pool: cancel it there.
        boost::asio::post(m_timer.get_executor(),
                          [self = shared_from_this()] { self->m_timer.cancel(); });
        m_done(std::move(result));
    }

    std::shared_ptr<client::http_client> m_client;
    std::size_t m_maximumAnswer;
    std::function<void(forward_result)> m_done;
    boost::asio::steady_timer m_timer;
    pplx::cancellation_token_source m_cancellation;
    std::atomic<bool> m_finished{false};
};

} // namespace

class http_forwarder::implementation
{
public:
    std::shared_ptr<client::http_client> pooled(const endpoint_address &upstream)
    {
        const std::lock_guard lock(m_mutex);
        auto &found = m_clients[upstream];
        if (!found)
            found = makeClient(upstream);
        return found;
    }

    void keepOnly(const std::set<endpoint_address> &upstreams)
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_clients,
                      [&upstreams](const auto &each) { return !upstreams.contains(each.first); });
    }

private:
    std::mutex m_mutex;
    std::unordered_map<endpoint_address, std::shared_ptr<client::http_client>> m_clients;
};

http_forwarder::http_forwarder()
    : m_implementation(std::make_shared<implementation>())
{
}

http_forwarder::~http_forwarder() = default;

cancel_function http_forwarder::send(const forward_request &request,
                                     const std::function<void(forward_result)> &done)
{
    std::shared_ptr<exchange> started;
    try {
        auto client = request.freshConnection ? makeClient(request.upstream)
                                              : m_implementation->pooled(request.upstream);
        started = std::make_shared<exchange>(request, std::move(client), done);
        started->start(request);
    } catch (const std::exception &failure) {
        // A malformed address or path; cpprest refuses it before it opens a connection.
        done({.outcome = forward_outcome::not_connected, .answer = {}, .reason = failure.what()});
        return [] {};
    }
    return [weak = std::weak_ptr(started)] {
        if (const auto running = weak.lock())
            running->abort(forward_outcome::cancelled, "cancelled");
    };
}

void http_forwarder::keepOnly(const std::set<endpoint_address> &upstreams)
{
    m_implementation->keepOnly(upstreams);
}

} // namespace kingcuptiller
