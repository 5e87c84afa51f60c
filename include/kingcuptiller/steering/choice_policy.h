#pragma once

#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <span>

// Load-balancing policies: how an entry selects one upstream among those that can take a request.
// All candidates passed to a policy have a free slot, serve the class of the request and run in one
// region.

namespace kingcuptiller {

using random_engine = std::mt19937_64;

// The data about one upstream that a policy bases its selection on.
struct upstream_candidate
{
    // Expected time from sending a request to its complete answer. It includes the round-trip time,
    // grows with the number of requests that this entry has in flight at the upstream, and is
    // raised when the latest measurement is old.
    microseconds expectedLatency{0};
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    // Load that the upstream reported last, from 0 (idle) to 1 (fully loaded). The report can be
    // out of date or wrong.
    double reportedLoad = 0;
    // Sequence number of the latest selection of this upstream, 0 if it was never selected.
    std::uint64_t lastSelection = 0;
};

// Returns the index of the selected candidate; `candidates` is never empty. When an entry has many
// upstreams, the candidates are a random sample, which bounds the cost of a selection.
using choice_policy =
    std::function<std::size_t(std::span<const upstream_candidate> candidates, random_engine &)>;

// The default policy. Candidates whose expected latency is within 5% of the lowest are considered
// equal, and one of them is selected at random, so that several entries do not all select the same
// upstream.
[[nodiscard]] choice_policy leastExpectedLatency();

// Policy for comparison in experiments: draws two candidates at random and selects the one with the
// lower reported load ("power of two choices").
[[nodiscard]] choice_policy leastLoaded();

// Policy for comparison in experiments: selects the candidate that was selected least recently.
[[nodiscard]] choice_policy roundRobin();

} // namespace kingcuptiller
