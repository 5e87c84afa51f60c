#include "upstream_table.h"

#include <algorithm>
#include <tuple>

namespace kingcuptiller::internal {

namespace {

// An upstream that got no request for this long is selected for the next client request, which
// measures its latency again; otherwise an upstream that was slow once would never be used again.
// The interval is longer for requests that are not idempotent, because they cannot be hedged if the
// upstream is still slow.
constexpr std::chrono::seconds probeIntervalIdempotent{10};
constexpr std::chrono::seconds probeIntervalOther{30};

// At most one in this many upstreams of a group may be ejected at the same time.
constexpr std::size_t ejectedDivisor = 3;

constexpr double groupSampleWeight = 0.05;

std::string keyOf(const upstream_assignment &assignment)
{
    return assignment.id.text() + '\n' + assignment.incarnation.text();
}

} // namespace

upstream_table::group &upstream_table::groupAt(const upstream_group_key &groupKey)
{
    if (m_groups.size() <= groupKey.workClass)
        m_groups.resize(groupKey.workClass + 1);
    auto &regions = m_groups[groupKey.workClass];
    if (regions.size() <= groupKey.region)
        regions.resize(groupKey.region + 1);
    return regions[groupKey.region];
}

const upstream_table::group *upstream_table::findGroup(const upstream_group_key &groupKey) const
{
    if (groupKey.workClass >= m_groups.size()
        || groupKey.region >= m_groups[groupKey.workClass].size())
        return nullptr;
    return &m_groups[groupKey.workClass][groupKey.region];
}

upstream_index upstream_table::findOrAddRecord(const upstream_assignment &assignment, instant now)
{
    const auto [found, isNew] = m_byIdAndIncarnation.try_emplace(keyOf(assignment), 0);
    if (!isNew)
        return found->second;
    if (m_reusableRecords.empty()) {
        found->second = static_cast<upstream_index>(m_records.size());
        m_records.push_back(std::make_unique<record>());
    } else {
        found->second = m_reusableRecords.back();
        m_reusableRecords.pop_back();
        *m_records[found->second] = record();
    }
    record &added = *m_records[found->second];
    const auto previous = m_byId.find(assignment.id);
    added.inFlightAllIncarnations = previous == m_byId.end()
        ? std::make_shared<std::uint32_t>(0)
        : m_records[previous->second]->inFlightAllIncarnations;
    added.startTime = now - microseconds(assignment.age);
    added.lastUsed = now;
    return found->second;
}

void upstream_table::apply(const std::vector<upstream_assignment> &assignments,
                           const std::vector<upstream_group_key> &groupKeys, instant now)
{
    for (const auto &[key, index] : m_byIdAndIncarnation)
        m_records[index]->listed = false;
    for (std::size_t position = 0; position < assignments.size(); ++position) {
        const upstream_assignment &assignment = assignments[position];
        const upstream_index index = findOrAddRecord(assignment, now);
        record &upstreamRecord = *m_records[index];
        upstreamRecord.groupKey = groupKeys[position];
        if (!upstreamRecord.assignment || *upstreamRecord.assignment != assignment)
            upstreamRecord.assignment = std::make_shared<const upstream_assignment>(assignment);
        upstreamRecord.listed = true;
    }
    releaseUnusedRecords();
    rebuildGroups();
}

void upstream_table::releaseUnusedRecords()
{
    for (auto each = m_byIdAndIncarnation.begin(); each != m_byIdAndIncarnation.end();) {
        const record &upstreamRecord = *m_records[each->second];
        if (upstreamRecord.listed || upstreamRecord.inFlight > 0) {
            ++each;
            continue;
        }
        const auto known = m_byId.find(upstreamRecord.assignment->id);
        if (known != m_byId.end() && known->second == each->second)
            m_byId.erase(known);
        m_reusableRecords.push_back(each->second);
        each = m_byIdAndIncarnation.erase(each);
    }
}

void upstream_table::rebuildGroups()
{
    for (auto &regions : m_groups) {
        for (group &each : regions) {
            each.enabledUpstreams.clear();
            each.freeUpstreams.clear();
            each.slots = 0;
            each.listed = 0;
            each.inFlight = 0;
        }
    }
    m_byId.clear();
    // Sorted by index for deterministic results, because the iteration order of the map can differ
    // between runs.
    std::vector<upstream_index> indexes;
    for (const auto &[key, index] : m_byIdAndIncarnation)
        indexes.push_back(index);
    std::sort(indexes.begin(), indexes.end());
    for (const upstream_index index : indexes) {
        record &upstreamRecord = *m_records[index];
        const upstream_assignment &assignment = *upstreamRecord.assignment;
        upstreamRecord.freePosition.reset();
        upstreamRecord.limit = upstreamRecord.listed && !assignment.leaving
            ? std::min(assignment.limit, assignment.connectionLimit)
            : 0;
        if (upstreamRecord.listed || !m_byId.contains(assignment.id))
            m_byId[assignment.id] = index;
        group &targetGroup = groupAt(upstreamRecord.groupKey);
        targetGroup.inFlight += upstreamRecord.inFlight;
        targetGroup.listed += upstreamRecord.listed && !assignment.leaving ? 1 : 0;
        if (upstreamRecord.limit == 0)
            continue;
        targetGroup.enabledUpstreams.push_back(index);
        targetGroup.slots += upstreamRecord.limit;
        updateFreeList(index);
    }
}

void upstream_table::updateFreeList(upstream_index upstream)
{
    record &upstreamRecord = *m_records[upstream];
    const bool isFree = *upstreamRecord.inFlightAllIncarnations < upstreamRecord.limit;
    if (isFree == upstreamRecord.freePosition.has_value())
        return;
    std::vector<upstream_index> &freeUpstreams = groupAt(upstreamRecord.groupKey).freeUpstreams;
    if (isFree) {
        upstreamRecord.freePosition = freeUpstreams.size();
        freeUpstreams.push_back(upstream);
        return;
    }
    const std::size_t position = *upstreamRecord.freePosition;
    freeUpstreams[position] = freeUpstreams.back();
    m_records[freeUpstreams[position]]->freePosition = position;
    freeUpstreams.pop_back();
    upstreamRecord.freePosition.reset();
}

void upstream_table::applyLoads(const std::vector<upstream_load> &loads, instant now)
{
    for (const upstream_load &each : loads) {
        const auto found = m_byId.find(each.id);
        if (found != m_byId.end())
            m_records[found->second]->health.recordLoadReport(each.load, each.age, now);
    }
}

bool upstream_table::isUsable(const record &upstreamRecord, const pick_criteria &criteria,
                              instant now) const
{
    return *upstreamRecord.inFlightAllIncarnations
        < warmUpLimit(upstreamRecord.limit, now - upstreamRecord.startTime, m_warmUp)
        && !upstreamRecord.health.ejected(now)
        && (!criteria.excluded || m_records[*criteria.excluded].get() != &upstreamRecord);
}

void upstream_table::collectCandidates(const group &from, const pick_criteria &criteria,
                                       std::size_t start, std::size_t count, instant now)
{
    m_candidates.clear();
    m_candidateIndexes.clear();
    for (std::size_t step = 0; step < count; ++step) {
        const upstream_index index = from.freeUpstreams[(start + step) % from.freeUpstreams.size()];
        const record &upstreamRecord = *m_records[index];
        if (!isUsable(upstreamRecord, criteria, now))
            continue;
        m_candidates.push_back(
            {upstreamRecord.health.expectedLatency(criteria.priorLatency, upstreamRecord.inFlight,
                                                   upstreamRecord.limit, now),
             upstreamRecord.inFlight, upstreamRecord.limit, upstreamRecord.health.reportedLoad(now),
             upstreamRecord.lastSelection});
        m_candidateIndexes.push_back(index);
    }
}

std::optional<picked_upstream> upstream_table::pick(const upstream_group_key &groupKey,
                                                    const pick_criteria &criteria,
                                                    const choice_policy &policy,
                                                    random_engine &engine, instant now)
{
    const group *from = findGroup(groupKey);
    if (from == nullptr || from->freeUpstreams.empty())
        return std::nullopt;
    const std::size_t freeCount = from->freeUpstreams.size();
    const std::size_t start = freeCount > sampleSize ? engine() % freeCount : 0;
    collectCandidates(*from, criteria, start, std::min(freeCount, sampleSize), now);
    if (m_candidates.empty() && freeCount > sampleSize)
        collectCandidates(*from, criteria, 0, freeCount, now);
    if (m_candidates.empty())
        return std::nullopt;
    const microseconds probeInterval =
        criteria.idempotent ? probeIntervalIdempotent : probeIntervalOther;
    for (std::size_t position = 0; position < m_candidates.size(); ++position) {
        const record &upstreamRecord = *m_records[m_candidateIndexes[position]];
        if (upstreamRecord.inFlight == 0 && now - upstreamRecord.lastUsed > probeInterval)
            return picked_upstream{m_candidateIndexes[position],
                                   m_candidates[position].expectedLatency, true};
    }
    const std::size_t chosen = policy(m_candidates, engine);
    return picked_upstream{m_candidateIndexes.at(chosen), m_candidates[chosen].expectedLatency,
                           false};
}

void upstream_table::take(upstream_index upstream, instant now)
{
    record &upstreamRecord = *m_records[upstream];
    ++upstreamRecord.inFlight;
    ++*upstreamRecord.inFlightAllIncarnations;
    ++groupAt(upstreamRecord.groupKey).inFlight;
    upstreamRecord.lastSelection = ++m_selectionCount;
    upstreamRecord.lastUsed = now;
    updateFreeList(upstream);
}

void upstream_table::release(upstream_index upstream, const attempt_report &report, instant now)
{
    record &upstreamRecord = *m_records[upstream];
    --upstreamRecord.inFlight;
    --*upstreamRecord.inFlightAllIncarnations;
    --groupAt(upstreamRecord.groupKey).inFlight;
    upstreamRecord.health.recordAttempt(report.outcome, report.latency, now);
    if (report.outcome == attempt_outcome::answered || report.outcome == attempt_outcome::timeout) {
        double &latency = groupAt(upstreamRecord.groupKey).latencyUs;
        const auto sample = static_cast<double>(report.latency.count());
        latency = latency <= 0 ? sample : latency + groupSampleWeight * (sample - latency);
    }
    if (upstreamRecord.health.shouldEject() && !upstreamRecord.health.ejected(now))
        ejectIfAllowed(upstreamRecord, now);
    updateFreeList(upstream);
    const auto newest = m_byId.find(upstreamRecord.assignment->id);
    if (newest != m_byId.end() && newest->second != upstream)
        updateFreeList(newest->second);
    if (!upstreamRecord.listed)
        releaseUnusedRecords();
}

void upstream_table::ejectIfAllowed(record &upstreamRecord, instant now)
{
    const group &ownGroup = groupAt(upstreamRecord.groupKey);
    const auto ejected =
        std::count_if(ownGroup.enabledUpstreams.begin(), ownGroup.enabledUpstreams.end(),
                      [&](upstream_index each) { return m_records[each]->health.ejected(now); });
    if (static_cast<std::size_t>(ejected) + 1 <= ownGroup.enabledUpstreams.size() / ejectedDivisor)
        upstreamRecord.health.eject(now);
}

std::size_t upstream_table::listedUpstreams(const upstream_group_key &groupKey) const
{
    const group *found = findGroup(groupKey);
    return found == nullptr ? 0 : found->listed;
}

std::uint32_t upstream_table::slots(const upstream_group_key &groupKey) const
{
    const group *found = findGroup(groupKey);
    return found == nullptr ? 0 : found->slots;
}

bool upstream_table::hasFreeSlot(class_index workClass) const
{
    if (workClass >= m_groups.size())
        return false;
    const auto &regions = m_groups[workClass];
    return std::any_of(regions.begin(), regions.end(),
                       [](const group &each) { return !each.freeUpstreams.empty(); });
}

microseconds upstream_table::groupLatency(const upstream_group_key &groupKey,
                                          microseconds priorLatency) const
{
    const group *found = findGroup(groupKey);
    return found == nullptr || found->latencyUs <= 0
        ? priorLatency
        : microseconds(static_cast<std::int64_t>(found->latencyUs));
}

std::uint32_t upstream_table::inFlight(const upstream_group_key &groupKey) const
{
    const group *found = findGroup(groupKey);
    return found == nullptr ? 0 : found->inFlight;
}

std::size_t upstream_table::regionIndexEnd(class_index workClass) const
{
    return workClass < m_groups.size() ? m_groups[workClass].size() : 0;
}

std::vector<upstream_usage> upstream_table::usage() const
{
    std::vector<upstream_usage> result;
    result.reserve(m_byIdAndIncarnation.size());
    for (const auto &[key, index] : m_byIdAndIncarnation) {
        const record &upstreamRecord = *m_records[index];
        result.push_back({upstreamRecord.assignment->id, upstreamRecord.assignment->incarnation,
                          upstreamRecord.inFlight});
    }
    std::sort(result.begin(), result.end(), [](const auto &left, const auto &right) {
        return std::tie(left.id.text(), left.incarnation.text())
            < std::tie(right.id.text(), right.incarnation.text());
    });
    return result;
}

} // namespace kingcuptiller::internal
