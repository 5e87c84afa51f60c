#include "bench/model_control.h"

#include <algorithm>

namespace kingcuptiller::bench {

namespace {

constexpr std::chrono::milliseconds lease{2500};
constexpr std::chrono::seconds longestDeadline{5};
constexpr std::chrono::seconds announcementLifetime{3};

wall_time wallTime(instant now)
{
    return wall_time(now.time_since_epoch());
}

entry_key keyOf(const entry_identity &identity)
{
    return {identity.host, identity.incarnation};
}

} // namespace

void model_control::apply(const fleet_update &update, instant now)
{
    if (!update.empty())
        m_fleet.apply(update, wallTime(now));
}

void model_control::addEntry(const entry_identity &identity, instant now)
{
    fleet_update update;
    update.joined.push_back(identity);
    apply(update, now);
    m_founders.push_back(keyOf(identity));
    m_lastSync[keyOf(identity)] = now;
    m_demand[keyOf(identity)] = {};
}

void model_control::announce(const upstream_announcement &announcement, instant now)
{
    m_lastAnnounced[announcement.id] = now;
    m_positions.try_emplace(announcement.id, m_positions.size());
    const upstream_record *known = m_fleet.find(announcement.id);
    if (known != nullptr && known->announcement.incarnation == announcement.incarnation
        && known->state == upstream_state::serving)
        return;
    fleet_update update;
    update.upstreams.push_back(announcement);
    apply(update, now);
}

std::uint32_t model_control::limitFor(const upstream_record &record, std::size_t position,
                                      const entry_key &entry) const
{
    const std::uint32_t slots = record.announcement.slots;
    if (m_policy == model_policy::least_loaded_shedding)
        return slots;
    if (m_policy == model_policy::static_shares) {
        const auto found = std::find(m_founders.begin(), m_founders.end(), entry);
        const auto index = static_cast<std::size_t>(found - m_founders.begin());
        const std::size_t count = m_founders.size();
        // What does not divide evenly goes to other entries for each upstream.
        const bool extra = (index + count * 100 - position * slots % count) % count < slots % count;
        return static_cast<std::uint32_t>(slots / count) + (extra ? 1 : 0);
    }
    const auto share = record.shares.find(entry);
    return share == record.shares.end() ? 0 : share->second.limit;
}

model_control::sync_answer model_control::sync(const entry_identity &from,
                                               assignment_sequence applied,
                                               const std::vector<upstream_usage> &usage,
                                               const std::vector<class_demand> &demand, instant now)
{
    const entry_key key = keyOf(from);
    m_lastSync[key] = now;
    m_demand[key] = demand;
    fleet_update update;
    update.confirmed.push_back({key, applied, usage});
    if (m_fleet.wouldFree(update.confirmed.front()))
        apply(update, now);
    sync_answer answer;
    answer.sequence = m_fleet.sequence();
    for (const auto &[id, record] : m_fleet.upstreams()) {
        if (record.state == upstream_state::removed)
            continue;
        const upstream_announcement &of = record.announcement;
        const bool leaving = record.state == upstream_state::leaving
            || isStopped(m_configuration, of, wallTime(now));
        const auto age =
            std::chrono::duration_cast<milliseconds>(wallTime(now) - record.registered);
        answer.assignments.push_back(
            {id, of.incarnation, of.address, of.region, of.zone, of.workClass,
             leaving ? 0 : limitFor(record, m_positions.at(id), key),
             of.connections / static_cast<std::uint32_t>(std::max<std::size_t>(m_demand.size(), 1)),
             leaving, age});
    }
    const auto alive = listings();
    answer.entriesInRegion = static_cast<std::size_t>(
        std::count_if(alive.begin(), alive.end(), [&](const entry_listing &each) {
            return each.serving && each.entry.region == from.region;
        }));
    return answer;
}

void model_control::review(instant now)
{
    fleet_update update;
    for (auto each = m_lastSync.begin(); each != m_lastSync.end();) {
        if (now - each->second > lease)
            m_demand.erase(each->first);
        if (now - each->second > lease + longestDeadline) {
            update.retired.push_back(each->first);
            each = m_lastSync.erase(each);
        } else {
            ++each;
        }
    }
    for (auto each = m_lastAnnounced.begin(); each != m_lastAnnounced.end();) {
        if (now - each->second > announcementLifetime) {
            update.removed.push_back(each->first);
            each = m_lastAnnounced.erase(each);
        } else {
            ++each;
        }
    }
    apply(update, now);
    if (m_policy != model_policy::moved_shares && m_policy != model_policy::round_robin)
        return;
    fleet_update plan;
    plan.limits = planShares(m_configuration, m_fleet, m_demand, wallTime(now));
    apply(plan, now);
}

std::vector<entry_listing> model_control::listings() const
{
    std::vector<entry_listing> result;
    for (const auto &[key, record] : m_fleet.entries())
        result.push_back({record.identity, m_demand.contains(key)});
    return result;
}

} // namespace kingcuptiller::bench
