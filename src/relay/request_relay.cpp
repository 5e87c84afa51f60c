#include "kingcuptiller/relay/request_relay.h"

#include "header_text.h"
#include "kingcuptiller/telemetry/log.h"
#include "request_progress.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace kingcuptiller {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

// No attempt is started with less time than this: no upstream can respond in it, and the attempt
// would only put load on the upstream.
constexpr milliseconds minimumAttemptTime{5};
// Retry-After of a refusal after too many attempts or failed connections.
constexpr milliseconds retryAfterAttemptsExhausted{500};
// The assumed size of the headers of a request and its response together.
constexpr std::size_t headerBytes = 700;
// Failed connection attempts after which a request is not tried on further upstreams.
constexpr std::uint32_t maximumFailedConnections = 4;
// The connect timeout is this number of round-trip times plus a reserve for a busy upstream. It
// does not wait for the retransmission of a lost SYN, which TCP sends only after one second: by
// then another upstream is the better choice.
constexpr int connectRoundTrips = 4;
constexpr milliseconds connectReserve{200};

using internal::eraseConnectionHeaders;
using internal::parseInteger;
using internal::toStringView;

std::string_view reasonName(const choice_failure &reason)
{
    if (reason.noUpstreams)
        return "no_upstream";
    if (reason.allBackOff)
        return "all_back_off";
    return reason.shiftCapped ? "shift_cap" : "all_busy";
}

} // namespace

request_relay::request_relay(asio::io_context &context, relay_options options,
                             counter_registry &counters)
    : m_context(context)
    , m_options(std::move(options))
    , m_requestsWithoutRoute(counters.get("kct_relay_requests_without_route"))
    , m_requestsWithoutAccount(counters.get("kct_relay_requests_without_account"))
    , m_connectionsOpened(counters.get("kct_relay_connections_opened"))
    , m_metrics(counters)
    , m_regionFlows(counters)
    , m_upstreamChoice(m_options.choice)
    , m_retryBudget(m_options.retryBudget)
    , m_heldResponseBytes(m_options.maximumHeldResponseBytes)
    , m_heldResponseBytesGauge(counters.get("kct_relay_held_response_bytes"))
    , m_processEndTimer(context)
    , m_weightedSplit(m_options.runSeed)
    , m_credits(m_options.entry, m_options.runSeed)
{
}

void request_relay::update(const fleet_view &view,
                           const std::optional<traffic_configuration> &configuration)
{
    if (configuration && (m_routes == nullptr || configuration->version > m_configurationVersion)) {
        m_routes = std::make_shared<const route_table>(*configuration);
        m_weightedSplit.update(*m_routes);
        const auto &accounts = m_routes->accounts().accounts();
        m_hasRateLimits = std::any_of(accounts.begin(), accounts.end(), [](const auto &each) {
            return each.second.limit.requestsPerSecond > 0;
        });
        m_limits = configuration->limits;
        m_configurationVersion = configuration->version;
    }
    m_retryBudget.setEntryCount(view.entries.size());
    m_credits.setEntryCount(view.entries.size());
    static const route_table noRoutes;
    m_upstreamChoice.update(view, m_routes ? *m_routes : noRoutes, m_options.now());
}

client_limits request_relay::limits() const
{
    return m_limits;
}

void request_relay::runPeriodicTasks()
{
    m_idleConnections.closeUnusable(m_options.now());
    m_heldResponseBytesGauge.set(m_heldResponseBytes.heldBytes());
    for (const region_request_counts &flow : m_regionFlows.take()) {
        log_line(log_level::info, "relay", "region_flows")
            .field("service", flow.service.text())
            .field("region", flow.region.text())
            .field("first", flow.firstAttempts)
            .field("repeated", flow.retryAttempts);
    }
    for (const split_part_counts &part : m_weightedSplit.take()) {
        log_line(log_level::info, "relay", "route_split")
            .field("route", part.route)
            .field("service", part.service.text())
            .field("version", m_configurationVersion.number())
            .field("share", part.share)
            .field("assigned", part.assigned)
            .field("answered", part.answered)
            .field("refused", part.refused);
    }
}

std::vector<shared_load_report> request_relay::takeLoadReports()
{
    return m_loadReports.take(m_options.now());
}

void request_relay::applyLoadReports(const std::vector<shared_load_report> &reports)
{
    m_upstreamChoice.applySharedReports(reports, m_options.now());
}

