#include "kingcuptiller/control/share_planner.h"

#include "class_plan.h"

#include <algorithm>
#include <cmath>

namespace kingcuptiller {

namespace {

using namespace internal;

double demandFor(const std::vector<class_demand> &demand, const class_name &name)
{
    for (const auto &each : demand) {
        if (each.workClass == name)
            // A report that is no number must not spoil the parts of all entries.
            return std::isfinite(each.concurrency) ? std::max(0.0, each.concurrency) : 0.0;
    }
    return 0;
}

std::vector<planned_entry> entriesFor(const class_name &name, const fleet_registry &fleet,
                                      const demand_table &demand)
{
    std::vector<planned_entry> entries;
    for (const auto &[key, reported] : demand) {
        const auto *record = fleet.find(key);
        if (record == nullptr || record->state == entry_state::replaced)
            continue;
        entries.push_back({key, record->identity.region, demandFor(reported, name),
                           record->state == entry_state::released});
    }
    return entries;
}

planned_upstream describeUpstream(const upstream_record &record,
                                  const std::vector<planned_entry> &entries, bool stopped)
{
    planned_upstream result{record.announcement.id, record.announcement.region, 0, {}};
    std::uint32_t ofOthers = record.counted();
    for (const auto &entry : entries) {
        const auto share = record.shares.find(entry.key);
        const bool known = share != record.shares.end();
        result.limits.push_back(known ? share->second.limit : 0);
        ofOthers -= known ? share->second.counted : 0;
    }
    const std::uint32_t slots = stopped ? 0 : record.announcement.slots;
    result.available = slots > ofOthers ? slots - ofOthers : 0;
    return result;
}

// Adds the limits that differ from the present ones and that the registry could change now.
void addChanges(const upstream_record &record, const std::vector<planned_entry> &entries,
                const planned_upstream &plan, std::vector<share_limit> &changes)
{
    const std::uint32_t counted = record.counted();
    const std::uint32_t slots = record.announcement.slots;
    const std::uint32_t open = slots > counted ? slots - counted : 0;
    for (std::size_t entry = 0; entry < entries.size(); ++entry) {
        const auto known = record.shares.find(entries[entry].key);
        const slot_share share = known == record.shares.end() ? slot_share{} : known->second;
        const std::uint32_t wanted = plan.limits[entry];
        if (wanted < share.limit || (wanted > share.limit && share.counted + open > share.limit))
            changes.push_back({plan.id, entries[entry].key, wanted});
    }
}

} // namespace

std::vector<share_limit> planShares(const configuration &current, const fleet_registry &fleet,
                                    const demand_table &demand, wall_time now)
{
    std::map<class_name, std::vector<const upstream_record *>> byClass;
    for (const auto &[id, record] : fleet.upstreams()) {
        if (record.state == upstream_state::serving)
            byClass[record.announcement.workClass].push_back(&record);
    }
    std::vector<share_limit> changes;
    for (const auto &[name, records] : byClass) {
        const auto entries = entriesFor(name, fleet, demand);
        if (entries.empty())
            continue;
        std::vector<planned_upstream> upstreams;
        upstreams.reserve(records.size());
        for (const auto *record : records)
            upstreams.push_back(
                describeUpstream(*record, entries, isStopped(current, record->announcement, now)));
        planClass(entries, upstreams);
        for (std::size_t each = 0; each < records.size(); ++each)
            addChanges(*records[each], entries, upstreams[each], changes);
    }
    return changes;
}

} // namespace kingcuptiller
