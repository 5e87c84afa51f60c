#include "kingcuptiller/steering/link_budget.h"

#include "kingcuptiller/steering/rank_share.h"

#include <algorithm>

namespace kingcuptiller {

namespace {

// Share of a link for the requests of this region and their answers; the other half is for the
// requests of the other region and their answers.
constexpr double ownRequestsShare = 0.5;

double seconds(microseconds duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

} // namespace

link_budget::link_budget(double linkBytesPerSecond)
    : m_linkBytesPerSecond(linkBytesPerSecond)
{
}

double link_budget::bytesPerSecond() const
{
    return ownRequestsShare * m_linkBytesPerSecond / static_cast<double>(m_entriesInRegion);
}

double link_budget::capacity() const
{
    return bytesPerSecond() * seconds(burstDuration);
}

void link_budget::setEntriesInRegion(std::size_t count, instant now)
{
    // Refills the buckets at the previous rate up to `now`, before the new rate applies.
    for (region_index destination = 0; destination < m_buckets.size(); ++destination)
        refilledBucket(destination, now);
    m_entriesInRegion = std::max<std::size_t>(count, 1);
    for (bucket &each : m_buckets)
        each.availableBytes = std::min(each.availableBytes, capacity());
}

link_budget::bucket &link_budget::refilledBucket(region_index destination, instant now)
{
    if (m_buckets.size() <= destination)
        m_buckets.resize(destination + 1);
    bucket &found = m_buckets[destination];
    if (!found.initialized) {
        found = {capacity(), now, true};
    } else if (now > found.lastRefill) {
        found.availableBytes = std::min(
            capacity(), found.availableBytes + bytesPerSecond() * seconds(now - found.lastRefill));
        found.lastRefill = now;
    }
    return found;
}

bool link_budget::mayTake(region_index destination, double bytes, rank_number rank, instant now)
{
    const double availableBytes = refilledBucket(destination, now).availableBytes;
    return availableBytes >= capacity()
        || availableBytes - bytes >= (1 - crossRegionShare(rank)) * capacity();
}

void link_budget::take(region_index destination, double bytes, instant now)
{
    refilledBucket(destination, now).availableBytes -= bytes;
}

void link_budget::adjust(region_index destination, double difference)
{
    if (destination < m_buckets.size()) {
        bucket &found = m_buckets[destination];
        found.availableBytes = std::min(capacity(), found.availableBytes - difference);
    }
}

} // namespace kingcuptiller
