#include "kingcuptiller/control/lease_table.h"

#include "kingcuptiller/control/share_planner.h"
#include "kingcuptiller/values/error.h"

#include <algorithm>

namespace kingcuptiller {

namespace {

entry_key keyOf(const entry_identity &identity)
{
    return {identity.host, identity.incarnation};
}

// Identifiers become a part of commands, which must be valid UTF-8, and of log lines.
bool isPlain(const std::string &text)
{
    constexpr std::size_t longest = 128;
    return !text.empty() && text.size() <= longest
        && std::all_of(text.begin(), text.end(),
                       [](char each) { return each > ' ' && each < 127; });
}

// Above any real upstream; the cost of a plan grows with the slots.
constexpr std::uint32_t mostSlots = 10'000;

bool isValid(const upstream_announcement &announcement)
{
    return isPlain(announcement.id.text()) && isPlain(announcement.incarnation.text())
        && isPlain(announcement.address.text()) && isPlain(announcement.region.text())
        && isPlain(announcement.zone.text()) && isPlain(announcement.workClass.text())
        && announcement.slots <= mostSlots;
}

void checkEntry(const entry_identity &entry)
{
    if (!isPlain(entry.host.text()) || !isPlain(entry.incarnation.text())
        || !isPlain(entry.address.text()) || !isPlain(entry.region.text())
        || !isPlain(entry.zone.text()))
        throw error(result_code::message_malformed,
                    "the entry's identifiers must have 1 to 128 visible ASCII characters");
}

milliseconds toMilliseconds(microseconds duration)
{
    return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(duration));
}

} // namespace

lease_table::lease_table(const lease_options &options)
    : m_options(options)
{
}

void lease_table::startLeading(const control_state &state, instant now)
{
    stopLeading();
    for (const auto &[key, record] : state.fleet().entries())
        m_entries[key].leaseEnd = now + m_options.entryLease;
    for (const auto &[id, record] : state.fleet().upstreams()) {
        if (record.state != upstream_state::removed)
            m_upstreams[id] = {record.announcement, now, std::nullopt};
    }
}

void lease_table::stopLeading()
{
    m_entries.clear();
    m_upstreams.clear();
}

bool lease_table::mayRenew(const known_entry &entry, const entry_record *record) const
{
    return record != nullptr && !entry.retiring && record->state != entry_state::replaced;
}

entry_sync_response lease_table::sync(const entry_sync_request &request, const control_state &state,
                                      lease_moment moment)
{
    const instant now = moment.now;
    checkEntry(request.entry);
    const entry_key key = keyOf(request.entry);
    takeAnnouncements(request, state, now);
    entry_sync_response response;
    response.revision = state.currentConfiguration().revision;
    if (response.revision > request.appliedRevision)
        response.newConfiguration = state.currentConfiguration();
    const auto *record = state.fleet().find(key);
    if (record == nullptr && state.fleet().isFormer(key))
        return response;
    auto &entry = m_entries[key];
    // Syncs can overtake each other; what was applied stays applied.
    entry.appliedRevision = std::max(entry.appliedRevision, request.appliedRevision);
    entry.appliedAssignment = std::max(entry.appliedAssignment, request.appliedAssignment);
    entry.newest = request;
    if (mayRenew(entry, record)) {
        entry.leaseEnd = std::max(entry.leaseEnd, now + m_options.entryLease);
        response.lease = m_options.entryLease;
        response.assignment = record->assignment;
        response.released = record->state == entry_state::released;
        // Also when the entry is ahead: its number is from a fleet that was formed anew.
        if (record->assignment != request.appliedAssignment)
            response.newAssignments = assignmentOf(key, state, moment.wall);
    } else if (record == nullptr) {
        // Registered by the next `collect`, if the entry is still there.
        entry.leaseEnd = std::max(entry.leaseEnd, now);
    }
    response.entries = listEntries(state, now);
    response.loads = listLoads(now);
    response.flows = sumFlows(now);
    return response;
}

