#pragma once

#include "kingcuptiller/control/fleet_registry.h"

#include <map>
#include <string>
#include <vector>

// Planned stops: what lies in their scope, and whether the fleet can do without it.

namespace kingcuptiller {

// Demand of the entries that hold a lease, as they reported it last.
using demand_table = std::map<entry_key, std::vector<class_demand>>;

// Whether a stop concerns an upstream or an entry, whatever the time. A stop with the scope host
// concerns the entry with this host id, or the upstreams whose address has this IP.
[[nodiscard]] bool isInScope(const planned_stop &stop, const upstream_announcement &upstream);
[[nodiscard]] bool isInScope(const planned_stop &stop, const entry_identity &entry);

// Whether any stop that is under way at `now` concerns the upstream or entry.
[[nodiscard]] bool isStopped(const configuration &current, const upstream_announcement &upstream,
                             wall_time now);
[[nodiscard]] bool isStopped(const configuration &current, const entry_identity &entry,
                             wall_time now);

struct review_result
{
    // ok or stop_breaks_target.
    result_code code = result_code::ok;
    // The figures behind a refusal.
    std::string message;

    bool operator==(const review_result &) const = default;
};

// Decides whether the stops of `change` leave every class enough slots for its present demand and
// clients an entry, together with all other stops that are under way at the same time. `next` is
// the configuration with the change. A class that a stop does not touch is no reason to refuse it,
// however short its slots are.
[[nodiscard]] review_result reviewStops(const change_request &change, const configuration &next,
                                        const fleet_registry &fleet, const demand_table &demand,
                                        wall_time now);

} // namespace kingcuptiller
