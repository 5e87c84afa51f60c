#pragma once

#include "kingcuptiller/relay/request_relay.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace kingcuptiller {

// The last attempt of a request, for the log.
struct request_relay::last_attempt
{
    chosen_upstream upstream;
    object_knowledge objectCacheState = object_knowledge::none;
    milliseconds duration{0};
    // Load that the upstream reported in its response.
    std::optional<upstream_load> loadReport;
};

// State of one client request while it is being forwarded.
struct request_relay::request_progress
{
    const relay_request &request;
    client_disconnect_signal &client;
    const traffic_route &route;
    service_name service;
    // Key of the object that the request concerns; empty when the route has no affinity.
    std::string object;
    instant arrivedAt;
    // Latest time at which the relay must have a response to return to the client.
    instant deadline;
    std::set<upstream_id> triedUpstreams;
    // Region of the previous attempt.
    std::optional<region_name> previousRegion;
    // An earlier attempt may have run the request.
    bool mayHaveRun = false;
    // Response of an upstream that failed an idempotent request, sent to the client when no retry
    // succeeds.
    std::optional<relay_response> failureResponse;
    std::optional<last_attempt> lastAttempt;
    // Upstreams to which the request was sent.
    std::uint32_t sentAttempts = 0;
    // Upstreams to which no connection could be established.
    std::uint32_t failedConnections = 0;
};

} // namespace kingcuptiller
