#pragma once

#include "kingcuptiller/control/fleet_registry.h"

#include <cstdint>
#include <vector>

namespace kingcuptiller::internal {

// Splits `total` into whole parts in proportion to `weights` (largest remainder; of equal ones the
// first). The parts add up to `total` unless all weights are 0.
std::vector<std::uint32_t> apportion(std::uint32_t total, const std::vector<double> &weights);

// One entry as the planner sees it, for one class.
struct planned_entry
{
    entry_key key;
    region_name region;
    double demand = 0;
    // A released entry gets no slots.
    bool released = false;
};

// One upstream as the planner sees it. `limits` has one number for each planned entry.
struct planned_upstream
{
    upstream_id id;
    region_name region;
    // Slots that the planned entries may use together.
    std::uint32_t available = 0;
    std::vector<std::uint32_t> limits;
};

// Changes the limits of one class's upstreams by the rules in share_planner.h.
void planClass(const std::vector<planned_entry> &entries, std::vector<planned_upstream> &upstreams);

} // namespace kingcuptiller::internal
