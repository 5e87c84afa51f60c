#pragma once

#include "kingcuptiller/values/configuration.h"

#include <algorithm>

namespace kingcuptiller::internal {

// The share of requests that may miss the target. A target of 1000 per mille allows no miss at all;
// one in a million keeps the burn rate finite.
[[nodiscard]] inline double allowedShare(const service_target &target)
{
    constexpr double smallestBudget = 1e-6;
    return std::max(1 - target.successPerMille / 1000.0, smallestBudget);
}

} // namespace kingcuptiller::internal
