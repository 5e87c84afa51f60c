#include "dispatcher_core.h"

#include <algorithm>

namespace kingcuptiller::internal {

namespace {

// Another region is used only if its expected latency is below the expected latency in the home
// region multiplied by this factor. Moving requests for a smaller gain would use up the traffic
// shift cap.
constexpr double otherRegionLatencyFactor = 0.8;

// A free slot is left unused if the expected latency at its upstream is more than this factor times
// the expected time to an answer (wait plus service) at the next slot that becomes free.
constexpr double slowerThanWaitingFactor = 1.5;

// Weight of the queueing delay in the expected latency of the home region. A queued request also
// delays the requests behind it. With a weight of 1, queues in the home region would grow until the
// wait equals the additional round-trip time to another region.
constexpr int queueDelayWeight = 4;

// Added to the smoothed latency of a class to estimate its latency in a region that has not been
// measured yet. The value lies between the round-trip times to other regions in current
// deployments, which are 40 ms and 110 ms.
constexpr microseconds unmeasuredRegionDelay{60'000};

microseconds scaled(microseconds value, double factor)
{
    return microseconds(static_cast<std::int64_t>(static_cast<double>(value.count()) * factor));
}

} // namespace

double dispatcher_core::linkBytes(const ticket_state &ticket, region_index region) const
{
    if (region == m_homeRegion)
        return 0;
    return static_cast<double>(ticket.requestBytes)
        + m_classes[ticket.workClass].meter.answerBytes();
}

std::optional<picked_upstream> dispatcher_core::pickInRegion(const ticket_state &ticket,
                                                             region_index region, instant now,
                                                             routing_result &result)
{
    const upstream_group_key groupKey{ticket.workClass, region};
    if (m_upstreams.listedUpstreams(groupKey) == 0)
        return std::nullopt;
    const class_state &classState = m_classes[ticket.workClass];
    const rank_number rank = classState.settings.rank;
    if (!ticket.wasSentTo(region)
        && !m_shift.mayForward({ticket.workClass, ticket.origin}, region, rank, ticket.attempts > 0,
                               now)) {
        if (result.code == result_code::no_upstream)
            result.code = result_code::shift_cap;
        return std::nullopt;
    }
    if (region != m_homeRegion && !m_links.mayTake(region, linkBytes(ticket, region), rank, now)) {
        result.code = result_code::link_full;
        return std::nullopt;
    }
    pick_criteria criteria;
    criteria.excluded =
        ticket.openAttempts.empty() ? ticket.lastUpstream : ticket.openAttempts.front().upstream;
    const microseconds unmeasuredLatency = classState.meter.latency()
        + (region == m_homeRegion ? microseconds(0) : unmeasuredRegionDelay);
    criteria.priorLatency = m_upstreams.groupLatency(groupKey, unmeasuredLatency);
    criteria.idempotent = ticket.idempotent;
    const auto picked = m_upstreams.pick(groupKey, criteria, m_settings.policy, m_engine, now);
    if (!picked)
        result.canWait = true;
    return picked;
}

microseconds dispatcher_core::expectedHomeLatency(const ticket_state &ticket) const
{
    const class_state &classState = m_classes[ticket.workClass];
    const upstream_group_key home{ticket.workClass, m_homeRegion};
    const std::uint32_t slots = m_upstreams.slots(home);
    if (slots == 0)
        return microseconds::max();
    const microseconds latency = m_upstreams.groupLatency(home, classState.meter.latency());
    const std::size_t ahead = classState.queue.countAhead(ticket.queueItem());
    return latency + queueDelayWeight * latency * (ahead + 1) / slots;
}

bool dispatcher_core::waitingIsFaster(const ticket_state &ticket,
                                      const picked_upstream &picked) const
{
    const upstream_group_key home{ticket.workClass, m_homeRegion};
    // Waiting makes sense only if a slot in the home region is in use and can become free, and the
    // estimate is valid only if that region has answered requests before.
    const bool measured = m_upstreams.groupLatency(home, microseconds(0)) > microseconds(0);
    if (!measured || picked.isProbe || ticket.attempts > 0 || m_upstreams.inFlight(home) == 0)
        return false;
    return picked.expectedLatency > scaled(expectedHomeLatency(ticket), slowerThanWaitingFactor);
}

routing_result dispatcher_core::findRoute(const ticket_state &ticket, instant now)
{
    routing_result result;
    const class_state &classState = m_classes[ticket.workClass];
    auto home = pickInRegion(ticket, m_homeRegion, now, result);
    if (home && waitingIsFaster(ticket, *home)) {
        home.reset();
        result.canWait = true;
    }
    microseconds best = microseconds::max();
    if (home) {
        best = scaled(home->expectedLatency, otherRegionLatencyFactor);
        result.target = home;
    } else if (result.canWait) {
        best = expectedHomeLatency(ticket);
    }
    // Tries other regions in ascending order of their smoothed latency, and uses the first one that
    // can take the request. Regions that are not expected to be faster than the home region are
    // skipped.
    std::vector<std::pair<microseconds, region_index>> others;
    for (region_index region = 0; region < m_upstreams.regionIndexEnd(ticket.workClass); ++region) {
        const upstream_group_key groupKey{ticket.workClass, region};
        if (region == m_homeRegion || m_upstreams.listedUpstreams(groupKey) == 0)
            continue;
        const microseconds regionLatency =
            m_upstreams.groupLatency(groupKey, classState.meter.latency() + unmeasuredRegionDelay);
        if (regionLatency < best)
            others.emplace_back(regionLatency, region);
    }
    std::sort(others.begin(), others.end());
    for (const auto &[regionLatency, region] : others) {
        const auto picked = pickInRegion(ticket, region, now, result);
        if (picked && picked->expectedLatency < best) {
            result.target = picked;
            break;
        }
    }
    return result;
}

} // namespace kingcuptiller::internal
