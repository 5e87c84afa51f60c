#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <compare>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace kingcuptiller {

// Limits how fast the requests of one region may move to other regions.
struct region_shift_cap
{
    // The largest share of the requests, above 0 and at most 1, that may be served in another
    // region than in the window before.
    double maxShare = 0.15;
    milliseconds window{2'000};

    auto operator<=>(const region_shift_cap &) const = default;
};

// The resources of a region for one service: the request slots of its upstreams, and the entries
// that send requests.
struct region_resources
{
    double slots = 0;
    double entries = 0;

    auto operator<=>(const region_resources &) const = default;
};

// A number for each region; the use defines its meaning: a share, a slot count, or a cost relative
// to the time of one request.
using region_weights = std::map<region_name, double>;

// Returns the initial share of each region for the requests of the region `home`. Assuming equal
// traffic at all entries, no region gets more than its slots can carry: `home` takes as much as it
// can, and the rest goes to regions with spare slots. The shares sum to 1.
[[nodiscard]] region_weights initialShares(const region_name &home,
                                           const std::map<region_name, region_resources> &regions);

// Distributes the requests of one service at one entry (a process that forwards client requests to
// upstreams) over regions, and limits how fast the distribution changes. Each region has a share of
// the requests. The shares follow the regions that requests prefer, those with the lowest cost, but
// no faster than the cap. A region takes a request only while it is within its share, plus a small
// tolerance. The cap thus holds for each entry, and for all entries of a region together, without
// communication between entries.
//
// A region that loses slots loses its share in the same proportion at once. The cap limits moves by
// preference, not those forced by a loss of capacity.
//
//     shares.begin(initialShares(home, regions), now);
//     shares.advanceTo(now);
//     shares.setSlots(usableSlots);
//     if (const auto region = shares.pickRegion(costs))
//         shares.recordDecision(preferred, *region);
//     else
//         shares.recordRefusal();
//
// Not thread-safe.
class region_shares
{
public:
    region_shares(region_shift_cap cap, std::minstd_rand random)
        : m_cap(cap)
        , m_random(random)
    {
    }

    [[nodiscard]] bool hasBegun() const { return !m_regions.empty(); }
    // Sets the initial shares, which must sum to 1.
    void begin(const region_weights &shares, instant now);

    // Moves the shares and decays the request counts up to `now`; to be called before each
    // decision.
    void advanceTo(instant now);
    // Sets the usable slots of all regions; regions that are not named have none. A region that
    // lost slots releases its share in proportion.
    void setSlots(const region_weights &slots);

    // Returns the region that serves a request, or nothing when none may take it. `costs` has the
    // cost of each region that can serve the request, relative to the time of one request.
    // `isRetry` is true when an earlier attempt of the request was sent.
    [[nodiscard]] std::optional<region_name> pickRegion(const region_weights &costs,
                                                        bool isRetry = false);
    // Whether a region may take a further request within its share and the tolerance.
    [[nodiscard]] bool mayTake(const region_name &region) const;
    // Whether requests are so few that the tolerance is less than one request. `pickRegion` then
    // draws regions at random, so that the requests of many entries together match the shares.
    [[nodiscard]] bool isSparse() const;
    // Returns a random region, one of `regions` unless that is empty. The weight of a region is its
    // share plus its recent deficit. The deficit corrects for requests that only some regions can
    // serve: they are refused when another region is drawn, which shifts the distribution of the
    // requests that run.
    [[nodiscard]] region_name drawRegion(std::vector<region_name> regions = {});
    // How much of the tolerance beyond its share a region has used: 0 for none, 1 for all of it.
    [[nodiscard]] double overuse(const region_name &region) const;

    // Records a request that is sent to `taken` and whose lowest cost was in `preferredRegion`.
    void recordDecision(const region_name &preferredRegion, const region_name &taken);
    // Records a request that no region may take. It increases no deficit; otherwise the share of
    // the other regions would jump whenever a full region refuses.
    void recordRefusal();
    // Takes back the decision for a request that `region` did not serve, before the request is
    // decided again.
    void recordWithdrawal(const region_name &region);

    // The current share of a region, from 0 to 1.
    [[nodiscard]] double shareOf(const region_name &region) const;

private:
    struct region_record
    {
        double share = 0;
        // The moving average of the share of requests that prefer this region.
        double preference = 0;
        // The number of requests by which the region is below its share; negative when it is above.
        double deficit = 0;
        double slots = 0;
    };

    void countRequest();
    // Moves the shares towards the preferences, no faster than the cap permits in `seconds`.
    void moveTowardsPreference(double seconds);
    // The window of the cap, in seconds.
    [[nodiscard]] double window() const;
    // The number of requests per window at the current rate: the decayed count, but no more than
    // the time since the newest request implies, which shows a drop in traffic first.
    [[nodiscard]] double requestsPerWindow() const;
    // The number of requests that a region may take beyond its share.
    [[nodiscard]] double tolerance() const;
    [[nodiscard]] double drawWeight(const region_name &region) const;

    region_shift_cap m_cap;
    std::map<region_name, region_record> m_regions;
    instant m_lastTime;
    // The number of requests, decayed exponentially with the window as time constant.
    double m_recentRequests = 0;
    double m_secondsSinceRequest = 0;
    std::minstd_rand m_random;
};

} // namespace kingcuptiller
