#pragma once

#include "kingcuptiller/values/configuration.h"

// How much of a shared resource the requests of each rank may use. Rank 1 is the most urgent; less
// urgent ranks leave a part of the resource for more urgent ones.

namespace kingcuptiller {

// Share of the traffic shift cap and of the byte budget of a link between regions: rank 1 may use
// all of it, rank 2 two thirds, and all other ranks one third.
[[nodiscard]] constexpr double crossRegionShare(rank_number rank)
{
    if (rank.number() <= 1)
        return 1.0;
    return rank.number() == 2 ? 2.0 / 3 : 1.0 / 3;
}

// Maximum share that a rank may use of the shared concurrency of an entry, which is the part of its
// concurrency limit that is not guaranteed to any class.
[[nodiscard]] constexpr double rankShareOfSharedConcurrency(rank_number rank)
{
    if (rank.number() <= 1)
        return 1.0;
    return rank.number() == 2 ? 0.75 : 0.5;
}

} // namespace kingcuptiller
