#pragma once

#include "kingcuptiller/fleet/traffic_configuration.h"

#include <compare>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuptiller {

// What one part of a route that splits its requests got between two log lines.
struct split_part_counts
{
    // The name of the route.
    std::string route;
    service_name service;
    // The share that the part should have, from 0 to 1, by the newest configuration that was used.
    double share = 0;
    // Requests that were assigned to the part.
    std::uint64_t assigned = 0;
    // Requests of the part that ended with the outcome "answered" or "refused".
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;

    auto operator<=>(const split_part_counts &) const = default;
};

// Assigns the requests of one entry to the services of their routes, by the weights of the
// configuration, and counts what became of them.
//
// Each request of a route gets a position in [0, 1), and the weights divide this interval among the
// services. The positions do not depend on the weights: each is the previous one plus the golden
// ratio, modulo 1, so that any sequence of consecutive positions covers the interval evenly. Thus
// new weights hold from the next request on. The first position is random, so that the first
// requests of many entries follow the weights too. Not thread-safe.
class weighted_split
{
public:
    // `seed` must differ between entries, and between runs of one entry.
    explicit weighted_split(std::uint64_t seed)
        : m_random(seed)
    {
    }

    // Forgets the routes that are not in `routes`.
    void update(const route_table &routes);

    // Returns the service for the next request of `route`. The reference is valid as long as
    // `route`.
    [[nodiscard]] const service_name &assign(const traffic_route &route);

    // Counts the end of a request that `assign` gave to `service`. `outcome` is that of the log
    // event request_ended.
    void recordEnd(const traffic_route &route, const service_name &service,
                   std::string_view outcome);

    // Returns the counts of all parts with requests since the last call, ordered by route and
    // service, and resets them.
    [[nodiscard]] std::vector<split_part_counts> take();

private:
    // Returns the position of the next request of the route.
    [[nodiscard]] double nextPosition(const traffic_route &route);

    std::mt19937_64 m_random;
    // The position of the latest request of each split route, by route key.
    std::map<std::string, double> m_positions;
    // By route key and service.
    std::map<std::string, std::map<service_name, split_part_counts>> m_counts;
};

} // namespace kingcuptiller
