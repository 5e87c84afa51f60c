#include "kingcuptiller/relay/region_shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace kingcuptiller {

namespace {

// The part of the shift cap by which the shares move. The rest allows for the tolerance below and
// for entries whose traffic changes.
constexpr double movementShare = 0.5;
// The tolerance is the number of requests that a region may take beyond its share, so that the
// shares do not force the region of every request. It is `toleranceShare` of the requests per
// window, or `toleranceRequests` if that is more. With few requests, `toleranceRequests` could be
// most of them, so it is limited to `maxToleranceShare` of the requests per window.
constexpr double toleranceShare = 0.03;
constexpr double toleranceRequests = 2;
constexpr double maxToleranceShare = 0.1;
// The cost of a region that has used all of its tolerance, relative to the time of one request, and
// proportionally less before. It moves the requests with the cheapest alternative first.
constexpr double overusePenalty = 0.67;
// The smallest time since the newest request, in seconds, that the request rate is computed from.
constexpr double minSecondsSinceRequest = 0.001;
// Weight of the newest request in the preference of each region.
constexpr double preferenceWeight = 0.05;
// The largest deficit (number of requests below the share) of a region, as a part of the tolerance.
// A full region may get free capacity only after traffic has dropped. Making up for a larger
// deficit would then take most of the few requests.
constexpr double maxDeficitShare = 0.2;

} // namespace

region_weights initialShares(const region_name &home,
                             const std::map<region_name, region_resources> &regions)
{
    double slots = 0;
    double entries = 0;
    for (const auto &[name, region] : regions) {
        slots += region.slots;
        entries += region.entries;
    }
    region_resources homeResources;
    if (const auto found = regions.find(home); found != regions.end())
        homeResources = found->second;
    double homeShare = homeResources.slots > 0 || slots <= 0 ? 1 : 0;
    if (slots > 0 && homeResources.entries > 0)
        homeShare = std::min(1.0, homeResources.slots / slots * entries / homeResources.entries);
    region_weights spareShares;
    region_weights slotShares;
    double spareSum = 0;
    for (const auto &[name, region] : regions) {
        if (name == home || slots <= 0)
            continue;
        slotShares[name] = region.slots / slots;
        const double used = entries > 0 ? region.entries / entries : 0;
        spareShares[name] = std::max(0.0, region.slots / slots - used);
        spareSum += spareShares[name];
    }
    const region_weights &weights = spareSum > 0 ? spareShares : slotShares;
    double weightSum = 0;
    for (const auto &[name, weight] : weights)
        weightSum += weight;
    region_weights shares;
    for (const auto &[name, weight] : weights)
        shares[name] = weightSum > 0 ? (1 - homeShare) * weight / weightSum : 0;
    shares[home] = weightSum > 0 ? homeShare : 1;
    return shares;
}

void region_shares::begin(const region_weights &shares, instant now)
{
    for (const auto &[name, share] : shares)
        m_regions[name] = {share, share, 0, 0};
    m_lastTime = now;
}

void region_shares::setSlots(const region_weights &slots)
{
    double remaining = 0;
    for (const auto &[name, present] : slots) {
        m_regions.try_emplace(name);
        remaining += present;
    }
    double displaced = 0;
    for (auto &[name, region] : m_regions) {
        const auto given = slots.find(name);
        const double present = given == slots.end() ? 0 : given->second;
        // When no region has slots, the shares are kept: there is no region to move them to.
        if (present < region.slots && remaining > 0) {
            const double lost = region.share * (1 - present / region.slots);
            region.share -= lost;
            displaced += lost;
        }
        if (remaining > 0)
            region.slots = present;
    }
    for (auto &[name, region] : m_regions)
        region.share += displaced > 0 ? displaced * region.slots / remaining : 0;
}

double region_shares::window() const
{
    return std::chrono::duration<double>(m_cap.window).count();
}

double region_shares::requestsPerWindow() const
{
    return std::min(m_recentRequests,
                    window() / std::max(m_secondsSinceRequest, minSecondsSinceRequest));
}

double region_shares::tolerance() const
{
    const double recent = requestsPerWindow();
    return std::max(std::min(toleranceRequests, recent * maxToleranceShare),
                    recent * toleranceShare);
}

