#pragma once

#include "kingcuptiller/values/configuration.h"

// How much of a common resource each rank may use, so that more urgent work always finds some left.

namespace kingcuptiller {

// Of the movement pool and of a link: rank 1 may use all, rank 2 leaves a third, all others leave
// two thirds.
[[nodiscard]] constexpr double crossRegionShare(rank_number rank)
{
    if (rank.number() <= 1)
        return 1.0;
    return rank.number() == 2 ? 2.0 / 3 : 1.0 / 3;
}

// Of the entry's concurrency that is not guaranteed to any class.
[[nodiscard]] constexpr double sharedConcurrencyLimit(rank_number rank)
{
    if (rank.number() <= 1)
        return 1.0;
    return rank.number() == 2 ? 0.75 : 0.5;
}

} // namespace kingcuptiller