asio::awaitable<relay_response> request_relay::handle(const relay_request &request,
                                                      client_disconnect_signal &client)
{
    const instant now = m_options.now();
    // Keep the routes alive until the request ends, even if a newer configuration is applied.
    const auto routes = m_routes;
    if (!routes) {
        relay_response response =
            makeTextResponse(http::status::service_unavailable, "no configuration is known yet\n");
        response.set(m_options.headers.retryAfter, "0.5");
        co_return response;
    }
    const traffic_route *const route = findRoute(request);
    if (route == nullptr) {
        m_requestsWithoutRoute.add();
        co_return makeTextResponse(http::status::not_found, "no route matches\n");
    }
    const bool needsKey = !routes->accounts().empty() && !route->isPublic;
    if (needsKey && areKeysOutdated(now)) {
        relay_response response =
            makeTextResponse(http::status::service_unavailable, "not run: keys may be revoked\n");
        response.set(m_options.headers.retryAfter, "0.5");
        co_return response;
    }
    const authentication_result authentication = authenticateRequest(*routes, request);
    if (needsKey && authentication.failure)
        co_return rejectUnauthenticated(request, *authentication.failure);
    request_identity identity{authentication.key, std::nullopt, m_configurationVersion};
    if (authentication.account != nullptr)
        identity.account = *authentication.account;
    auto regions = commonRegions(
        route->regions, identity.account ? identity.account->regions : std::set<region_name>());
    request_progress progress{request,
                              client,
                              *route,
                              route->key(),
                              m_weightedSplit.assign(*route),
                              route->affinity
                                  ? std::string(toStringView(request[m_options.headers.object]))
                                  : std::string(),
                              std::move(identity),
                              std::move(regions),
                              now,
                              deadlineOf(request, *route, now),
                              {},
                              std::nullopt,
                              false,
                              std::nullopt,
                              std::nullopt,
                              false,
                              0,
                              0};
    if (exitsBefore(progress.deadline))
        co_return rejectBeforeExit(progress);
    if (auto rejection = co_await acquireCredit(progress))
        co_return std::move(*rejection);
    m_retryBudget.recordRequest(progress.service, now);
    co_return co_await runAttempts(progress);
}

const traffic_route *request_relay::findRoute(const request_head &head) const
{
    if (!m_routes)
        return nullptr;
    const auto target = toStringView(head.target());
    return m_routes->find(toStringView(head[http::field::host]),
                          target.substr(0, target.find('?')));
}

bool request_relay::streamsBody(const request_head &head) const
{
    const traffic_route *const route = findRoute(head);
    return route != nullptr && route->streamsBodies;
}

std::size_t request_relay::requestBodyBytes(const request_progress &progress)
{
    return progress.client.body() ? progress.client.body()->bytes().size()
                                  : progress.request.body().size();
}

bool request_relay::refreshIdentity(request_progress &progress) const
{
    request_identity &identity = progress.identity;
    if (identity.version == m_configurationVersion || !identity.key)
        return true;
    identity.version = m_configurationVersion;
    const client_account *const account = m_routes->accounts().findByKey(*identity.key);
    if (account == nullptr)
        return m_routes->accounts().empty() || progress.route.isPublic;
    identity.account = *account;
    progress.regions = commonRegions(progress.route.regions, account->regions);
    return true;
}

instant request_relay::deadlineOf(const request_head &head, const traffic_route &route,
                                  instant now) const
{
    const auto clientTimeMs = parseInteger(toStringView(head[m_options.headers.remainingTime]));
    const milliseconds clientLimit = clientTimeMs && *clientTimeMs > 0 ? milliseconds(*clientTimeMs)
                                                                       : m_options.defaultTimeLimit;
    return now + std::min(clientLimit, route.timeout) - m_options.responseReturnReserve;
}

