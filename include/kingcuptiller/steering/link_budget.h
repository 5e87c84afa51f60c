#pragma once

#include "kingcuptiller/steering/steering_index.h"
#include "kingcuptiller/values/configuration.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <vector>

namespace kingcuptiller {

// Limits the bytes that an entry exchanges with each other region: requests that it sends there and
// the answers to them. The links of the entry's own region are not limited.
//
// An entry may use half of the link, divided by the live entries of its region, because answers to
// the other region's entries travel in the same direction as this region's requests.
//
// Use: `mayTake` and `take` with the request's size and the expected size of the answer before
// sending; `adjust` with the difference once the answer's size is known. Less urgent ranks must
// leave a part of the burst unused.
class link_budget
{
public:
    // How long an unused link may be made up for; bounds the burst.
    static constexpr milliseconds burstDuration{250};

    explicit link_budget(double linkBytesPerSecond);

    void setEntriesInRegion(std::size_t count, instant now);

    // A request larger than the burst may go when nothing else was sent for the length of a burst.
    [[nodiscard]] bool mayTake(region_index destination, double bytes, rank_number rank,
                               instant now);
    void take(region_index destination, double bytes, instant now);
    // Adds `difference` bytes to what was taken; negative when the answer was smaller.
    void adjust(region_index destination, double difference);

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
