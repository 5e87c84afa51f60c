#pragma once

#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <span>

// How an entry chooses among the upstreams that may take a request. All candidates passed to a
// policy have a free slot, serve the class and lie in one region.

namespace kingcuptiller {

using random_engine = std::mt19937_64;

// One upstream as a choice policy sees it.
struct upstream_candidate
{
    // Network and service time, scaled by this entry's own requests in flight and widened while
    // measurements are stale.
    microseconds expectedLatency{0};
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    // The last report of the upstream, 0 to 1; may lag or mislead.
    double reportedLoad = 0;
    // Number of the decision that chose this upstream last, 0 when none did.
    std::uint64_t lastSelection = 0;
};

// Returns the position of the chosen candidate; `candidates` is never empty. With many upstreams
// the candidates are a random sample, so that the cost of a decision is bounded.
using choice_policy =
    std::function<std::size_t(std::span<const upstream_candidate> candidates, random_engine &)>;

// The default. Candidates within a few per cent of the lowest expected latency are equal, and one
// of them is drawn at random, so that several entries do not all choose the same upstream.
[[nodiscard]] choice_policy leastExpectedLatency();

// Baseline: of two candidates drawn at random, the one with the lower reported load.
[[nodiscard]] choice_policy leastLoaded();

// Baseline: the candidate that was chosen the longest ago.
[[nodiscard]] choice_policy roundRobin();

} // namespace kingcuptiller
