#pragma once

#include "kingcuptiller/accounts/account_credits.h"
#include "kingcuptiller/accounts/authentication.h"
#include "kingcuptiller/fleet/fleet_view.h"
#include "kingcuptiller/fleet/traffic_configuration.h"
#include "kingcuptiller/relay/load_exchange.h"
#include "kingcuptiller/relay/region_flows.h"
#include "kingcuptiller/relay/request_metrics.h"
#include "kingcuptiller/relay/shared_retry_budget.h"
#include "kingcuptiller/relay/traffic_server.h"
#include "kingcuptiller/relay/upstream_choice.h"
#include "kingcuptiller/relay/upstream_connections.h"
#include "kingcuptiller/relay/weighted_split.h"
#include "kingcuptiller/telemetry/counters.h"
#include "kingcuptiller/values/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuptiller {

struct relay_options
{
    relay_headers headers;
    upstream_choice_settings choice;
    retry_budget_limits retryBudget;
    // Time limit of a request that does not state its own.
    milliseconds defaultTimeLimit{10'000};
    // Time reserved for returning the response to the client; the deadline of a request is earlier
    // by this time.
    milliseconds responseReturnReserve{20};
    // Upper bound of the connect timeout. The timeout is shorter when the round-trip time to the
    // upstream is short or the deadline of the request is near.
    milliseconds maximumConnectTimeout{1'000};
    // Limit of a response body in bytes on the wire, chunk framing included. Reading from an
    // upstream that sends more is stopped.
    std::uint64_t maximumResponseBytes = 8'388'608;
    // Limit of all response bodies together that are being read or sent to clients. An exchange
    // with a response that does not fit is aborted.
    std::uint64_t maximumHeldResponseBytes = 67'108'864;
    // Seed of the random choices that must differ between entries, and between runs of one entry.
    std::uint64_t runSeed = 0;
    // Returns the current time.
    std::function<instant()> now;
    // The latest time at which a control host that is current answered; empty if that does not
    // matter to the relay.
    std::function<instant()> lastControlContact{};
    // Without such an answer for this long, requests that need the key of an account are refused,
    // because the key may have been revoked; nothing if known keys stay valid.
    std::optional<milliseconds> revocationLimit{};
    // The address of this entry, by which control knows it.
    endpoint_address entry{};
    // Called when a request waits for a credit, so that a message should be sent soon.
    std::function<void()> onCreditShortage{};
};

// Forwards client requests to upstreams: finds the route, chooses an upstream, sends the request,
// retries where that is safe, and determines the response to the client. It guarantees:
//
// - A request that is not idempotent is retried only when it is certain that it has not run: no
//   connection was established, or the upstream stated that it has not run the request.
// - The client gets 503 only when it is certain that the request, idempotent or not, has not run.
// If
//   the request may have run, the client gets the failure response of the upstream if there is one,
//   else 504 when the deadline has passed and 502 in other cases.
// - If the configuration has client accounts, a request whose route is not public runs only with
// the
//   key of one. The upstream gets the name of the account and never the key.
// - A success response is forwarded only when it is complete, carries the header that marks it as
//   created by an upstream (`relay_headers::upstreamMarker`), and is the response to this request
//   by its request id or by its connection (see `exchangeHttp`).
//
// Not thread-safe: use it only in the thread that runs `context`.
class request_relay
{
public:
    request_relay(boost::asio::io_context &context, relay_options options,
                  counter_registry &counters);

    // Applies a newer view of the fleet. `configuration` is the decoded configuration of `view`, or
    // nullopt when it has not changed since the last call.
    void update(const fleet_view &view, const std::optional<traffic_configuration> &configuration);

    // Forwards one request and returns the response for its client. Closes the upstream connection
    // of an idempotent request when `client` reports that the client has disconnected.
    [[nodiscard]] boost::asio::awaitable<relay_response> handle(const relay_request &request,
                                                                client_disconnect_signal &client);

    // Whether the body of the request is sent to the upstream while it is received.
    [[nodiscard]] bool streamsBody(const request_head &head) const;
    // Returns the limits for client requests from the current configuration.
    [[nodiscard]] client_limits limits() const;
    // Returns whether a configuration is known, so that requests can be forwarded.
    [[nodiscard]] bool ready() const { return m_routes != nullptr; }
    // Announces that the process exits soon after `end`. From now on a request is sent to an
    // upstream only if its deadline is not later than `end`, since how long it will take is not
    // known. Other requests are rejected, also those that wait to be sent. Attempts still in
    // progress at `end`, which began before this call, are aborted, so that their clients get a
    // response.
    void setProcessEnd(instant end);
    // Returns the rejection of a request that is not handled in time before the process exits, even
    // if it were handled now; nothing for other requests. For requests whose bodies are still to be
    // received.
    [[nodiscard]] std::optional<relay_response> rejectBeforeExit(const request_head &head);
    // The messages by which this entry gets credits for the rate limits of accounts. Returns
    // nothing if none is due, in particular if no account has a limit.
    [[nodiscard]] std::optional<credit_request> takeCreditRequest();
    // The load reports that upstreams have sent to this entry since the last call.
    [[nodiscard]] std::vector<shared_load_report> takeLoadReports();
    // Applies load reports that other entries have received.
    void applyLoadReports(const std::vector<shared_load_report> &reports);
    [[nodiscard]] bool isShortOfCredits() const { return m_credits.isShort(); }
    void applyCreditReply(const credit_reply &reply);
    // Closes unusable idle connections and logs the number of requests sent to each region, and to
    // each part of a route that splits its requests, since the last call. Call it about once a
    // second; between calls, unusable connections stay open.
    void runPeriodicTasks();

private:
    struct last_attempt;
    struct request_identity;
    // State of one client request while it is being forwarded.
    struct request_progress;

    [[nodiscard]] static std::size_t requestBodyBytes(const request_progress &progress);
    [[nodiscard]] boost::asio::awaitable<relay_response> runAttempts(request_progress &progress);
    [[nodiscard]] authentication_result authenticateRequest(const route_table &routes,
                                                            const relay_request &request) const;
    // Whether so much time has passed without news from control that keys may have been revoked.
    [[nodiscard]] bool areKeysOutdated(instant now) const;
    [[nodiscard]] relay_response rejectUnauthenticated(const relay_request &request,
                                                       authentication_failure failure);
    [[nodiscard]] relay_response refuseRevokedKey(request_progress &progress);
    // Looks up the key of a request anew after a change of the configuration. Returns false if the
    // request may not be sent any more.
    [[nodiscard]] bool refreshIdentity(request_progress &progress) const;
    // Spends a credit of the request's account, and waits for one if necessary. Returns a response
    // if the request is rejected.
    [[nodiscard]] boost::asio::awaitable<std::optional<relay_response>>
    acquireCredit(request_progress &progress);
    // Waits until credits arrive, the process is told to exit, or `until`.
    [[nodiscard]] boost::asio::awaitable<void> waitForCredits(instant until);
    void wakeCreditWaiters();
    [[nodiscard]] relay_response rejectOverLimit(request_progress &progress,
                                                 milliseconds retryAfter);
    // Removes the key from a request for an upstream, and sets the name of the account.
    void setAccountHeaders(const request_identity &identity, relay_request &request) const;
    // Returns the route of a request in the current configuration; nullptr if there is none.
    [[nodiscard]] const traffic_route *findRoute(const request_head &head) const;
    // Returns the deadline of a request that arrives at `now`.
    [[nodiscard]] instant deadlineOf(const request_head &head, const traffic_route &route,
                                     instant now) const;
    // Whether the process exits before `deadline`.
    [[nodiscard]] bool exitsBefore(instant deadline) const;
    // Ends a request that is not sent because the process exits before its deadline.
    [[nodiscard]] relay_response rejectBeforeExit(request_progress &progress);
    // Whether the time has come at which attempts that are in progress are aborted.
    [[nodiscard]] bool hasProcessEnded() const;
    [[nodiscard]] boost::asio::awaitable<std::optional<relay_response>>
    runAttempt(request_progress &progress, const chosen_upstream &upstream);
    [[nodiscard]] boost::asio::awaitable<upstream_attempt_result>
    sendToUpstream(request_progress &progress, const chosen_upstream &upstream);
    [[nodiscard]] std::shared_ptr<const relay_request>
    makeForwardedRequest(const request_progress &progress,
                         const upstream_incarnation &incarnation) const;
    [[nodiscard]] upstream_attempt_outcome
    classifyAttempt(const upstream_attempt_result &result) const;
    [[nodiscard]] relay_response makeClientResponse(relay_response response) const;
    // Returns a 503 response, with Retry-After when `retryAfter` is positive.
    [[nodiscard]] relay_response makeRefusal(std::string_view reason,
                                             milliseconds retryAfter) const;
    // Records the end of a request that has not run and returns a 503 response, with Retry-After
    // when `retryAfter` is positive.
    [[nodiscard]] relay_response refuseRequest(request_progress &progress, std::string_view reason,
                                               milliseconds retryAfter);
    // Records the end of a request that may have run and returns the failure response of an
    // upstream if there is one, else 504 for the reason "time_over" and 502 for any other.
    [[nodiscard]] relay_response endWithUnknownOutcome(request_progress &progress,
                                                       std::string_view reason);
    // Reports the result of an attempt to `m_upstreamChoice`. Returns the load that the upstream
    // reported, if any.
    std::optional<upstream_load_report> recordAttemptResult(const chosen_upstream &upstream,
                                                            const upstream_attempt_result &result,
                                                            upstream_attempt_outcome outcome,
                                                            const upstream_attempt_record &attempt,
                                                            instant sentAt);
    // Records the end of a request in the metrics and in the log event request_ended.
    void recordRequestEnd(const request_progress &progress, std::string_view outcome,
                          std::string_view reason);

    boost::asio::io_context &m_context;
    relay_options m_options;
    counter &m_requestsWithoutRoute;
    counter &m_requestsWithoutAccount;
    counter &m_connectionsOpened;
    request_metrics m_metrics;
    region_flows m_regionFlows;
    upstream_choice m_upstreamChoice;
    shared_retry_budget m_retryBudget;
    upstream_connection_pool m_idleConnections;
    byte_budget m_heldResponseBytes;
    counter &m_heldResponseBytesGauge;
    // Connections that have an exchange in progress. They are closed at `m_processEnd`.
    std::set<std::shared_ptr<upstream_connection>> m_connectionsAwaitingResponse;
    std::optional<instant> m_processEnd;
    boost::asio::steady_timer m_processEndTimer;
    std::shared_ptr<const route_table> m_routes;
    client_limits m_limits;
    revision_number m_configurationVersion;
    weighted_split m_weightedSplit;
    load_report_queue m_loadReports;
    account_credits m_credits;
    bool m_hasRateLimits = false;
    // The timers of requests that wait for credits.
    std::set<boost::asio::steady_timer *> m_creditWaiters;
};

} // namespace kingcuptiller
