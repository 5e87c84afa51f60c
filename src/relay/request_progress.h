#pragma once

#include "kingcuptiller/relay/request_relay.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace kingcuptiller {

// The client account of a request, by the configuration with `version`.
struct request_relay::request_identity
{
    // Nothing if the request carries no key.
    std::optional<key_digest> key;
    // Nothing if the key is unknown, or the configuration has no accounts.
    std::optional<client_account> account;
    revision_number version;
};

// Data about the last attempt of a request for the log event request_ended.
struct request_relay::last_attempt
{
    chosen_upstream upstream;
    // Whether the upstream was expected to have the object in its cache.
    object_cache_state objectCacheState = object_cache_state::no_object;
    // Duration of this attempt.
    milliseconds duration{0};
    // Load that the upstream reported in its response.
    std::optional<upstream_load_report> loadReport;
};

// The client request, its route and deadline, and the results of its attempts so far.
struct request_relay::request_progress
{
    const relay_request &request;
    client_disconnect_signal &client;
    const traffic_route &route;
    std::string routeKey;
    service_name service;
    // Key of the object that the request concerns; empty when the route has no affinity.
    std::string object;
    request_identity identity;
    // Regions whose upstreams may receive the request; empty for all regions. Nothing if route and
    // account have no region in common.
    std::optional<std::set<region_name>> regions;
    instant arrivedAt;
    // Latest time at which the relay must have a response to return to the client.
    instant deadline;
    // Upstreams of all previous attempts and failed connections; they are not chosen again.
    std::set<upstream_id> triedUpstreams;
    // Region of the previous attempt.
    std::optional<region_name> previousRegion;
    // An earlier attempt may have run the request.
    bool mayHaveRun = false;
    // Response of an upstream that failed an idempotent request, sent to the client when no retry
    // succeeds.
    std::optional<relay_response> failureResponse;
    std::optional<last_attempt> lastAttempt;
    // The request has spent a credit of its account.
    bool holdsCredit = false;
    // Number of attempts that reached an upstream; excludes `failedConnections`.
    std::uint32_t sentAttempts = 0;
    // Number of upstreams to which the request could not be sent, mostly for lack of a connection.
    std::uint32_t failedConnections = 0;
};

} // namespace kingcuptiller
