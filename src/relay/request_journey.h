#pragma once

#include "kingcuptiller/relay/request_relay.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace kingcuptiller {

// What the log tells of a request's last sending.
struct request_relay::last_sending
{
    chosen_upstream upstream;
    object_cache_state cacheState = object_cache_state::no_object;
    milliseconds took{0};
    // What the upstream reported beside its answer.
    std::optional<upstream_load_report> load;
};

struct request_relay::journey
{
    const relay_request &request;
    client_presence &client;
    const traffic_route &route;
    service_name service;
    std::string object;
    instant arrived;
    // When the client must have its answer.
    instant due;
    std::set<upstream_id> tried;
    std::optional<region_name> formerRegion;
    // An earlier sending may have run.
    bool mayHaveRun = false;
    // The answer of an upstream that failed an idempotent request.
    std::optional<relay_response> failure;
    std::optional<last_sending> last;
    // Upstreams that got the request, and those to which there was no connection.
    std::uint32_t sent = 0;
    std::uint32_t unreachable = 0;
};

} // namespace kingcuptiller
