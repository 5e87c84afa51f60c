#include "kingcuptiller/relay/service_times.h"

#include <algorithm>

namespace kingcuptiller {

namespace {

// The smallest weight of a new observation in a moving average.
constexpr double minObservationWeight = 0.05;
// Assumed service times relative to the latency target of the route. Operators set targets that
// requests meet when their object is cached.
constexpr double assumedUncachedShare = 1.5;
constexpr double assumedCachedShare = 0.5;

double assumedShare(object_cache_state cacheState)
{
    switch (cacheState) {
    case object_cache_state::no_object:
    case object_cache_state::cached:
        return assumedCachedShare;
    case object_cache_state::preferred:
        return (assumedCachedShare + assumedUncachedShare) / 2;
    case object_cache_state::uncached:
        break;
    }
    return assumedUncachedShare;
}

double assumedMs(object_cache_state cacheState, milliseconds latencyTarget)
{
    return std::max(static_cast<double>(latencyTarget.count()), 1.0) * assumedShare(cacheState);
}

} // namespace

void service_times::moving_average::add(double newMs, double weight)
{
    ++observations;
    const double share =
        std::max(1.0 / static_cast<double>(observations), minObservationWeight * weight);
    ms += (newMs - ms) * share;
}

time_estimate service_times::serviceTime(const std::string &route, object_cache_state cacheState,
                                         milliseconds latencyTarget) const
{
    const auto found = m_byRoute.find(route);
    if (found == m_byRoute.end())
        return {assumedMs(cacheState, latencyTarget), false};
    const auto averageOf = [&found](object_cache_state state) -> const moving_average & {
        return found->second.at(static_cast<std::size_t>(state));
    };
    const moving_average &own = averageOf(cacheState);
    if (own.observations > 0)
        return {own.ms, true};
    if (cacheState == object_cache_state::no_object)
        return {assumedMs(cacheState, latencyTarget), false};
    // Another state of the cache shows the scale at least.
    for (const object_cache_state other :
         {object_cache_state::uncached, object_cache_state::preferred,
          object_cache_state::cached}) {
        const moving_average &known = averageOf(other);
        if (known.observations > 0)
            return {known.ms * assumedShare(cacheState) / assumedShare(other), false};
    }
    return {assumedMs(cacheState, latencyTarget), false};
}

time_estimate service_times::slotTime(milliseconds latencyTarget) const
{
    if (m_slotTime.observations > 0)
        return {m_slotTime.ms, true};
    return {assumedMs(object_cache_state::cached, latencyTarget), false};
}

void service_times::recordServiceTime(const std::string &route, object_cache_state cacheState,
                                      double ms, double weight)
{
    m_byRoute[route].at(static_cast<std::size_t>(cacheState)).add(ms, weight);
}

void service_times::recordSlotTime(double ms)
{
    m_slotTime.add(ms, 1);
}

void service_times::eraseRoutes(const std::function<bool(const std::string &)> &isObsolete)
{
    std::erase_if(m_byRoute, [&](const auto &each) { return isObsolete(each.first); });
}

} // namespace kingcuptiller
