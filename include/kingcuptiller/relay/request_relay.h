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
    retry_limits retries;
    // Time limit where a client names none.
    milliseconds usualTimeLimit{10'000};
    // Time that an answer needs on its way back to the client.
    milliseconds answerReserve{20};
    milliseconds connectLimit{1'000};
    // Bytes of an answer's body as they are sent, with the framing of chunks; an upstream that
    // sends more is not read any further.
    std::uint64_t largestAnswer = 8'388'608;
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
                                                                client_presence &client);

    [[nodiscard]] client_limits limits() const;
    // A configuration is known, so that requests can be carried.
    [[nodiscard]] bool ready() const { return m_routes != nullptr; }
    // The process ends at `end`. From now on a request is sent only when its answer is expected
    // well before; what is still under way then is broken off, so that its client gets an answer.
    void endBy(instant end);
    // Closes idle connections and logs where requests went; call it about once a second.
    void tick();

private:
    struct last_sending;
    // One request of a client on its way.
    struct journey;

    [[nodiscard]] boost::asio::awaitable<relay_response> carry(journey &trip);
    // How long an answer may be expected to take.
    [[nodiscard]] milliseconds usableTime(const journey &trip, instant now) const;
    [[nodiscard]] boost::asio::awaitable<std::optional<relay_response>>
    attempt(journey &trip, const chosen_upstream &upstream);
    [[nodiscard]] boost::asio::awaitable<sending_result> sendTo(journey &trip,
                                                                const chosen_upstream &upstream);
    [[nodiscard]] std::shared_ptr<const relay_request>
    forwarded(const journey &trip, const upstream_incarnation &life) const;
    [[nodiscard]] sending_outcome judge(const sending_result &result) const;
    [[nodiscard]] relay_response handedOn(const relay_response &answer) const;
    [[nodiscard]] relay_response refusal(journey &trip, std::string_view reason,
                                         milliseconds retryAfter);
    [[nodiscard]] relay_response openEnd(journey &trip, std::string_view reason);
    [[nodiscard]] const service_name &partOf(const traffic_route &route);
    // Tells the choice how a sending ended; returns the load that the upstream reported.
    std::optional<upstream_load> noteLoad(const chosen_upstream &upstream,
                                          const sending_result &result, sending_outcome outcome,
                                          const sending_record &sending, instant sent);
    void noteEnd(const journey &trip, std::string_view outcome, std::string_view reason);

    boost::asio::io_context &m_context;
    relay_options m_options;
    counter &m_withoutRoute;
    counter &m_connectionsOpened;
    request_metrics m_metrics;
    region_flows m_flows;
    upstream_choice m_choice;
    shared_retry_budget m_budget;
    upstream_connections m_connections;
    // Connections on which an answer is awaited.
    std::set<std::shared_ptr<upstream_connection>> m_awaiting;
    std::optional<instant> m_end;
    boost::asio::steady_timer m_endTimer;
    std::shared_ptr<const route_table> m_routes;
    client_limits m_limits;
    revision_number m_version;
    // Requests that each part of a split route has got, as shares of its weight.
    std::map<std::string, std::map<service_name, double>> m_partsServed;
};

} // namespace kingcuptiller
