#pragma once

#include "kingcuptiller/control/fleet_registry.h"
#include "kingcuptiller/control/stop_review.h"

#include <vector>

namespace kingcuptiller {

// Decides which entry may use how many slots of which upstream. Returns the limits that should
// change; `fleet_registry` grants of an increase only what is not counted for another entry, and
// the next plan asks for the rest.
//
// `demand` has a line for each entry that holds a lease. Entries without a line keep their limits,
// and what is counted for them is not available to others. For each class of work:
//
// - One fifth of the slots is divided evenly and the rest by demand, at least one slot for each
//   entry where the slots suffice, so that an entry without traffic can take the first requests.
// - An entry gets slots of its own region first; what the region lacks comes from the others.
// - Slots move only for an entry that lacks more than one fifth of its part (and more than one
//   slot), so small changes of demand move nothing.
// - Upstreams that leave or are within a planned stop, and entries that were released, get 0.
[[nodiscard]] std::vector<share_limit> planShares(const configuration &current,
                                                  const fleet_registry &fleet,
                                                  const demand_table &demand, wall_time now);

} // namespace kingcuptiller
