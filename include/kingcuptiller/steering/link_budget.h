#pragma once

#include "kingcuptiller/steering/steering_index.h"
#include "kingcuptiller/values/configuration.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <vector>

namespace kingcuptiller {

// Token buckets that limit the bytes which an entry exchanges with each other region: the requests
// that it sends there and the answers to them. Traffic within the entry's own region is not
// limited.
//
// One direction of a link carries the requests of one region and also the answers to the requests
// of the other region. Half of the link is therefore available for the requests of this region and
// the answers to them, divided equally among the live entries of the region.
//
// Usage: before sending, call `mayTake` and `take` with the size of the request plus the expected
// size of its answer; when the size of the answer is known, call `adjust` with the difference.
// Requests of less urgent rank must leave a part of the bucket unused.
class link_budget
{
public:
    // Size of a token bucket, as the time that it takes to fill. Bounds a burst after a period in
    // which the link was not used.
    static constexpr milliseconds burstDuration{250};

    explicit link_budget(double linkBytesPerSecond);

    // Sets the number of live entries that share the links of the region; 0 is treated as 1.
    void setEntriesInRegion(std::size_t count, instant now);

    // Returns whether a request of this size may be sent. A request larger than the bucket may be
    // sent when the bucket is full.
    [[nodiscard]] bool mayTake(region_index destination, double bytes, rank_number rank,
                               instant now);
    void take(region_index destination, double bytes, instant now);
    // Adds `difference` bytes to the bytes taken; a negative value returns bytes to the budget,
    // when an answer was smaller than expected.
    void adjust(region_index destination, double difference);

    // Returns the part of the link rate that this entry may use.
    [[nodiscard]] double bytesPerSecond() const;

private:
    struct bucket
    {
        double availableBytes = 0;
        instant lastRefill;
        bool initialized = false;
    };

    [[nodiscard]] double capacity() const;
    bucket &refilledBucket(region_index destination, instant now);

    double m_linkBytesPerSecond;
    std::size_t m_entriesInRegion = 1;
    std::vector<bucket> m_buckets;
};

} // namespace kingcuptiller