asio::awaitable<relay_response> request_relay::runAttempts(request_progress &progress)
{
    for (;;) {
        const instant now = m_options.now();
        const auto remaining = std::chrono::duration_cast<milliseconds>(progress.deadline - now);
        if (progress.client.hasDisconnected())
            co_return endWithUnknownOutcome(progress, "client_left");
        if (!refreshIdentity(progress))
            co_return progress.mayHaveRun ? endWithUnknownOutcome(progress, "key_revoked")
                                          : refuseRevokedKey(progress);
        if (!progress.regions)
            co_return progress.mayHaveRun
                ? endWithUnknownOutcome(progress, "no_allowed_region")
                : refuseRequest(progress, "no_allowed_region", milliseconds(0));
        if (remaining <= minimumAttemptTime)
            co_return progress.mayHaveRun ? endWithUnknownOutcome(progress, "time_over")
                                          : refuseRequest(progress, "time_over", milliseconds(0));
        if (exitsBefore(progress.deadline))
            co_return rejectBeforeExit(progress);
        if (progress.failedConnections >= maximumFailedConnections
            || (progress.sentAttempts > 0
                && (progress.sentAttempts >= progress.route.maximumAttempts
                    || !m_retryBudget.takeRetry(progress.service, now))))
            co_return progress.mayHaveRun
                ? endWithUnknownOutcome(progress, "attempts_used")
                : refuseRequest(progress, "attempts_used", retryAfterAttemptsExhausted);
        choice_failure reason;
        const auto upstream = m_upstreamChoice.choose(
            {progress.service, progress.object, *progress.regions, progress.route.latencyTarget,
             remaining, progress.triedUpstreams, progress.previousRegion, progress.routeKey},
            now, reason);
        if (!upstream && progress.mayHaveRun)
            co_return endWithUnknownOutcome(progress, "no_upstream");
        if (!upstream)
            co_return refuseRequest(progress, reasonName(reason), reason.retryAfter);
        progress.triedUpstreams.insert(upstream->incarnation.id);
        progress.previousRegion = upstream->region;
        if (auto response = co_await runAttempt(progress, *upstream))
            co_return std::move(*response);
    }
}

asio::awaitable<std::optional<relay_response>>
request_relay::runAttempt(request_progress &progress, const chosen_upstream &upstream)
{
    const instant sentAt = m_options.now();
    const upstream_attempt_record attempt = m_upstreamChoice.attemptStarted(
        upstream.incarnation.id, progress.object, sentAt, progress.routeKey);
    m_regionFlows.sent(progress.service, upstream.region, progress.sentAttempts > 0);
    upstream_attempt_result result = co_await sendToUpstream(progress, upstream);
    const upstream_attempt_outcome outcome = progress.client.hasDisconnected()
            && result.status != upstream_attempt_result::completion_status::answered
        ? upstream_attempt_outcome::abandoned
        : classifyAttempt(result);
    // An upstream to which no connection was established counts neither as an attempt nor as a
    // retry, because nothing was sent.
    ++(outcome == upstream_attempt_outcome::unreachable ? progress.failedConnections
                                                        : progress.sentAttempts);
    progress.client.holdUntilResponded(std::move(result.heldBytes));
    const std::optional<upstream_load_report> load =
        recordAttemptResult(upstream, result, outcome, attempt, sentAt);
    progress.lastAttempt = {upstream, attempt.cacheState,
                            std::chrono::duration_cast<milliseconds>(m_options.now() - sentAt),
                            load};
    log_line(log_level::debug, "relay", "attempt_ended")
        .field("request", toStringView(progress.request[m_options.headers.requestId]))
        .field("upstream", upstream.incarnation.id.text())
        .field("outcome", static_cast<int>(outcome));
    switch (outcome) {
    case upstream_attempt_outcome::answered:
        m_upstreamChoice.recordBytes(progress.service, progress.routeKey,
                                     requestBodyBytes(progress) + result.response.body().size()
                                         + headerBytes);
        recordRequestEnd(progress, "answered", "");
        co_return makeClientResponse(std::move(result.response));
    case upstream_attempt_outcome::failed:
        if (progress.route.idempotent && progress.sentAttempts < progress.route.maximumAttempts) {
            progress.mayHaveRun = true;
            progress.failureResponse = makeClientResponse(std::move(result.response));
            co_return std::nullopt;
        }
        recordRequestEnd(progress, "failed", "upstream_failed");
        co_return makeClientResponse(std::move(result.response));
    case upstream_attempt_outcome::unreachable:
    case upstream_attempt_outcome::shed:
    case upstream_attempt_outcome::replaced:
        co_return std::nullopt;
    case upstream_attempt_outcome::broken:
        progress.mayHaveRun = true;
        if (progress.route.idempotent)
            co_return std::nullopt;
        co_return endWithUnknownOutcome(progress,
                                        hasProcessEnded() ? "process_ends" : "connection_broken");
    case upstream_attempt_outcome::timed_out:
        progress.mayHaveRun = true;
        co_return endWithUnknownOutcome(progress, "time_over");
    case upstream_attempt_outcome::abandoned:
        progress.mayHaveRun = true;
        co_return endWithUnknownOutcome(progress, "client_left");
    }
    co_return std::nullopt;
}

