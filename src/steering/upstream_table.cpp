#include "upstream_table.h"

#include <algorithm>
#include <tuple>

namespace kingcuptiller::internal {

namespace {

// An upstream that was not used for this long gets one request so that it is measured again; an
// upstream that was slow once would otherwise never be used again. Work that is not idempotent
// cannot be hedged, so it is used for this less often.
constexpr std::chrono::seconds measureAgainIdempotent{10};
constexpr std::chrono::seconds measureAgainOther{30};

// Ejected upstreams of a group are at most one in this many.
constexpr std::size_t ejectedDivisor = 3;

constexpr double groupSampleWeight = 0.05;

std::string keyOf(const upstream_assignment &assignment)
{
    return assignment.id.text() + '\n' + assignment.incarnation.text();
}

} // namespace

upstream_table::group &upstream_table::groupAt(const upstream_place &place)
{
    if (m_groups.size() <= place.workClass)
        m_groups.resize(place.workClass + 1);
    auto &regions = m_groups[place.workClass];
    if (regions.size() <= place.region)
        regions.resize(place.region + 1);
    return regions[place.region];
}

const upstream_table::group *upstream_table::findGroup(const upstream_place &place) const
{
    if (place.workClass >= m_groups.size() || place.region >= m_groups[place.workClass].size())
        return nullptr;
    return &m_groups[place.workClass][place.region];
}

upstream_index upstream_table::recordFor(const upstream_assignment &assignment, instant now)
{
    const auto [found, isNew] = m_byKey.try_emplace(keyOf(assignment), 0);
    if (!isNew)
        return found->second;
    if (m_unused.empty()) {
        found->second = static_cast<upstream_index>(m_records.size());
        m_records.push_back(std::make_unique<record>());
    } else {
        found->second = m_unused.back();
        m_unused.pop_back();
        *m_records[found->second] = record();
    }
    record &added = *m_records[found->second];
    const auto former = m_byId.find(assignment.id);
    added.inFlightOfAll = former == m_byId.end() ? std::make_shared<std::uint32_t>(0)
                                                 : m_records[former->second]->inFlightOfAll;
    added.firstSeen = now - microseconds(assignment.age);
    added.lastTaken = now;
    return found->second;
}

void upstream_table::apply(const std::vector<upstream_assignment> &assignments,
                           const std::vector<upstream_place> &places, instant now)
{
    for (const auto &[key, index] : m_byKey)
        m_records[index]->listed = false;
    for (std::size_t position = 0; position < assignments.size(); ++position) {
        const upstream_assignment &assignment = assignments[position];
        const upstream_index index = recordFor(assignment, now);
        record &to = *m_records[index];
        to.place = places[position];
        if (!to.assignment || *to.assignment != assignment)
            to.assignment = std::make_shared<const upstream_assignment>(assignment);
        to.listed = true;
    }
    dropUnused();
    regroup();
}

void upstream_table::dropUnused()
{
    for (auto each = m_byKey.begin(); each != m_byKey.end();) {
        const record &of = *m_records[each->second];
        if (of.listed || of.inFlight > 0) {
            ++each;
            continue;
        }
        const auto known = m_byId.find(of.assignment->id);
        if (known != m_byId.end() && known->second == each->second)
            m_byId.erase(known);
        m_unused.push_back(each->second);
        each = m_byKey.erase(each);
    }
}

void upstream_table::regroup()
{
    for (auto &regions : m_groups) {
        for (group &each : regions) {
            each.open.clear();
            each.free.clear();
            each.slots = 0;
            each.listed = 0;
            each.inFlight = 0;
        }
    }
    m_byId.clear();
    // By position, because the order of the map may differ between two runs.
    std::vector<upstream_index> indexes;
    for (const auto &[key, index] : m_byKey)
        indexes.push_back(index);
    std::sort(indexes.begin(), indexes.end());
    for (const upstream_index index : indexes) {
        record &of = *m_records[index];
        const upstream_assignment &assignment = *of.assignment;
        of.freePosition.reset();
        of.limit = of.listed && !assignment.leaving
            ? std::min(assignment.limit, assignment.connectionLimit)
            : 0;
        if (of.listed || !m_byId.contains(assignment.id))
            m_byId[assignment.id] = index;
        group &to = groupAt(of.place);
        to.inFlight += of.inFlight;
        to.listed += of.listed && !assignment.leaving ? 1 : 0;
        if (of.limit == 0)
            continue;
        to.open.push_back(index);
        to.slots += of.limit;
        updateFree(index);
    }
}

void upstream_table::updateFree(upstream_index upstream)
{
    record &of = *m_records[upstream];
    const bool isFree = *of.inFlightOfAll < of.limit;
    if (isFree == of.freePosition.has_value())
        return;
    std::vector<upstream_index> &free = groupAt(of.place).free;
    if (isFree) {
        of.freePosition = free.size();
        free.push_back(upstream);
        return;
    }
    const std::size_t position = *of.freePosition;
    free[position] = free.back();
    m_records[free[position]]->freePosition = position;
    free.pop_back();
    of.freePosition.reset();
}

void upstream_table::applyLoads(const std::vector<upstream_load> &loads, instant now)
{
    for (const upstream_load &each : loads) {
        const auto found = m_byId.find(each.id);
        if (found != m_byId.end())
            m_records[found->second]->health.report(each.load, each.age, now);
    }
}

bool upstream_table::usable(const record &of, const pick_request &request, instant now) const
{
    return *of.inFlightOfAll < warmLimit(of.limit, now - of.firstSeen, m_warmUp)
        && !of.health.ejected(now)
        && (!request.excluded || m_records[*request.excluded].get() != &of);
}

void upstream_table::collect(const group &from, const pick_request &request, std::size_t start,
                             std::size_t count, instant now)
{
    m_candidates.clear();
    m_candidateIndexes.clear();
    for (std::size_t step = 0; step < count; ++step) {
        const upstream_index index = from.free[(start + step) % from.free.size()];
        const record &of = *m_records[index];
        if (!usable(of, request, now))
            continue;
        m_candidates.push_back(
            {of.health.expectedLatency(request.prior, of.inFlight, of.limit, now), of.inFlight,
             of.limit, of.health.reportedLoad(now), of.lastChosen});
        m_candidateIndexes.push_back(index);
    }
}

std::optional<picked_upstream> upstream_table::pick(const upstream_place &place,
                                                    const pick_request &request,
                                                    const choice_policy &policy,
                                                    random_engine &engine, instant now)
{
    const group *from = findGroup(place);
    if (from == nullptr || from->free.empty())
        return std::nullopt;
    const std::size_t free = from->free.size();
    const std::size_t start = free > sampleSize ? engine() % free : 0;
    collect(*from, request, start, std::min(free, sampleSize), now);
    if (m_candidates.empty() && free > sampleSize)
        collect(*from, request, 0, free, now);
    if (m_candidates.empty())
        return std::nullopt;
    const microseconds again = request.idempotent ? measureAgainIdempotent : measureAgainOther;
    for (std::size_t position = 0; position < m_candidates.size(); ++position) {
        const record &of = *m_records[m_candidateIndexes[position]];
        if (of.inFlight == 0 && now - of.lastTaken > again)
            return picked_upstream{m_candidateIndexes[position],
                                   m_candidates[position].expectedLatency, true};
    }
    const std::size_t chosen = policy(m_candidates, engine);
    return picked_upstream{m_candidateIndexes.at(chosen), m_candidates[chosen].expectedLatency,
                           false};
}

void upstream_table::take(upstream_index upstream, instant now)
{
    record &of = *m_records[upstream];
    ++of.inFlight;
    ++*of.inFlightOfAll;
    ++groupAt(of.place).inFlight;
    of.lastChosen = ++m_choices;
    of.lastTaken = now;
    updateFree(upstream);
}

void upstream_table::release(upstream_index upstream, const attempt_report &report, instant now)
{
    record &of = *m_records[upstream];
    --of.inFlight;
    --*of.inFlightOfAll;
    --groupAt(of.place).inFlight;
    of.health.observe(report.outcome, report.latency, now);
    if (report.outcome == attempt_outcome::answered || report.outcome == attempt_outcome::timeout) {
        double &latency = groupAt(of.place).latencyUs;
        const auto sample = static_cast<double>(report.latency.count());
        latency = latency <= 0 ? sample : latency + groupSampleWeight * (sample - latency);
    }
    if (of.health.shouldEject() && !of.health.ejected(now))
        ejectIfSpare(of, now);
    updateFree(upstream);
    const auto newest = m_byId.find(of.assignment->id);
    if (newest != m_byId.end() && newest->second != upstream)
        updateFree(newest->second);
    if (!of.listed)
        dropUnused();
}

void upstream_table::ejectIfSpare(record &of, instant now)
{
    const group &in = groupAt(of.place);
    const auto ejected = std::count_if(in.open.begin(), in.open.end(), [&](upstream_index each) {
        return m_records[each]->health.ejected(now);
    });
    if (static_cast<std::size_t>(ejected) + 1 <= in.open.size() / ejectedDivisor)
        of.health.eject(now);
}

std::size_t upstream_table::listedUpstreams(const upstream_place &place) const
{
    const group *found = findGroup(place);
    return found == nullptr ? 0 : found->listed;
}

std::uint32_t upstream_table::slots(const upstream_place &place) const
{
    const group *found = findGroup(place);
    return found == nullptr ? 0 : found->slots;
}

bool upstream_table::hasFree(class_index workClass) const
{
    if (workClass >= m_groups.size())
        return false;
    const auto &regions = m_groups[workClass];
    return std::any_of(regions.begin(), regions.end(),
                       [](const group &each) { return !each.free.empty(); });
}

microseconds upstream_table::groupLatency(const upstream_place &place, microseconds prior) const
{
    const group *found = findGroup(place);
    return found == nullptr || found->latencyUs <= 0
        ? prior
        : microseconds(static_cast<std::int64_t>(found->latencyUs));
}

std::uint32_t upstream_table::inFlight(const upstream_place &place) const
{
    const group *found = findGroup(place);
    return found == nullptr ? 0 : found->inFlight;
}

std::size_t upstream_table::regions(class_index workClass) const
{
    return workClass < m_groups.size() ? m_groups[workClass].size() : 0;
}

std::vector<upstream_usage> upstream_table::usage() const
{
    std::vector<upstream_usage> result;
    result.reserve(m_byKey.size());
    for (const auto &[key, index] : m_byKey) {
        const record &of = *m_records[index];
        result.push_back({of.assignment->id, of.assignment->incarnation, of.inFlight});
    }
    std::sort(result.begin(), result.end(), [](const auto &left, const auto &right) {
        return std::tie(left.id.text(), left.incarnation.text())
            < std::tie(right.id.text(), right.incarnation.text());
    });
    return result;
}

} // namespace kingcuptiller::internal
