#include "kingcuptiller/relay/upstream_choice.h"

#include <limits>
#include <map>
#include <utility>
#include <vector>

// How the choice of upstreams keeps the shares of regions.

namespace kingcuptiller {

namespace {

// What it costs to use a region that has got almost all that it may take, so that the requests that
// lose least by it go elsewhere.
constexpr double pressureMs = 600;

} // namespace

void upstream_choice::beginShares(service_record &service, instant now)
{
    std::map<region_name, region_capacity> regions;
    for (const auto &[region, entries] : m_entriesByRegion)
        regions[region].entries = entries;
    const region_weights slots = usableSlots(service, now);
    for (const auto &[region, count] : slots)
        regions[region].slots = count;
    service.shares.begin(initialShares(m_settings.region, regions), now);
}

region_weights upstream_choice::usableSlots(const service_record &service, instant now) const
{
    region_weights slots;
    for (const upstream_id &id : service.members) {
        const upstream_record &upstream = m_upstreams.at(id);
        if (!upstream.evacuated && now >= upstream.lostUntil && now >= upstream.coldUntil)
            slots[upstream.region] += upstream.life.slots;
    }
    return slots;
}

const upstream_choice::choice_option *
upstream_choice::withinCap(region_shares &shares,
                           const std::map<region_name, choice_option> &options, bool isRepeat)
{
    if (shares.isSparse()) {
        std::vector<region_name> regions;
        for (const auto &[region, option] : options) {
            if (isRepeat)
                regions.push_back(region);
        }
        const auto drawn = options.find(shares.draw(std::move(regions)));
        return drawn == options.end() ? nullptr : &drawn->second;
    }
    const choice_option *taken = nullptr;
    double takenCost = std::numeric_limits<double>::max();
    for (const auto &[region, option] : options) {
        if (!shares.mayTake(region))
            continue;
        const double cost = option.cost + shares.pressure(region) * pressureMs;
        if (cost < takenCost) {
            taken = &option;
            takenCost = cost;
        }
    }
    return taken;
}

} // namespace kingcuptiller
