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
// The assumed service time of an uncached object relative to a cached one.
constexpr double assumedCacheGain = assumedUncachedShare / assumedCachedShare;

double assumedMs(object_cache_state cacheState, milliseconds latencyTarget)
{
    const double targetMs = std::max(static_cast<double>(latencyTarget.count()), 1.0);
    return targetMs
        * (cacheState == object_cache_state::uncached ? assumedUncachedShare : assumedCachedShare);
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
    // The other state of the cache shows the scale at least.
    if (cacheState == object_cache_state::uncached) {
        const moving_average &cached = averageOf(object_cache_state::cached);
        if (cached.observations > 0)
            return {cached.ms * assumedCacheGain, false};
    } else if (cacheState == object_cache_state::cached) {
        const moving_average &uncached = averageOf(object_cache_state::uncached);
        if (uncached.observations > 0)
            return {uncached.ms / assumedCacheGain, false};
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
