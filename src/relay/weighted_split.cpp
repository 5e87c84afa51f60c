#include "kingcuptiller/relay/weighted_split.h"

#include <cmath>
#include <numbers>
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

void weighted_split::update(const route_table &routes)
{
    std::erase_if(m_positions, [&](const auto &each) { return !routes.contains(each.first); });
}

double weighted_split::nextPosition(const traffic_route &route)
{
    const auto [found, isNew] = m_positions.try_emplace(route.key(), 0.0);
    double &position = found->second;
    position = isNew ? std::uniform_real_distribution<double>(0, 1)(m_random)
                     : std::fmod(position + std::numbers::phi, 1.0);
    return position;
}

const service_name &weighted_split::assign(const traffic_route &route)
{
    if (!isSplit(route))
        return route.weightedServices.front().service;
    const double total = totalWeight(route);
    const double position = nextPosition(route) * total;
    const weighted_service *chosen = &route.weightedServices.front();
    double end = 0;
    for (const weighted_service &part : route.weightedServices) {
        if (part.weight <= 0)
            continue;
        chosen = &part;
        end += part.weight;
        if (position < end)
            break;
    }
    split_part_counts &counts = m_counts[route.key()][chosen->service];
    counts.route = route.name;
    counts.share = chosen->weight / total;
    ++counts.assigned;
    return chosen->service;
}

void weighted_split::recordEnd(const traffic_route &route, const service_name &service,
                               std::string_view outcome)
{
    if (!isSplit(route))
        return;
    split_part_counts &counts = m_counts[route.key()][service];
    counts.route = route.name;
    counts.answered += outcome == "answered" ? 1 : 0;
    counts.refused += outcome == "refused" ? 1 : 0;
}

std::vector<split_part_counts> weighted_split::take()
{
    std::vector<split_part_counts> result;
    for (auto &[key, parts] : std::exchange(m_counts, {})) {
        for (auto &[service, counts] : parts) {
            counts.service = service;
            result.push_back(std::move(counts));
        }
    }
    return result;
}

} // namespace kingcuptiller