std::optional<region_name> region_shares::pickRegion(const region_weights &costs, bool isRetry)
{
    if (isSparse()) {
        std::vector<region_name> regions;
        if (isRetry)
            std::transform(costs.begin(), costs.end(), std::back_inserter(regions),
                           [](const auto &each) { return each.first; });
        region_name drawn = drawRegion(std::move(regions));
        return costs.contains(drawn) ? std::optional(std::move(drawn)) : std::nullopt;
    }
    std::optional<region_name> picked;
    double leastCost = std::numeric_limits<double>::max();
    for (const auto &[region, ownCost] : costs) {
        const double cost = ownCost + overuse(region) * overusePenalty;
        if (mayTake(region) && cost < leastCost) {
            picked = region;
            leastCost = cost;
        }
    }
    return picked;
}

bool region_shares::mayTake(const region_name &region) const
{
    const auto found = m_regions.find(region);
    return found != m_regions.end()
        && found->second.deficit + found->second.share - 1 >= -tolerance();
}

bool region_shares::isSparse() const
{
    return tolerance() < 1;
}

region_name region_shares::drawRegion(std::vector<region_name> regions)
{
    if (regions.empty()) {
        for (const auto &[region, record] : m_regions)
            regions.push_back(region);
    }
    double sum = 0;
    for (const region_name &region : regions)
        sum += drawWeight(region);
    double threshold = std::uniform_real_distribution<double>(0, 1)(m_random) * sum;
    for (const region_name &region : regions) {
        threshold -= drawWeight(region);
        if (threshold < 0)
            return region;
    }
    return regions.back();
}

double region_shares::drawWeight(const region_name &region) const
{
    const auto found = m_regions.find(region);
    if (found == m_regions.end())
        return 0;
    return std::max(found->second.share + found->second.deficit, 0.0);
}

double region_shares::overuse(const region_name &region) const
{
    const auto found = m_regions.find(region);
    if (found == m_regions.end())
        return 1;
    return std::clamp(-found->second.deficit / std::max(tolerance(), 1.0), 0.0, 1.0);
}

void region_shares::moveTowardsPreference(double seconds)
{
    double distance = 0;
    for (const auto &[name, region] : m_regions)
        distance += std::abs(region.preference - region.share) / 2;
    if (distance <= 0)
        return;
    const double sharePerSecond = m_cap.maxShare * movementShare / window();
    const double fraction = std::min(1.0, sharePerSecond * seconds / distance);
    for (auto &[name, region] : m_regions)
        region.share += (region.preference - region.share) * fraction;
}

void region_shares::advanceTo(instant now)
{
    const double seconds = std::max(std::chrono::duration<double>(now - m_lastTime).count(), 0.0);
    m_lastTime = std::max(m_lastTime, now);
    m_secondsSinceRequest += seconds;
    const double decay = std::exp(-seconds / window());
    m_recentRequests *= decay;
    moveTowardsPreference(std::min(seconds, window()));
    // Deficits decay and are limited. Otherwise a region that cannot take its share would block the
    // other regions.
    const double maxDeficit = tolerance() * maxDeficitShare;
    for (auto &[name, region] : m_regions)
        region.deficit = std::min(region.deficit * decay, maxDeficit);
}

void region_shares::recordDecision(const region_name &preferredRegion, const region_name &taken)
{
    for (auto &[name, region] : m_regions)
        region.preference +=
            ((name == preferredRegion ? 1 : 0) - region.preference) * preferenceWeight;
    countRequest();
    for (auto &[name, region] : m_regions)
        region.deficit += region.share;
    m_regions[taken].deficit -= 1;
}

void region_shares::recordRefusal()
{
    countRequest();
}

void region_shares::countRequest()
{
    m_recentRequests += 1;
    m_secondsSinceRequest = 0;
}

void region_shares::recordWithdrawal(const region_name &region)
{
    // The next decision adds the shares of this request again.
    for (auto &[name, each] : m_regions)
        each.deficit -= each.share;
    m_regions[region].deficit += 1;
}

double region_shares::shareOf(const region_name &region) const
{
    const auto found = m_regions.find(region);
    return found == m_regions.end() ? 0 : found->second.share;
}

} // namespace kingcuptiller
