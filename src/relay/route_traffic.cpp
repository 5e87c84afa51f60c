#include "kingcuptiller/relay/route_traffic.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace kingcuptiller {

namespace {

constexpr std::chrono::seconds windowLength{10};
// Bounds the memory of one window, because clients choose the names of objects.
constexpr std::size_t maxObjects = 4'096;
// Weight of the newest observation in the average size.
constexpr double bytesWeight = 0.05;
// The number of objects is not estimated from fewer requests, or while a larger share of them
// refers to objects that were not seen before.
constexpr std::uint64_t minRequests = 30;
constexpr double maxDistinctShare = 0.9;
// The time for which a cached object is expected to be of use.
constexpr double cacheHorizonSeconds = 30;
// The part of the caches that may be filled by plan. Hashing does not spread objects evenly.
constexpr double plannedCacheShare = 0.7;
// The saved bytes must be worth this many uncached responses before the scope changes to the zone,
// and the scope stays while they are worth the lower number.
constexpr double minGainToChange = 1.2;
constexpr double minGainToStay = 0.8;

double secondsOf(microseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void route_traffic::recordRequest(const std::string &object, instant now)
{
    if (object.empty())
        return;
    if (!m_windowStart)
        m_windowStart = now;
    if (now - *m_windowStart >= windowLength) {
        m_previousLength = now - *m_windowStart;
        m_previous = std::exchange(m_current, {});
        m_windowStart = now;
    }
    ++m_current.requests;
    if (m_current.objects.size() < maxObjects)
        m_current.objects.insert(XXH3_64bits(object.data(), object.size()));
}

void route_traffic::recordBytes(std::size_t bytes)
{
    ++m_responses;
    m_bytes += (static_cast<double>(bytes) - m_bytes)
        * std::max(1 / static_cast<double>(m_responses), bytesWeight);
}

std::optional<double> route_traffic::kibPerRequest() const
{
    return m_responses > 0 ? std::optional(m_bytes / 1'024) : std::nullopt;
}

double route_traffic::objectRequestsPerSecond(instant now) const
{
    if (!m_windowStart)
        return 0;
    const double seconds = secondsOf(m_previousLength + (now - *m_windowStart));
    return static_cast<double>(m_previous.requests + m_current.requests) / std::max(seconds, 1.0);
}

std::optional<double> route_traffic::objectCount() const
{
    const std::uint64_t requests = m_previous.requests + m_current.requests;
    std::size_t distinct = m_previous.objects.size();
    for (const std::uint64_t object : m_current.objects)
        distinct += m_previous.objects.contains(object) ? 0 : 1;
    const double requestCount = static_cast<double>(requests);
    const double distinctCount = static_cast<double>(distinct);
    if (requests < minRequests || distinctCount > maxDistinctShare * requestCount)
        return std::nullopt;
    // Of N objects, n requests for random ones refer to N * (1 - exp(-n / N)) distinct ones. The
    // equation is solved for N by bisection.
    double low = distinctCount;
    double high = requestCount * 10;
    for (int step = 0; step < 40; ++step) {
        const double middle = (low + high) / 2;
        const bool isTooFew = middle * (1 - std::exp(-requestCount / middle)) < distinctCount;
        (isTooFew ? low : high) = middle;
    }
    return high;
}

placement_scope choosePlacementScope(const route_traffic &traffic,
                                     const placement_surroundings &surroundings,
                                     placement_scope present, instant now)
{
    const auto objects = traffic.objectCount();
    const auto kib = traffic.kibPerRequest();
    if (!objects || !kib || surroundings.upstreamsInZone <= 0)
        return placement_scope::region;
    const double capacity =
        surroundings.upstreamsInZone * surroundings.cachedObjects * plannedCacheShare;
    if (*objects > capacity)
        return placement_scope::region;
    const double requestsPerObject = traffic.objectRequestsPerSecond(now)
        * surroundings.entriesInZone * cacheHorizonSeconds / *objects;
    const double crossingShare =
        1 - surroundings.upstreamsInZone / std::max(surroundings.upstreamsInRegion, 1.0);
    const double gain = requestsPerObject * crossingShare * *kib * surroundings.crossZoneCostPerKib;
    const double minGain = present == placement_scope::zone ? minGainToStay : minGainToChange;
    return gain >= minGain ? placement_scope::zone : placement_scope::region;
}

} // namespace kingcuptiller
