#pragma once

#include "kingcuptiller/fleet/fleet_view.h"
#include "kingcuptiller/fleet/traffic_configuration.h"
#include "kingcuptiller/relay/region_flows.h"
#include "kingcuptiller/relay/request_metrics.h"
#include "kingcuptiller/relay/shared_retry_budget.h"
#include "kingcuptiller/relay/traffic_server.h"
#include "kingcuptiller/relay/upstream_choice.h"
#include "kingcuptiller/relay/upstream_connections.h"
#include "kingcuptiller/telemetry/counters.h"
#include "kingcuptiller/values/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace kingcuptiller {

struct relay_options
{
    relay_headers headers;
    choice_settings choice;
    retry_budget_limits retries;
    // Time limit where a client names none.
    milliseconds defaultTimeLimit{10'000};
    // Time that an answer needs on its way back to the client.
    milliseconds responseReturnReserve{20};
    milliseconds maximumConnectTimeout{1'000};
    // Bytes of an answer's body as they are sent, with the framing of chunks; an upstream that
    // sends more is not read any further.
    std::uint64_t maximumResponseBytes = 8'388'608;
    std::function<instant()> now;
};

// Carries requests of clients to upstreams: finds the route, chooses the upstream, sends, and
// decides what the client is told. It keeps these promises:
//
// - A request that must not be repeated is sent again only after proof that it has not run: no
//   connection was made, or the upstream said so itself.
// - 503 is answered only with that proof; an open outcome is answered 502 or 504.
// - A success is handed on only when it is complete, sealed and belongs to the request.
//
// One thread owns it, that of `context`.
class request_relay
{
public:
    request_relay(boost::asio::io_context &context, relay_options options,
                  counter_registry &counters);

    // Takes over a newer view of the fleet. The configuration of `view` is decoded by the caller
    // and is left out when it has not changed.
    void update(const fleet_view &view, const std::optional<traffic_configuration> &configuration);

    [[nodiscard]] boost::asio::awaitable<relay_response> handle(const relay_request &request,
                                                                client_disconnect_signal &client);

    [[nodiscard]] client_limits limits() const;
    // A configuration is known, so that requests can be carried.
    [[nodiscard]] bool ready() const { return m_routes != nullptr; }
    // The process ends at `end`. From now on a request is sent only when its answer is expected
    // well before; what is still under way then is broken off, so that its client gets an answer.
    void setProcessEnd(instant end);
    // Closes idle connections and logs where requests went; call it about once a second.
    void tick();

private:
    struct last_attempt;
    // One request of a client on its way.
    struct request_progress;

    [[nodiscard]] boost::asio::awaitable<relay_response> runAttempts(request_progress &progress);
    // How long an answer may be expected to take.
    [[nodiscard]] milliseconds maximumExpectedDuration(const request_progress &progress,
                                                       instant now) const;
    [[nodiscard]] boost::asio::awaitable<std::optional<relay_response>>
    runAttempt(request_progress &progress, const chosen_upstream &upstream);
    [[nodiscard]] boost::asio::awaitable<upstream_attempt_result>
    sendToUpstream(request_progress &progress, const chosen_upstream &upstream);
    [[nodiscard]] std::shared_ptr<const relay_request>
    makeForwardedRequest(const request_progress &progress, const upstream_life &life) const;
    [[nodiscard]] sending_outcome classifyAttempt(const upstream_attempt_result &result) const;
    [[nodiscard]] relay_response makeClientResponse(const relay_response &response) const;
    [[nodiscard]] relay_response refuseRequest(request_progress &progress, std::string_view reason,
                                               milliseconds retryAfter);
    [[nodiscard]] relay_response endWithUnknownOutcome(request_progress &progress,
                                                       std::string_view reason);
    [[nodiscard]] const service_name &selectServiceOfRoute(const traffic_route &route);
    // Tells the choice how a sending ended; returns the load that the upstream reported.
    std::optional<upstream_load> recordAttemptResult(const chosen_upstream &upstream,
                                                     const upstream_attempt_result &result,
                                                     sending_outcome outcome,
                                                     const sending_record &attempt, instant sentAt);
    void recordEnd(const request_progress &progress, std::string_view outcome,
                   std::string_view reason);

    boost::asio::io_context &m_context;
    relay_options m_options;
    counter &m_requestsWithoutRoute;
    counter &m_connectionsOpened;
    request_metrics m_metrics;
    region_flows m_regionFlows;
    upstream_choice m_upstreamChoice;
    shared_retry_budget m_retryBudget;
    upstream_connection_pool m_idleConnections;
    // Connections on which an answer is awaited.
    std::set<std::shared_ptr<upstream_connection>> m_connectionsAwaitingResponse;
    std::optional<instant> m_processEnd;
    boost::asio::steady_timer m_processEndTimer;
    std::shared_ptr<const route_table> m_routes;
    client_limits m_limits;
    revision_number m_configurationVersion;
    // Requests that each part of a split route has got, as shares of its weight.
    std::map<std::string, std::map<service_name, double>> m_requestsByRoutePart;
};

} // namespace kingcuptiller
