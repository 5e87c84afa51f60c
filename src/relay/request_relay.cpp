#include "kingcuptiller/relay/request_relay.h"

#include "header_text.h"
#include "kingcuptiller/telemetry/log.h"
#include "request_journey.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace kingcuptiller {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

// Shorter than this, no upstream can answer, and the sending would only cost it work.
constexpr milliseconds shortestSending{5};
constexpr milliseconds retryAfterNoUpstream{500};
// Connections that one request may try in vain.
constexpr std::uint32_t mostUnreachable = 4;
// A connection is given up after so many round trips and a reserve for a busy upstream; a lost
// opening packet is sent again after a second only, when another upstream is the better way.
constexpr int connectRoundTrips = 4;
constexpr milliseconds connectReserve{200};
// Before the end of the process a request may take this part of the remaining time by expectation,
// because one that takes longer is broken off.
constexpr double usableShareBeforeEnd = 0.5;
constexpr milliseconds retryAfterEnd{50};

using internal::eraseConnectionHeaders;
using internal::numberIn;
using internal::view;

std::string_view reasonText(const no_choice &reason)
{
    if (reason.noneKnown)
        return "no_upstream";
    return reason.shiftCapped ? "shift_cap" : "all_busy";
}

} // namespace

request_relay::request_relay(asio::io_context &context, relay_options options,
                             counter_registry &counters)
    : m_context(context)
    , m_options(std::move(options))
    , m_withoutRoute(counters.get("kct_relay_requests_without_route"))
    , m_connectionsOpened(counters.get("kct_relay_connections_opened"))
    , m_metrics(counters)
    , m_flows(counters)
    , m_choice(m_options.choice)
    , m_budget(m_options.retries)
    , m_endTimer(context)
{
}

void request_relay::update(const fleet_view &view,
                           const std::optional<traffic_configuration> &configuration)
{
    if (configuration && (m_routes == nullptr || configuration->version > m_version)) {
        m_routes = std::make_shared<const route_table>(*configuration);
        m_limits = configuration->limits;
        m_version = configuration->version;
    }
    m_budget.setEntries(view.entries.size());
    static const route_table noRoutes;
    m_choice.update(view, m_routes ? *m_routes : noRoutes, m_options.now());
}

client_limits request_relay::limits() const
{
    return m_limits;
}

void request_relay::tick()
{
    m_connections.closeIdle(m_options.now());
    for (const region_flow &flow : m_flows.take()) {
        log_line(log_level::info, "relay", "region_flows")
            .field("service", flow.service.text())
            .field("region", flow.region.text())
            .field("first", flow.first)
            .field("repeated", flow.repeated);
    }
}

void request_relay::endBy(instant end)
{
    m_end = end;
    m_endTimer.expires_after(end - m_options.now());
    m_endTimer.async_wait([this](error_code problem) {
        if (problem)
            return;
        error_code ignored;
        for (const auto &connection : m_awaiting)
            connection->socket.close(ignored);
    });
}

const service_name &request_relay::partOf(const traffic_route &route)
{
    if (route.weightedServices.size() == 1)
        return route.weightedServices.front().service;
    // The part that is furthest behind its weight, so that the shares hold at any moment.
    auto &served = m_partsServed[route.name];
    const weighted_service *next = nullptr;
    double least = 0;
    for (const weighted_service &part : route.weightedServices) {
        if (part.weight <= 0)
            continue;
        const double after = (served[part.service] + 1) / part.weight;
        if (next == nullptr || after < least) {
            next = &part;
            least = after;
        }
    }
    served[next->service] += 1;
    return next->service;
}