asio::awaitable<upstream_attempt_result>
request_relay::sendToUpstream(request_progress &progress, const chosen_upstream &upstream)
{
    upstream_attempt_result notSent;
    const endpoint_address &address = upstream.incarnation.address;
    // Without a request id, the response cannot be told from a late response to an earlier request,
    // so such a request does not reuse a connection.
    std::shared_ptr<upstream_connection> connection;
    if (!progress.request[m_options.headers.requestId].empty())
        connection = m_idleConnections.acquire(address, m_options.now());
    if (!connection) {
        connection = std::make_shared<upstream_connection>(m_context);
        const instant connectStart = m_options.now();
        tcp_endpoint endpoint;
        try {
            endpoint = parseTcpEndpoint(address.text());
        } catch (const std::exception &) {
            co_return notSent;
        }
        const auto remaining =
            std::chrono::duration_cast<milliseconds>(progress.deadline - connectStart);
        const milliseconds connectTimeout =
            std::min(m_options.maximumConnectTimeout,
                     connectRoundTrips * upstream.roundTripTime + connectReserve);
        const milliseconds limit = std::min(remaining, connectTimeout);
        if (!co_await openConnection(m_context, connection, endpoint, limit))
            co_return notSent;
        m_upstreamChoice.recordRoundTripTime(upstream.incarnation.zone,
                                             m_options.now() - connectStart);
        m_connectionsOpened.add();
    }
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(progress.deadline - m_options.now());
    // While the connection was established, the process may have been told to exit.
    if (progress.client.hasDisconnected() || remaining <= minimumAttemptTime
        || exitsBefore(progress.deadline))
        co_return notSent;
    // An upstream aborts a request when its connection closes. A request that is not idempotent
    // runs to its end, because its outcome would be unknown after an abort.
    if (progress.route.idempotent)
        progress.client.setDisconnectCallback([connection] {
            error_code ignored;
            connection->socket.close(ignored);
        });
    // g++ 12 destroys temporaries in a co_await expression twice, so the arguments are named.
    const std::shared_ptr<const relay_request> request =
        makeForwardedRequest(progress, upstream.incarnation);
    const http_exchange_limits limits{remaining, m_options.maximumResponseBytes,
                                      &m_heldResponseBytes};
    m_connectionsAwaitingResponse.insert(connection);
    upstream_attempt_result result = co_await exchangeHttp(
        m_context, connection, request, m_options.headers, limits, progress.client.body());
    m_connectionsAwaitingResponse.erase(connection);
    progress.client.setDisconnectCallback({});
    // After 421 the same request may be sent to this address again, for another incarnation of the
    // upstream. It must not use this connection, where a repeated refusal would be taken for the
    // new response.
    const bool fromOtherIncarnation = result.response.result() == http::status::misdirected_request;
    if (result.status == upstream_attempt_result::completion_status::answered
        && !fromOtherIncarnation)
        m_idleConnections.giveBack(address, connection, result.response, m_options.now());
    co_return result;
}

std::shared_ptr<const relay_request>
request_relay::makeForwardedRequest(const request_progress &progress,
                                    const upstream_incarnation &incarnation) const
{
    auto request = std::make_shared<relay_request>(progress.request);
    const bool hadLength = request->has_content_length() || request->chunked();
    eraseConnectionHeaders(*request);
    setAccountHeaders(progress.identity, *request);
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(progress.deadline - m_options.now());
    request->set(m_options.headers.remainingTime,
                 std::to_string(std::max(remaining, milliseconds(1)).count()));
    request->set(m_options.headers.expectedUpstream, incarnation.id.text());
    request->version(11);
    const std::shared_ptr<request_body> &streamed = progress.client.body();
    if (!streamed && hadLength)
        request->content_length(request->body().size());
    if (streamed) {
        const std::optional<std::uint64_t> announcedBytes = streamed->announcedBytes();
        if (announcedBytes)
            request->content_length(*announcedBytes);
        else
            request->chunked(true);
    }
    return request;
}

} // namespace kingcuptiller
