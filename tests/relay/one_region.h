#pragma once

#include "kingcuptiller/relay/upstream_choice.h"

#include <cstdint>
#include <string>

namespace kingcuptiller {

// Settings of an entry whose upstreams are all in its own availability zone "a" and region "r".
inline upstream_choice_settings oneRegionSettings()
{
    upstream_choice_settings result;
    result.region = region_name("r");
    result.zone = zone_name("a");
    result.regions = {{zone_name("a"), region_name("r")}};
    return result;
}

// An upstream in that zone.
inline upstream_incarnation makeUpstream(const std::string &id, const service_name &service,
                                         std::uint32_t slots)
{
    upstream_incarnation result;
    result.id = upstream_id(id);
    result.startTimeMs = 1;
    result.sequence = 1;
    result.address = endpoint_address("10.0.0.1:80");
    result.service = service;
    result.zone = zone_name("a");
    result.slots = slots;
    return result;
}

} // namespace kingcuptiller
