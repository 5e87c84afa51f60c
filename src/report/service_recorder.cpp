#include "kingcuptiller/report/service_recorder.h"

#include <algorithm>

namespace kingcuptiller {

namespace {

const service_counts *findCounts(const std::vector<service_counts> &list,
                                 const service_counts &wanted)
{
    const auto found = std::find_if(list.begin(), list.end(), [&wanted](const auto &each) {
        return each.workClass == wanted.workClass && each.origin == wanted.origin;
    });
    return found == list.end() ? nullptr : &*found;
}

std::uint64_t codeCount(const service_counts &counts, result_code code)
{
    const auto found = std::find(counts.codes.begin(), counts.codes.end(), code);
    const auto position = static_cast<std::size_t>(found - counts.codes.begin());
    return position < counts.codeCounts.size() ? counts.codeCounts[position] : 0;
}

bool wentDown(const service_counts &before, const service_counts &after)
{
    return after.inTime < before.inTime || after.late < before.late
        || after.refused < before.refused || after.unknown < before.unknown;
}

service_counts difference(const service_counts &before, const service_counts &after)
{
    service_counts result{after.workClass,
                          after.origin,
                          after.inTime - before.inTime,
                          after.late - before.late,
                          after.refused - before.refused,
                          after.unknown - before.unknown,
                          {},
                          {}};
    for (std::size_t position = 0; position < after.codes.size(); ++position) {
        if (position >= after.codeCounts.size())
            break;
        const std::uint64_t earlier = codeCount(before, after.codes[position]);
        const std::uint64_t now = after.codeCounts[position];
        if (now <= earlier)
            continue;
        result.codes.push_back(after.codes[position]);
        result.codeCounts.push_back(now - earlier);
    }
    return result;
}

} // namespace

service_outcome judgeService(result_code code, microseconds latency, const service_target &target)
{
    if (code == result_code::ok || code == result_code::already_run)
        return latency <= target.latency ? service_outcome::in_time : service_outcome::late;
    if (isNotRun(code) && code != result_code::class_unknown)
        return service_outcome::refused;
    switch (code) {
    case result_code::outcome_unknown:
    case result_code::request_in_progress:
    case result_code::answer_incomplete:
    case result_code::answer_mismatched:
    case result_code::answer_too_large:
    case result_code::upstream_timeout:
    case result_code::internal_fault:
        return service_outcome::unknown;
    default:
        return service_outcome::ignored;
    }
}

void service_recorder::record(const class_name &workClass, const region_name &origin,
                              result_code code, microseconds latency, const service_target &target)
{
    const service_outcome outcome = judgeService(code, latency, target);
    if (outcome == service_outcome::ignored)
        return;
    auto &origins = m_tallies[workClass];
    const bool full = origins.size() >= maximumOrigins && !origins.contains(origin);
    tally &counted = origins[full ? region_name("other") : origin];
    switch (outcome) {
    case service_outcome::in_time:
        ++counted.inTime;
        return;
    case service_outcome::late:
        ++counted.late;
        return;
    case service_outcome::refused:
        ++counted.refused;
        break;
    default:
        ++counted.unknown;
        break;
    }
    ++counted.byCode[code];
}

std::vector<service_counts> service_recorder::counts() const
{
    std::vector<service_counts> result;
    for (const auto &[workClass, origins] : m_tallies) {
        for (const auto &[origin, counted] : origins) {
            service_counts &row = result.emplace_back(service_counts{workClass,
                                                                     origin,
                                                                     counted.inTime,
                                                                     counted.late,
                                                                     counted.refused,
                                                                     counted.unknown,
                                                                     {},
                                                                     {}});
            for (const auto &[code, count] : counted.byCode) {
                row.codes.push_back(code);
                row.codeCounts.push_back(count);
            }
        }
    }
    return result;
}

std::vector<service_counts> countsSince(const std::vector<service_counts> &before,
                                        const std::vector<service_counts> &after)
{
    std::vector<service_counts> result;
    result.reserve(after.size());
    for (const service_counts &each : after) {
        const service_counts *earlier = findCounts(before, each);
        if (earlier == nullptr || wentDown(*earlier, each))
            result.push_back(each);
        else
            result.push_back(difference(*earlier, each));
    }
    return result;
}

} // namespace kingcuptiller