asio::awaitable<relay_response> request_relay::handle(const relay_request &request,
                                                      client_presence &client)
{
    const instant now = m_options.now();
    // Holds the routes while the request is carried, whatever is applied meanwhile.
    const auto routes = m_routes;
    if (!routes) {
        relay_response answer =
            ownAnswer(http::status::service_unavailable, "no configuration is known yet\n");
        answer.set(m_options.headers.retryAfter, "0.5");
        co_return answer;
    }
    const auto target = view(request.target());
    const traffic_route *const route =
        routes->find(view(request[http::field::host]), target.substr(0, target.find('?')));
    if (route == nullptr) {
        m_withoutRoute.add();
        co_return ownAnswer(http::status::not_found, "no route matches\n");
    }
    const auto allowed = numberIn(view(request[m_options.headers.timeLeft]));
    const milliseconds clientLimit =
        allowed && *allowed > 0 ? milliseconds(*allowed) : m_options.usualTimeLimit;
    journey trip{request,
                 client,
                 *route,
                 partOf(*route),
                 route->affinity ? std::string(view(request[m_options.headers.object]))
                                 : std::string(),
                 now,
                 now + std::min(clientLimit, route->timeout) - m_options.answerReserve,
                 {},
                 std::nullopt,
                 false,
                 std::nullopt,
                 std::nullopt,
                 0,
                 0};
    m_budget.request(trip.service, now);
    co_return co_await carry(trip);
}

milliseconds request_relay::usableTime(const journey &trip, instant now) const
{
    const auto left = std::chrono::duration_cast<milliseconds>(trip.due - now);
    if (!m_end)
        return left;
    return std::min(
        left, std::chrono::duration_cast<milliseconds>((*m_end - now) * usableShareBeforeEnd));
}

asio::awaitable<relay_response> request_relay::carry(journey &trip)
{
    for (;;) {
        const instant now = m_options.now();
        const auto left = std::chrono::duration_cast<milliseconds>(trip.due - now);
        const milliseconds usable = usableTime(trip, now);
        if (trip.client.hasLeft())
            co_return openEnd(trip, "client_left");
        if (left <= shortestSending)
            co_return trip.mayHaveRun ? openEnd(trip, "time_over")
                                      : refusal(trip, "time_over", milliseconds(0));
        if (trip.unreachable >= mostUnreachable
            || (trip.sent > 0
                && (trip.sent >= trip.route.maximumAttempts || !m_budget.spend(trip.service, now))))
            co_return trip.mayHaveRun ? openEnd(trip, "attempts_used")
                                      : refusal(trip, "attempts_used", retryAfterNoUpstream);
        no_choice reason;
        const auto upstream = m_choice.choose({trip.service, trip.object, trip.route.regions,
                                               trip.route.latencyTarget, usable, trip.tried,
                                               trip.formerRegion, trip.route.name},
                                              now, reason);
        if (!upstream && trip.mayHaveRun)
            co_return openEnd(trip, "no_upstream");
        if (!upstream)
            co_return usable < left ? refusal(trip, "process_ends", retryAfterEnd)
                                    : refusal(trip, reasonText(reason), reason.retryAfter);
        trip.tried.insert(upstream->life.id);
        trip.formerRegion = upstream->region;
        if (auto answer = co_await attempt(trip, *upstream))
            co_return std::move(*answer);
    }
}

asio::awaitable<std::optional<relay_response>>
request_relay::attempt(journey &trip, const chosen_upstream &upstream)
{
    const instant sent = m_options.now();
    const sending_record sending =
        m_choice.started(upstream.life.id, trip.object, sent, trip.route.name);
    m_flows.sent(trip.service, upstream.region, trip.sent > 0);
    sending_result result = co_await sendTo(trip, upstream);
    const sending_outcome outcome =
        trip.client.hasLeft() && result.kind != sending_result::end::answered
        ? sending_outcome::abandoned
        : judge(result);
    // Without a connection nothing was sent, which counts neither as an attempt nor as a repeat.
    ++(outcome == sending_outcome::unreachable ? trip.unreachable : trip.sent);
    const std::optional<upstream_load> load = noteLoad(upstream, result, outcome, sending, sent);
    trip.last = {upstream, sending.knowledge,
                 std::chrono::duration_cast<milliseconds>(m_options.now() - sent), load};
    log_line(log_level::debug, "relay", "attempt_ended")
        .field("request", view(trip.request[m_options.headers.requestId]))
        .field("upstream", upstream.life.id.text())
        .field("outcome", static_cast<int>(outcome));
    switch (outcome) {
    case sending_outcome::answered:
        noteEnd(trip, "answered", "");
        co_return handedOn(result.answer);
    case sending_outcome::failed:
        if (trip.route.idempotent && trip.sent < trip.route.maximumAttempts) {
            trip.mayHaveRun = true;
            trip.failure = handedOn(result.answer);
            co_return std::nullopt;
        }
        noteEnd(trip, "failed", "upstream_failed");
        co_return handedOn(result.answer);
    case sending_outcome::unreachable:
    case sending_outcome::shed:
    case sending_outcome::replaced:
        co_return std::nullopt;
    case sending_outcome::broken:
        trip.mayHaveRun = true;
        if (trip.route.idempotent)
            co_return std::nullopt;
        co_return openEnd(trip, "connection_broken");
    case sending_outcome::timed_out:
        trip.mayHaveRun = true;
        co_return openEnd(trip, "time_over");
    case sending_outcome::abandoned:
        trip.mayHaveRun = true;
        co_return openEnd(trip, "client_left");
    }
    co_return std::nullopt;
}