void lease_table::takeAnnouncements(const entry_sync_request &request, const control_state &state,
                                    instant now)
{
    for (const auto &each : request.announcements) {
        const auto *record = state.fleet().find(each.id);
        const bool late = record != nullptr
            && std::find(record->former.begin(), record->former.end(), each.incarnation)
                != record->former.end();
        const auto known = m_upstreams.find(each.id);
        const bool withdrawn = known != m_upstreams.end() && known->second.withdrawn
            && known->second.announcement.incarnation == each.incarnation;
        if (!isValid(each) || late || withdrawn
            || state.currentConfiguration().find(each.workClass) == nullptr)
            continue;
        m_upstreams[each.id] = {each, now, std::nullopt};
    }
    for (const auto &each : request.withdrawals) {
        const auto known = m_upstreams.find(each);
        if (known != m_upstreams.end() && !known->second.withdrawn)
            known->second.withdrawn = now;
    }
}

fleet_update lease_table::collect(const control_state &state, lease_moment moment)
{
    fleet_update update;
    collectEntries(state, moment, update);
    collectUpstreams(state, moment.now, update);
    return update;
}

void lease_table::collectEntries(const control_state &state, lease_moment moment,
                                 fleet_update &update)
{
    const instant now = moment.now;
    for (auto each = m_entries.begin(); each != m_entries.end();) {
        auto &[key, entry] = *each;
        const auto *record = state.fleet().find(key);
        const bool gone = record == nullptr
            && (entry.retiring || !entry.newest || entry.leaseEnd + m_options.entryLease < now
                || state.fleet().isFormer(key));
        if (gone) {
            // What was applied is forgotten with it: the entry starts anew if it comes back.
            each = m_entries.erase(each);
            continue;
        }
        ++each;
        if (record == nullptr) {
            update.joined.push_back(entry.newest->entry);
            continue;
        }
        if (entry.retiring || entry.leaseEnd + state.configurations().longestDeadline() < now) {
            entry.retiring = true;
            update.retired.push_back(key);
            continue;
        }
        collectState(*record, entry, state, moment, update);
    }
}

void lease_table::collectState(const entry_record &record, known_entry &entry,
                               const control_state &state, lease_moment moment,
                               fleet_update &update)
{
    if (!entry.newest || record.state == entry_state::replaced)
        return;
    const entry_key key = keyOf(record.identity);
    const share_confirmation confirmation{key, entry.newest->appliedAssignment,
                                          entry.newest->usage};
    if (state.fleet().wouldFree(confirmation))
        update.confirmed.push_back(confirmation);
    const bool leaves = entry.newest->leaving
        || isStopped(state.currentConfiguration(), record.identity, moment.wall);
    if (record.state == entry_state::serving && leaves) {
        update.states.push_back({key, entry_state::leaving});
        entry.leavingInForce.reset();
    } else if (record.state != entry_state::serving && !leaves) {
        update.states.push_back({key, entry_state::serving});
    } else if (record.state == entry_state::leaving && isLeavingInForce(record, key, moment.now)) {
        if (!entry.leavingInForce)
            entry.leavingInForce = moment.now;
        if (*entry.leavingInForce + m_options.lookupLifetime <= moment.now)
            update.states.push_back({key, entry_state::released});
    }
}

bool lease_table::isLeavingInForce(const entry_record &record, const entry_key &key,
                                   instant now) const
{
    return std::all_of(m_entries.begin(), m_entries.end(), [&](const auto &other) {
        return other.first == key || other.second.leaseEnd <= now
            || other.second.appliedAssignment >= record.left;
    });
}

bool lease_table::isSilent(const known_upstream &upstream, instant now) const
{
    const auto lifetime =
        std::min(upstream.announcement.lifetime, m_options.longestAnnouncementLifetime);
    return upstream.heard + lifetime < now;
}

