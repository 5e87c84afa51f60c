#pragma once

#include "kingcuptiller/fleet/traffic_configuration.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuptiller {

// What one part of a route that splits its requests got between two log lines.
struct split_part_counts
{
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
// configuration, and counts what became of them. Not thread-safe.
class traffic_split
{
public:
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
    // The number of requests assigned to each service of a route, by route name. Stored as double
    // to be divided by the weights.
    std::map<std::string, std::map<service_name, double>> m_requestsByRouteAndService;
    std::map<std::string, std::map<service_name, split_part_counts>> m_counts;
};

} // namespace kingcuptiller