asio::awaitable<sending_result> request_relay::sendTo(journey &trip,
                                                      const chosen_upstream &upstream)
{
    sending_result nothingSent;
    const endpoint_address &address = upstream.life.address;
    // Only the id tells an answer from a late one to an earlier request.
    std::shared_ptr<upstream_connection> connection;
    if (!trip.request[m_options.headers.requestId].empty())
        connection = m_connections.take(address, m_options.now());
    if (!connection) {
        connection = std::make_shared<upstream_connection>(m_context);
        const instant began = m_options.now();
        tcp_endpoint endpoint;
        try {
            endpoint = toEndpoint(address.text());
        } catch (const std::exception &) {
            co_return nothingSent;
        }
        const auto left = std::chrono::duration_cast<milliseconds>(trip.due - began);
        const milliseconds patience = std::min(
            m_options.connectLimit, connectRoundTrips * upstream.roundTrip + connectReserve);
        const milliseconds limit = std::min(left, patience);
        if (!co_await openConnection(m_context, connection, endpoint, limit))
            co_return nothingSent;
        m_choice.noteRoundTrip(upstream.life.zone, m_options.now() - began);
        m_connectionsOpened.add();
    }
    const auto left = std::chrono::duration_cast<milliseconds>(trip.due - m_options.now());
    if (trip.client.hasLeft() || left <= shortestSending)
        co_return nothingSent;
    // The upstream stops a request whose connection closes. One that must not be repeated runs to
    // its end, because breaking it off would leave its outcome open.
    if (trip.route.idempotent)
        trip.client.onLeave([connection] {
            error_code ignored;
            connection->socket.close(ignored);
        });
    // Temporaries in an awaited call are destroyed twice by g++ 12, so arguments have names.
    const std::shared_ptr<const relay_request> request = forwarded(trip, upstream.life);
    const exchange_limits limits{left, m_options.largestAnswer};
    m_awaiting.insert(connection);
    sending_result result =
        co_await exchange(m_context, connection, request, m_options.headers, limits);
    m_awaiting.erase(connection);
    trip.client.onLeave({});
    // The request may be sent to this address again, for another lifetime.
    const bool replaced = result.answer.result() == http::status::misdirected_request;
    if (result.kind == sending_result::end::answered && !replaced)
        m_connections.keep(address, connection, result.answer, m_options.now());
    co_return result;
}

std::shared_ptr<const relay_request>
request_relay::forwarded(const journey &trip, const upstream_incarnation &life) const
{
    auto request = std::make_shared<relay_request>(trip.request);
    const bool hadLength = request->has_content_length() || request->chunked();
    eraseConnectionHeaders(*request);
    const auto left = std::chrono::duration_cast<milliseconds>(trip.due - m_options.now());
    request->set(m_options.headers.timeLeft,
                 std::to_string(std::max(left, milliseconds(1)).count()));
    request->set(m_options.headers.expectedUpstream, life.id.text());
    request->version(11);
    if (hadLength)
        request->content_length(request->body().size());
    return request;
}

} // namespace kingcuptiller
