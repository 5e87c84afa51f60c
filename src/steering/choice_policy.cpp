#include "kingcuptiller/steering/choice_policy.h"

#include <algorithm>

namespace kingcuptiller {

namespace {

// Candidates whose latency is within this percentage of the lowest are considered equal, because
// the estimates are not more precise than that.
constexpr std::int64_t equalWithinPerCent = 5;

std::size_t draw(std::size_t count, random_engine &engine)
{
    return engine() % count;
}

} // namespace

choice_policy leastExpectedLatency()
{
    return [](std::span<const upstream_candidate> candidates, random_engine &engine) {
        microseconds lowest = candidates.front().expectedLatency;
        for (const upstream_candidate &each : candidates)
            lowest = std::min(lowest, each.expectedLatency);
        const microseconds bound = lowest + lowest * equalWithinPerCent / 100;
        // Reservoir sampling: the n-th equal candidate replaces the chosen one with probability
        // 1/n, so that all are equally likely.
        std::size_t chosen = 0;
        std::size_t equal = 0;
        for (std::size_t position = 0; position < candidates.size(); ++position) {
            if (candidates[position].expectedLatency <= bound && draw(++equal, engine) == 0)
                chosen = position;
        }
        return chosen;
    };
}

choice_policy leastLoaded()
{
    return [](std::span<const upstream_candidate> candidates, random_engine &engine) {
        const std::size_t first = draw(candidates.size(), engine);
        const std::size_t second = draw(candidates.size(), engine);
        return candidates[first].reportedLoad <= candidates[second].reportedLoad ? first : second;
    };
}

choice_policy roundRobin()
{
    return [](std::span<const upstream_candidate> candidates, random_engine &) {
        const auto chosen = std::min_element(candidates.begin(), candidates.end(),
                                             [](const auto &left, const auto &right) {
                                                 return left.lastSelection < right.lastSelection;
                                             });
        return static_cast<std::size_t>(chosen - candidates.begin());
    };
}

} // namespace kingcuptiller