void lease_table::collectUpstreams(const control_state &state, instant now, fleet_update &update)
{
    for (auto each = m_upstreams.begin(); each != m_upstreams.end();) {
        const auto &[id, upstream] = *each;
        const auto *record = state.fleet().find(id);
        const bool registered = record != nullptr && record->state != upstream_state::removed;
        if (upstream.withdrawn || isSilent(upstream, now)) {
            if (registered)
                update.removed.push_back(id);
            // A withdrawal is remembered for a while, because other entries may relay an
            // announcement that was made before it.
            const bool forget = !registered
                && (!upstream.withdrawn
                    || *upstream.withdrawn + m_options.longestAnnouncementLifetime < now);
            each = forget ? m_upstreams.erase(each) : std::next(each);
            continue;
        }
        upstream_announcement wanted = upstream.announcement;
        wanted.load = 0;
        if (!registered || record->announcement != wanted)
            update.upstreams.push_back(wanted);
        ++each;
    }
}

std::vector<share_limit> lease_table::planLimits(const control_state &state,
                                                 lease_moment moment) const
{
    return planShares(state.currentConfiguration(), state.fleet(), demand(moment.now), moment.wall);
}

bool lease_table::isInForce(revision_number revision, instant now) const
{
    return std::all_of(m_entries.begin(), m_entries.end(), [&](const auto &each) {
        return each.second.leaseEnd <= now || each.second.appliedRevision >= revision;
    });
}

bool lease_table::holdsLease(const entry_key &key, instant now) const
{
    const auto found = m_entries.find(key);
    return found != m_entries.end() && found->second.leaseEnd > now;
}

demand_table lease_table::demand(instant now) const
{
    demand_table table;
    for (const auto &[key, entry] : m_entries) {
        if (entry.leaseEnd > now && entry.newest)
            table[key] = entry.newest->demand;
    }
    return table;
}

std::vector<entry_listing> lease_table::listEntries(const control_state &state, instant now) const
{
    std::vector<entry_listing> list;
    for (const auto &[key, record] : state.fleet().entries()) {
        if (record.state == entry_state::replaced)
            continue;
        list.push_back(
            {record.identity, record.state == entry_state::serving && holdsLease(key, now)});
    }
    return list;
}

std::vector<upstream_load> lease_table::listLoads(instant now) const
{
    std::vector<upstream_load> loads;
    loads.reserve(m_upstreams.size());
    for (const auto &[id, upstream] : m_upstreams)
        loads.push_back({id, upstream.announcement.load, toMilliseconds(now - upstream.heard)});
    return loads;
}

std::vector<region_flow> lease_table::sumFlows(instant now) const
{
    std::map<std::tuple<class_name, region_name, region_name>, std::uint64_t> sums;
    for (const auto &[key, entry] : m_entries) {
        if (entry.leaseEnd <= now || !entry.newest)
            continue;
        for (const auto &flow : entry.newest->flows)
            sums[{flow.workClass, flow.origin, flow.destination}] += flow.forwarded;
    }
    std::vector<region_flow> flows;
    flows.reserve(sums.size());
    for (const auto &[where, forwarded] : sums)
        flows.push_back({std::get<0>(where), std::get<1>(where), std::get<2>(where), forwarded});
    return flows;
}

std::vector<upstream_assignment> assignmentOf(const entry_key &key, const control_state &state,
                                              wall_time now)
{
    std::uint32_t entries = 0;
    for (const auto &each : state.fleet().entries())
        entries += each.second.state == entry_state::replaced ? 0 : 1;
    std::vector<upstream_assignment> list;
    for (const auto &[id, record] : state.fleet().upstreams()) {
        const auto share = record.shares.find(key);
        if (share == record.shares.end() || record.state == upstream_state::removed)
            continue;
        const auto &announced = record.announcement;
        list.push_back({id, announced.incarnation, announced.address, announced.region,
                        announced.zone, announced.workClass, share->second.limit,
                        std::max(1U, announced.connections / std::max(1U, entries)),
                        record.state == upstream_state::leaving
                            || isStopped(state.currentConfiguration(), announced, now),
                        toMilliseconds(now - record.registered)});
    }
    return list;
}

} // namespace kingcuptiller
