#include "tests/platform/stand_in_callers.h"

#include "kingcuptiller/relay/http_types.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

#include <exception>
#include <iterator>
#include <string_view>
#include <utility>

namespace kingcuptiller {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view workQuery = "work=";
constexpr milliseconds defaultWorkTime{5};
constexpr milliseconds heartbeatInterval{1'000};
constexpr milliseconds callLimit{1'000};
constexpr milliseconds clientLimit{2'000};
// The mean pause of a client between two requests.
constexpr milliseconds clientPause{100};
constexpr unsigned httpVersion = 11;

// Sends a request on a new connection and reads its response; throws when that fails.
asio::awaitable<text_response> exchange(tcp_endpoint where, text_request request,
                                        milliseconds limit)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(limit);
    co_await stream.async_connect(where, asio::use_awaitable);
    request.prepare_payload();
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    text_response response;
    co_await http::async_read(stream, buffer, response, asio::use_awaitable);
    co_return response;
}

asio::awaitable<void> pauseFor(milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

milliseconds workTimeOf(const text_request &request)
{
    const std::string target(request.target());
    const std::size_t begin = target.find(workQuery);
    return begin == std::string::npos
        ? defaultWorkTime
        : milliseconds(std::stol(target.substr(begin + workQuery.size())));
}

} // namespace

std::optional<text_response> call(const tcp_endpoint &where, text_request request,
                                  milliseconds limit)
{
    asio::io_context context;
    std::optional<text_response> result;
    asio::co_spawn(context, exchange(where, std::move(request), limit),
                   [&](const std::exception_ptr &failure, text_response response) {
                       if (!failure)
                           result = std::move(response);
                   });
    context.run();
    return result;
}

stand_in_callers::stand_in_callers(const platform_processes &fleet,
                                   const std::vector<std::string> &services,
                                   std::size_t upstreamsEach, std::uint32_t seed, std::size_t slots)
    : m_fleet(fleet)
    , m_random(seed)
    , m_slots(slots)
    , m_work(asio::make_work_guard(m_context))
{
    for (const std::string &service : services) {
        for (std::size_t i = 0; i < upstreamsEach; ++i) {
            const std::size_t number = m_upstreams.size();
            m_upstreams.push_back({number, fmt::format("i-{}", number), service, 0});
        }
    }
    for (stand_in_upstream &upstream : m_upstreams) {
        tcp::acceptor acceptor(m_context, fleet.upstreamEndpoint(upstream.number));
        asio::co_spawn(m_context, accept(std::move(acceptor), upstream), asio::detached);
        asio::co_spawn(m_context, announce(upstream), asio::detached);
    }
    m_thread = std::thread([this] { m_context.run(); });
}

stand_in_callers::~stand_in_callers()
{
    m_context.stop();
    m_thread.join();
}

void stand_in_callers::startClients(std::size_t clients, const std::string &host,
                                    const std::string &path)
{
    asio::post(m_context, [this, clients, host, path] {
        for (std::size_t i = 0; i < clients; ++i)
            asio::co_spawn(m_context, sendRequests(host, path), asio::detached);
    });
}

void stand_in_callers::setEntries(std::vector<std::size_t> entries)
{
    const std::lock_guard lock(m_mutex);
    m_entries = std::move(entries);
}

std::set<std::string> stand_in_callers::startedRequests() const
{
    const std::lock_guard lock(m_mutex);
    return m_startedRequests;
}

std::vector<client_record>
stand_in_callers::recordsSince(std::chrono::steady_clock::time_point from) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<client_record> result;
    std::copy_if(m_records.begin(), m_records.end(), std::back_inserter(result),
                 [&](const client_record &each) { return each.sentAt >= from; });
    return result;
}

asio::awaitable<void> stand_in_callers::accept(tcp::acceptor acceptor, stand_in_upstream &upstream)
{
    for (;;) {
        tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        beast::tcp_stream stream(std::move(socket));
        asio::co_spawn(m_context, serve(std::move(stream), upstream), asio::detached);
    }
}

asio::awaitable<void> stand_in_callers::serve(beast::tcp_stream stream, stand_in_upstream &upstream)
{
    beast::flat_buffer buffer;
    for (;;) {
        text_request request;
        co_await http::async_read(stream, buffer, request, asio::use_awaitable);
        text_response response(http::status::ok, httpVersion);
        const auto expected = request["Kingcuptiller-Expect-Instance"];
        if (!expected.empty() && expected != upstream.id) {
            response.result(http::status::misdirected_request);
            response.set("Kingcuptiller-Not-Executed", "1");
        } else {
            {
                const std::lock_guard lock(m_mutex);
                m_startedRequests.emplace(request["Kingcuptiller-Attempt-Id"]);
            }
            co_await pauseFor(workTimeOf(request));
            response.set("Kingcuptiller-Response-Seal", "seal");
            response.body() = upstream.service;
        }
        response.set("Kingcuptiller-Attempt-Id", request["Kingcuptiller-Attempt-Id"]);
        response.set("Kingcuptiller-Server-Load", fmt::format("1,0,{}", m_slots));
        response.prepare_payload();
        co_await http::async_write(stream, response, asio::use_awaitable);
    }
}

asio::awaitable<void> stand_in_callers::announce(stand_in_upstream &upstream)
{
    for (std::size_t control = upstream.number;; ++control) {
        text_request request(http::verb::put, "/v1/instances/" + upstream.id, httpVersion);
        request.set(http::field::host, "control");
        request.set(http::field::content_type, "application/json");
        const tcp_endpoint own = m_fleet.upstreamEndpoint(upstream.number);
        request.body() = fmt::format(
            R"({{"address":"{}:{}","born":1,"info":{{"service":"{}","version":"v1","zone":"{}",)"
            R"("slots":{}}},"status":{{"state":"ready","sequence":{},"coldRemainingMs":0}}}})",
            own.address().to_string(), own.port(), upstream.service,
            platform_processes::zoneOf(upstream.number), m_slots, ++upstream.sequence);
        const tcp_endpoint where = m_fleet.controlEndpoint(control % m_fleet.controlCount());
        try {
            (void)co_await exchange(where, request, callLimit);
        } catch (const std::exception &) {
            // The next heartbeat goes to another control host.
        }
        co_await pauseFor(heartbeatInterval);
    }
}

tcp_endpoint stand_in_callers::pickEntry()
{
    const std::lock_guard lock(m_mutex);
    std::uniform_int_distribution<std::size_t> any(0, m_entries.size() - 1);
    return m_fleet.trafficEndpoint(m_entries.at(any(m_random)));
}

asio::awaitable<void> stand_in_callers::sendRequests(std::string host, std::string path)
{
    for (;;) {
        std::uniform_int_distribution<std::int64_t> pause(0, 2 * clientPause.count());
        co_await pauseFor(milliseconds(pause(m_random)));
        const tcp_endpoint entry = pickEntry();
        text_request request(http::verb::get, path, httpVersion);
        request.set(http::field::host, host);
        request.set("Kingcuptiller-Attempt-Id", fmt::format("{:016x}", m_random()));
        request.set("Kingcuptiller-Deadline-Ms", std::to_string(clientLimit.count()));
        client_record record;
        record.sentAt = std::chrono::steady_clock::now();
        try {
            const text_response response = co_await exchange(entry, request, clientLimit);
            if (response.result() == http::status::ok)
                record.service = response.body();
        } catch (const std::exception &) {
            // Counts as not answered.
        }
        const std::lock_guard lock(m_mutex);
        m_records.push_back(std::move(record));
    }
}

} // namespace kingcuptiller
