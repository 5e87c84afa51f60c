#include "kingcuptiller/control/lease_table.h"

#include <algorithm>
#include <tuple>

namespace kingcuptiller {

namespace {

void addCodes(service_counts &sum, const service_counts &part)
{
    for (std::size_t each = 0; each < part.codes.size() && each < part.codeCounts.size(); ++each) {
        const auto known = std::find(sum.codes.begin(), sum.codes.end(), part.codes[each]);
        if (known == sum.codes.end()) {
            sum.codes.push_back(part.codes[each]);
            sum.codeCounts.push_back(part.codeCounts[each]);
        } else {
            sum.codeCounts[static_cast<std::size_t>(known - sum.codes.begin())] +=
                part.codeCounts[each];
        }
    }
}

} // namespace

std::vector<entry_report> lease_table::reportEntries(const control_state &state, instant now) const
{
    std::vector<entry_report> reports;
    for (const auto &listing : listEntries(state, now)) {
        entry_report report{listing, {}, milliseconds{0}};
        const auto found = m_entries.find({listing.entry.host, listing.entry.incarnation});
        if (found != m_entries.end()) {
            report.appliedRevision = found->second.appliedRevision;
            report.leaseLeft =
                std::max(milliseconds{0},
                         std::chrono::duration_cast<milliseconds>(found->second.leaseEnd - now));
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<upstream_report> lease_table::reportUpstreams(const control_state &state,
                                                          instant now) const
{
    std::vector<upstream_report> reports;
    for (const auto &[id, record] : state.fleet().upstreams()) {
        if (record.state == upstream_state::removed)
            continue;
        upstream_report report{record.announcement, record.granted(), milliseconds{0}};
        const auto found = m_upstreams.find(id);
        if (found != m_upstreams.end()) {
            report.announcement.load = found->second.announcement.load;
            report.lastHeard = std::chrono::duration_cast<milliseconds>(now - found->second.heard);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<service_counts> lease_table::service() const
{
    std::map<std::pair<class_name, region_name>, service_counts> sums;
    for (const auto &[key, entry] : m_entries) {
        if (!entry.newest)
            continue;
        for (const auto &part : entry.newest->service) {
            auto &sum = sums[{part.workClass, part.origin}];
            sum.workClass = part.workClass;
            sum.origin = part.origin;
            sum.inTime += part.inTime;
            sum.late += part.late;
            sum.refused += part.refused;
            sum.unknown += part.unknown;
            addCodes(sum, part);
        }
    }
    std::vector<service_counts> list;
    list.reserve(sums.size());
    for (auto &each : sums)
        list.push_back(std::move(each.second));
    return list;
}

} // namespace kingcuptiller
