#include "kingcuptiller/cli/state_text.h"
#include "kingcuptiller/values/error.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace kingcuptiller {

namespace {

struct region_capacity
{
    std::size_t upstreams = 0;
    std::size_t leaving = 0;
    std::uint64_t slots = 0;
    std::uint64_t granted = 0;
};

std::map<region_name, region_capacity> capacityOf(const state_report &state,
                                                  const class_name &workClass)
{
    std::map<region_name, region_capacity> result;
    for (const upstream_report &each : state.upstreams) {
        if (each.announcement.workClass != workClass)
            continue;
        region_capacity &capacity = result[each.announcement.region];
        if (each.announcement.leaving) {
            ++capacity.leaving;
            continue;
        }
        ++capacity.upstreams;
        capacity.slots += each.announcement.slots;
        capacity.granted += each.grantedSlots;
    }
    return result;
}

void explainCapacity(std::vector<std::string> &lines, const state_report &state,
                     const class_name &workClass)
{
    std::uint64_t slots = 0;
    for (const auto &[region, capacity] : capacityOf(state, workClass)) {
        slots += capacity.slots;
        lines.push_back(fmt::format(
            "Served in {} by {} upstreams with {} slots, of which entries may use {}; {} more "
            "are leaving.",
            region.text(), capacity.upstreams, capacity.slots, capacity.granted, capacity.leaving));
    }
    if (slots == 0)
        lines.push_back("Served nowhere: no serving upstream announces this class, so requests "
                        "are refused with no_upstream.");
    const bool anyEntry = std::any_of(state.entries.begin(), state.entries.end(),
                                      [](const auto &each) { return each.listing.serving; });
    if (!anyEntry)
        lines.push_back("No entry serves: none holds a lease of control.");
}

void explainService(std::vector<std::string> &lines, const state_report &state,
                    const work_class &found)
{
    std::map<result_code, std::uint64_t> reasons;
    std::uint64_t inTime = 0;
    std::uint64_t missed = 0;
    std::uint64_t late = 0;
    for (const service_counts &each : state.service) {
        if (each.workClass != found.name)
            continue;
        inTime += each.inTime;
        late += each.late;
        missed += each.late + each.refused + each.unknown;
        for (std::size_t index = 0; index < std::min(each.codes.size(), each.codeCounts.size());
             ++index)
            reasons[each.codes[index]] += each.codeCounts[index];
    }
    const double share = inTime + missed == 0
        ? 1
        : static_cast<double>(inTime) / static_cast<double>(inTime + missed);
    lines.push_back(fmt::format(
        "Answered in time: {} of {} ({:.1f}%, target {:.1f}% within {} ms); {} were late.", inTime,
        inTime + missed, share * 100, found.target.successPerMille / 10.0,
        found.target.latency.count(), late));
    std::vector<std::pair<result_code, std::uint64_t>> sorted(reasons.begin(), reasons.end());
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto &one, const auto &other) { return one.second > other.second; });
    for (const auto &[code, count] : sorted)
        lines.push_back(fmt::format("{} times {} ({}): {}", count, name(code),
                                    static_cast<int>(code), advice(code)));
}

} // namespace

std::vector<std::string> explainClass(const state_report &state, const class_name &workClass,
                                      wall_time now)
{
    const work_class *const found = state.current.find(workClass);
    if (found == nullptr)
        throw error(result_code::class_unknown,
                    fmt::format("there is no class '{}' at revision {}", workClass.text(),
                                state.current.revision.number()));
    std::vector<std::string> lines;
    lines.push_back(
        fmt::format("{} has rank {} and worth {}; a request {}.", workClass.text(),
                    found->rank.number(), found->target.worth,
                    found->idempotent ? "may be sent more than once" : "runs at most once"));
    explainCapacity(lines, state, workClass);
    for (const planned_stop &each : state.current.stops) {
        if (each.start <= now && now < each.end)
            lines.push_back(fmt::format("The planned stop {} of {} is under way until {}.",
                                        each.id.text(), each.subject, timeText(each.end)));
    }
    explainService(lines, state, *found);
    return lines;
}

} // namespace kingcuptiller
