#pragma once

#include "kingcuptiller/relay/request_relay.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace kingcuptiller {

// What the log tells of a request's last sending.
struct request_relay::last_attempt
{
    chosen_upstream upstream;
    object_knowledge knowledge = object_knowledge::none;
    milliseconds duration{0};
    // What the upstream reported beside its answer.
    std::optional<upstream_load> loadReport;
};

struct request_relay::request_progress
{
    const relay_request &request;
    client_disconnect_signal &client;
    const traffic_route &route;
    service_name service;
    std::string object;
    instant arrivedAt;
    // When the client must have its answer.
    instant deadline;
    std::set<upstream_id> triedUpstreams;
    std::optional<region_name> previousRegion;
    // An earlier sending may have run.
    bool mayHaveRun = false;
    // The answer of an upstream that failed an idempotent request.
    std::optional<relay_response> failureResponse;
    std::optional<last_attempt> lastAttempt;
    // Upstreams that got the request, and those to which there was no connection.
    std::uint32_t attempts = 0;
    std::uint32_t failedConnections = 0;
};

} // namespace kingcuptiller
