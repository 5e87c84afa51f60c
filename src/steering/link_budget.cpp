#include "kingcuptiller/steering/link_budget.h"

#include "kingcuptiller/steering/rank_share.h"

#include <algorithm>

namespace kingcuptiller {

namespace {

constexpr double ownDirectionShare = 0.5;

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
    return ownDirectionShare * m_linkBytesPerSecond / static_cast<double>(m_entries);
}

double link_budget::capacity() const
{
    return bytesPerSecond() * seconds(burst);
}

void link_budget::setEntriesInRegion(std::size_t count, instant now)
{
    // What was earned so far was earned at the former rate.
    for (region_index destination = 0; destination < m_buckets.size(); ++destination)
        filledBucket(destination, now);
    m_entries = std::max<std::size_t>(count, 1);
    for (bucket &each : m_buckets)
        each.level = std::min(each.level, capacity());
}

link_budget::bucket &link_budget::filledBucket(region_index destination, instant now)
{
    if (m_buckets.size() <= destination)
        m_buckets.resize(destination + 1);
    bucket &found = m_buckets[destination];
    if (!found.used) {
        found = {capacity(), now, true};
    } else if (now > found.filled) {
        found.level =
            std::min(capacity(), found.level + bytesPerSecond() * seconds(now - found.filled));
        found.filled = now;
    }
    return found;
}

bool link_budget::mayTake(region_index destination, double bytes, rank_number rank, instant now)
{
    const double level = filledBucket(destination, now).level;
    return level >= capacity() || level - bytes >= (1 - movableShare(rank)) * capacity();
}

void link_budget::take(region_index destination, double bytes, instant now)
{
    filledBucket(destination, now).level -= bytes;
}

void link_budget::correct(region_index destination, double difference)
{
    if (destination < m_buckets.size()) {
        bucket &found = m_buckets[destination];
        found.level = std::min(capacity(), found.level - difference);
    }
}

} // namespace kingcuptiller
