#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <compare>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace kingcuptiller {

// How fast the requests of one region may move to other regions.
struct region_shift_cap
{
    // The most of them, above 0 and at most 1, that may change their region from one window to the
    // next.
    double maxShare = 0.15;
    milliseconds window{2'000};

    auto operator<=>(const region_shift_cap &) const = default;
};

// What a region has for one service: slots of upstreams, and entries that send requests.
struct region_resources
{
    double slots = 0;
    double entries = 0;

    auto operator<=>(const region_resources &) const = default;
};

using region_weights = std::map<region_name, double>;

// The shares with which a region's requests begin, so that no region gets more than its slots can
// carry if all entries get the same traffic: home takes what it can, and what is left goes where
// other entries leave slots free. The shares sum to 1.
[[nodiscard]] region_weights initialShares(const region_name &home,
                                           const std::map<region_name, region_resources> &regions);

// Bounds in which regions the requests of one service run at one entry. Each region has a share of
// the requests. The shares follow where the requests would best go, but no faster than the cap; a
// request may go to a region only while that got no more than its share, with a small tolerance.
// The cap therefore holds for each entry, and for all entries of a region together, without any
// exchange between them.
//
// A region that loses upstreams loses its share in proportion at once: the cap bounds decisions,
// and requests that lost their place are not held back by it.
//
//     shares.begin(initialShares(home, regions), now);
//     shares.advanceTo(now);
//     shares.setSlots(usableSlots);
//     if (const auto region = shares.pick(costs)) { shares.decided(preferred, *region); ... }
//     else { shares.refused(); ... }
//
// One thread owns it.
class region_shares
{
public:
    region_shares(region_shift_cap cap, std::minstd_rand random)
        : m_cap(cap)
        , m_random(random)
    {
    }

    [[nodiscard]] bool hasBegun() const { return !m_regions.empty(); }
    void begin(const region_weights &shares, instant now);

    // Called before each decision; that is then taken by the traffic of `now`.
    void advanceTo(instant now);
    // The usable slots of all regions; regions that are not named have none.
    void setSlots(const region_weights &slots);

    // Where a request runs of the regions that can serve it, whose costs are given in milliseconds
    // of waiting; nothing when none of them may take it. `isRetry` says that it was sent before.
    [[nodiscard]] std::optional<region_name> pickRegion(const region_weights &costs,
                                                        bool isRetry = false);
    [[nodiscard]] bool mayTake(const region_name &region) const;
    // So few requests come that one of them outweighs what a region may take beyond its share. Then
    // `drawRegion` decides, so that the requests of many entries keep the shares together.
    [[nodiscard]] bool isSparse() const;
    // A region with the probability of its share, corrected by what it got too little or too much
    // lately, because requests that few regions can serve are refused when another one is drawn;
    // one of `regions` when these are given.
    [[nodiscard]] region_name drawRegion(std::vector<region_name> regions = {});
    // How far a region is beyond its share: 0 up to its share, 1 where it may take no more.
    [[nodiscard]] double overuse(const region_name &region) const;

    // A request would best go to `preferredRegion` and goes to `taken`.
    void recordDecision(const region_name &preferredRegion, const region_name &taken);
    // A request was refused. It earns no region anything: when a full region refuses, the part of
    // the others among the requests that run would jump.
    void recordRefusal();
    // A request that was counted for `region` has not been served there and is decided on again.
    void recordWithdrawal(const region_name &region);

    [[nodiscard]] double shareOf(const region_name &region) const;

private:
    struct region_record
    {
        double share = 0;
        // What the requests' best regions were lately, as a share.
        double preference = 0;
        // Requests that the region should have got and did not get; negative when it got more.
        double deficit = 0;
        double slots = 0;
    };

    void countRequest();
    void moveTowardsPreference(double seconds);
    // The length of a window in seconds.
    [[nodiscard]] double window() const;
    // Requests in a window at the pace of now: no more than in about the last one, and no more than
    // the time since the newest request lets expect, because a fall shows first in that.
    [[nodiscard]] double requestsPerWindow() const;
    [[nodiscard]] double tolerance() const;
    [[nodiscard]] double drawWeight(const region_name &region) const;

    region_shift_cap m_cap;
    std::map<region_name, region_record> m_regions;
    instant m_lastTime;
    // Requests in about the last window.
    double m_recentRequests = 0;
    // Seconds since the newest request.
    double m_secondsSinceRequest = 0;
    std::minstd_rand m_random;
};

} // namespace kingcuptiller
