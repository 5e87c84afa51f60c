#include "kingcuptiller/control/stop_review.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace kingcuptiller {

namespace {

// Requests do not arrive evenly, so a class at exactly its mean concurrency already misses its
// target. One fifth is the band within which the planner moves no slots.
constexpr double headroom = 1.2;

std::string hostOf(const endpoint_address &address)
{
    return address.text().substr(0, address.text().rfind(':'));
}

bool isInPlace(const planned_stop &stop, const region_name &region, const zone_name &zone)
{
    if (stop.scope == stop_scope::region)
        return stop.subject == region.text();
    return stop.scope == stop_scope::zone && stop.subject == region.text() + "/" + zone.text();
}

template <typename Subject>
bool isAnyStopped(const configuration &current, const Subject &subject, wall_time now)
{
    return std::any_of(current.stops.begin(), current.stops.end(), [&](const auto &stop) {
        return stop.start <= now && now < stop.end && isInScope(stop, subject);
    });
}

// The times within the new stops at which another stop starts: between two of them the set of
// stopped upstreams only shrinks.
std::set<wall_time> momentsOf(const change_request &change, const configuration &next,
                              wall_time now)
{
    std::set<wall_time> moments;
    for (const auto &added : change.planStops) {
        moments.insert(std::max(added.start, now));
        for (const auto &other : next.stops) {
            if (other.start > std::max(added.start, now) && other.start < added.end)
                moments.insert(other.start);
        }
    }
    return moments;
}

std::string activeStops(const configuration &next, wall_time moment)
{
    std::string text;
    for (const auto &stop : next.stops) {
        if (stop.start <= moment && moment < stop.end)
            text += (text.empty() ? "" : ", ") + stop.id.text();
    }
    return text;
}

double demandOf(const demand_table &demand, const class_name &name)
{
    double total = 0;
    for (const auto &[entry, classes] : demand) {
        for (const auto &each : classes)
            total += each.workClass == name ? each.concurrency : 0;
    }
    return total;
}

review_result reviewClass(const class_name &name, const configuration &next,
                          const fleet_registry &fleet, const demand_table &demand, wall_time moment)
{
    std::uint64_t total = 0;
    std::uint64_t left = 0;
    for (const auto &[id, upstream] : fleet.upstreams()) {
        const auto &announcement = upstream.announcement;
        if (announcement.workClass != name || upstream.state != upstream_state::serving)
            continue;
        total += announcement.slots;
        left += isStopped(next, announcement, moment) ? 0 : announcement.slots;
    }
    const double needed = demandOf(demand, name) * headroom;
    if (left == total || (left > 0 && static_cast<double>(left) >= needed))
        return {};
    return {result_code::stop_breaks_target,
            fmt::format("the stops {} would leave class {} with {} of {} slots; its present "
                        "demand of {:.1f} needs {:.1f}, because requests arrive unevenly",
                        activeStops(next, moment), name.text(), left, total, needed / headroom,
                        needed)};
}

review_result reviewEntries(const configuration &next, const fleet_registry &fleet,
                            wall_time moment)
{
    std::size_t total = 0;
    std::size_t left = 0;
    for (const auto &[key, entry] : fleet.entries()) {
        if (entry.state == entry_state::replaced || entry.state == entry_state::released)
            continue;
        ++total;
        left += isStopped(next, entry.identity, moment) ? 0 : 1;
    }
    if (left > 0 || total == 0)
        return {};
    return {result_code::stop_breaks_target,
            fmt::format("the stops {} would leave clients 0 of {} entry hosts",
                        activeStops(next, moment), total)};
}

} // namespace

bool isInScope(const planned_stop &stop, const upstream_announcement &upstream)
{
    if (stop.scope == stop_scope::upstream)
        return stop.subject == upstream.id.text();
    if (stop.scope == stop_scope::host)
        return stop.subject == hostOf(upstream.address);
    return isInPlace(stop, upstream.region, upstream.zone);
}

bool isInScope(const planned_stop &stop, const entry_identity &entry)
{
    if (stop.scope == stop_scope::host)
        return stop.subject == entry.host.text();
    return isInPlace(stop, entry.region, entry.zone);
}

bool isStopped(const configuration &current, const upstream_announcement &upstream, wall_time now)
{
    return isAnyStopped(current, upstream, now);
}

bool isStopped(const configuration &current, const entry_identity &entry, wall_time now)
{
    return isAnyStopped(current, entry, now);
}

review_result reviewStops(const change_request &change, const configuration &next,
                          const fleet_registry &fleet, const demand_table &demand, wall_time now)
{
    for (const wall_time moment : momentsOf(change, next, now)) {
        for (const auto &each : next.classes) {
            auto result = reviewClass(each.name, next, fleet, demand, moment);
            if (result.code != result_code::ok)
                return result;
        }
        auto result = reviewEntries(next, fleet, moment);
        if (result.code != result_code::ok)
            return result;
    }
    return {};
}

} // namespace kingcuptiller
