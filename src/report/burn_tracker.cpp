#include "kingcuptiller/report/burn_report.h"

#include "error_budget.h"

#include <algorithm>

namespace kingcuptiller {

namespace {

wall_time stepStart(wall_time time)
{
    const auto sinceEpoch = time.time_since_epoch();
    return wall_time(sinceEpoch - sinceEpoch % burn_tracker::step);
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

void burn_tracker::add(const std::vector<service_counts> &counts, wall_time now)
{
    const wall_time start = stepStart(now);
    for (const service_counts &each : counts) {
        auto &steps = m_steps[{each.workClass, each.origin}];
        // Wall time may jump back; then the newest step goes on taking the counts.
        if (steps.empty() || steps.back().start < start)
            steps.push_back({start, 0, 0, {}, 0});
        step_counts &current = steps.back();
        current.total += each.inTime + each.late + each.refused + each.unknown;
        current.late += each.late;
        current.missed += each.late + each.refused + each.unknown;
        for (std::size_t i = 0; i < std::min(each.codes.size(), each.codeCounts.size()); ++i)
            current.byCode[each.codes[i]] += each.codeCounts[i];
        while (steps.front().start + longWindowLength < start)
            steps.pop_front();
    }
}

class_burn burn_tracker::makeRow(const work_class &promised, const region_name &origin,
                                 const std::deque<step_counts> &steps, wall_time now)
{
    class_burn row;
    row.workClass = promised.name;
    row.origin = origin;
    row.rank = promised.rank.number();
    row.target = promised.target;
    row.shortWindow.length = shortWindowLength;
    row.longWindow.length = longWindowLength;
    std::map<std::string, std::uint64_t> causes;
    for (const step_counts &each : steps) {
        if (each.start + longWindowLength < now)
            continue;
        row.longWindow.total += each.total;
        row.longWindow.missed += each.missed;
        if (each.start + shortWindowLength >= now) {
            row.shortWindow.total += each.total;
            row.shortWindow.missed += each.missed;
        }
        if (each.late > 0)
            causes["late"] += each.late;
        for (const auto &[code, count] : each.byCode)
            causes[std::string(name(code))] += count;
        row.points.push_back({each.start, each.total, each.missed});
    }
    const double allowed = internal::allowedShare(promised.target);
    for (burn_window *window : {&row.shortWindow, &row.longWindow})
        window->burnRate = share(window->missed, window->total) / allowed;
    row.achieved = 1 - share(row.longWindow.missed, row.longWindow.total);
    row.budgetLeft = 1 - row.longWindow.burnRate;
    for (const auto &[reason, count] : causes)
        row.causes.push_back({reason, count});
    std::stable_sort(row.causes.begin(), row.causes.end(),
                     [](const auto &left, const auto &right) { return left.count > right.count; });
    return row;
}

burn_report burn_tracker::report(const configuration &current,
                                 const std::vector<fleet_event> &events, const host_id &host,
                                 bool wholeFleet, wall_time now) const
{
    burn_report result{now, host, wholeFleet, {}, events};
    for (const auto &[place, steps] : m_steps) {
        // Counts of a class that operators have removed are no longer measured against a target.
        if (const work_class *promised = current.find(place.first))
            result.rows.push_back(makeRow(*promised, place.second, steps, now));
    }
    std::stable_sort(result.rows.begin(), result.rows.end(),
                     [](const auto &left, const auto &right) { return left.rank < right.rank; });
    return result;
}

} // namespace kingcuptiller
