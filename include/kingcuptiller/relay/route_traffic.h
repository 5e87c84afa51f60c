#pragma once

#include "kingcuptiller/relay/object_placement.h"
#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_set>

namespace kingcuptiller {

// What an entry sees of the requests of one route: their rate, their size and the number of objects
// that they refer to. The rates and numbers are those of the last one to two windows.
//
// Not thread-safe.
class route_traffic
{
public:
    // Counts a request. `object` may be empty.
    void recordRequest(const std::string &object, instant now);
    // Records the size of a request and its response together, in bytes on the wire.
    void recordBytes(std::size_t bytes);

    // The average size of a request and its response in KiB; nullopt before the first one.
    [[nodiscard]] std::optional<double> kibPerRequest() const;
    // The requests per second of this entry that refer to an object.
    [[nodiscard]] double objectRequestsPerSecond(instant now) const;
    // The estimated number of objects that the requests of all entries refer to. It is derived from
    // how often requests of this entry refer to the same object; nullopt while hardly any do.
    [[nodiscard]] std::optional<double> objectCount() const;

private:
    struct observation_window
    {
        std::uint64_t requests = 0;
        // Hashes of the objects.
        std::unordered_set<std::uint64_t> objects;
    };

    std::optional<instant> m_windowStart;
    observation_window m_current;
    observation_window m_previous;
    // The length of `m_previous`; 0 when there is none.
    microseconds m_previousLength{0};
    double m_bytes = 0;
    std::uint64_t m_responses = 0;
};

// The surroundings of an entry that decide where its objects are cached.
struct placement_surroundings
{
    // Entries in the entry's availability zone, including itself.
    double entriesInZone = 1;
    // Upstreams of the service in the entry's zone and in its region.
    double upstreamsInZone = 0;
    double upstreamsInRegion = 0;
    // The objects that one upstream can cache.
    double cachedObjects = 0;
    // The cost of 1 KiB that crosses zones, relative to the service time of an uncached object.
    double crossZoneCostPerKib = 0;

    auto operator<=>(const placement_surroundings &) const = default;
};

// Decides whether the objects of a route have a preferred upstream in each zone or in each region.
// One in each zone saves the bytes that cross zones, but costs one more uncached response for each
// object and zone, and the caches of a zone must be able to hold all objects. `present` is the
// decision so far; it changes only for a clear advantage.
[[nodiscard]] placement_scope choosePlacementScope(const route_traffic &traffic,
                                                   const placement_surroundings &surroundings,
                                                   placement_scope present, instant now);

} // namespace kingcuptiller
