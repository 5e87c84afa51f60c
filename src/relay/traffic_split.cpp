#include "kingcuptiller/relay/traffic_split.h"

#include <numeric>
#include <utility>

namespace kingcuptiller {

namespace {

double totalWeight(const traffic_route &route)
{
    return std::accumulate(
        route.weightedServices.begin(), route.weightedServices.end(), 0.0,
        [](double sum, const weighted_service &part) { return sum + part.weight; });
}

bool isSplit(const traffic_route &route)
{
    return route.weightedServices.size() > 1;
}

} // namespace

const service_name &traffic_split::assign(const traffic_route &route)
{
    if (!isSplit(route))
        return route.weightedServices.front().service;
    // Select the service with the fewest requests relative to its weight, so that the ratio of the
    // requests follows the weights at any time.
    auto &assignedRequests = m_requestsByRouteAndService[route.name];
    const weighted_service *nextPart = nullptr;
    double lowestWeightedCount = 0;
    for (const weighted_service &part : route.weightedServices) {
        if (part.weight <= 0)
            continue;
        const double weightedCount = (assignedRequests[part.service] + 1) / part.weight;
        if (nextPart == nullptr || weightedCount < lowestWeightedCount) {
            nextPart = &part;
            lowestWeightedCount = weightedCount;
        }
    }
    assignedRequests[nextPart->service] += 1;
    split_part_counts &counts = m_counts[route.name][nextPart->service];
    counts.share = nextPart->weight / totalWeight(route);
    ++counts.assigned;
    return nextPart->service;
}

void traffic_split::recordEnd(const traffic_route &route, const service_name &service,
                              std::string_view outcome)
{
    if (!isSplit(route))
        return;
    split_part_counts &counts = m_counts[route.name][service];
    counts.answered += outcome == "answered" ? 1 : 0;
    counts.refused += outcome == "refused" ? 1 : 0;
}

std::vector<split_part_counts> traffic_split::take()
{
    std::vector<split_part_counts> result;
    for (auto &[route, parts] : std::exchange(m_counts, {})) {
        for (auto &[service, counts] : parts) {
            counts.route = route;
            counts.service = service;
            result.push_back(std::move(counts));
        }
    }
    return result;
}

} // namespace kingcuptiller
