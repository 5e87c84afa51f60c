#include "kingcuptiller/cli/state_text.h"

#include "kingcuptiller/settings/settings_reader.h"
#include "kingcuptiller/values/error.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <stdexcept>

namespace kingcuptiller {

namespace {

constexpr std::size_t shownEvents = 10;

const char *scopeName(stop_scope scope)
{
    switch (scope) {
    case stop_scope::upstream:
        return "upstream";
    case stop_scope::host:
        return "host";
    case stop_scope::zone:
        return "zone";
    case stop_scope::region:
        return "region";
    }
    return "";
}

} // namespace

std::string timeText(wall_time time)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch());
    return fmt::format("{:%F %T} UTC", fmt::gmtime(static_cast<std::time_t>(seconds.count())));
}

wall_time parseTime(const std::string &text, wall_time now)
{
    if (text == "now")
        return now;
    try {
        if (text.starts_with("+"))
            return now + parseDuration(text.substr(1));
    } catch (const std::invalid_argument &fault) {
        throw error(result_code::command_line_invalid, fault.what());
    }
    const char *const end = text.data() + text.size();
    std::int64_t value = 0;
    const auto [rest, fault] = std::from_chars(text.data(), end, value);
    if (fault == std::errc() && rest == end && value > 0)
        return fromUnixMilliseconds(value);
    std::tm parts{};
    const char *const left = strptime(text.c_str(), "%Y-%m-%d %H:%M:%S", &parts);
    if (left == nullptr || (std::string_view(left) != " UTC" && *left != '\0'))
        throw error(result_code::command_line_invalid,
                    fmt::format("'{}' is no time; write 'now', '+10 min', milliseconds since 1970 "
                                "or '2026-12-04 07:20:00' in UTC",
                                text));
    return fromUnixMilliseconds(std::int64_t(timegm(&parts)) * 1000);
}

std::string classesTable(const configuration &current)
{
    std::string result = fmt::format("{:<20}{:>5}{:>12}{:>11}{:>9}{:>7}{:>15}\n", "class", "rank",
                                     "idempotent", "target ms", "success", "worth", "max deadline");
    for (const work_class &each : current.classes)
        result += fmt::format("{:<20}{:>5}{:>12}{:>11}{:>8.1f}%{:>7}{:>12} ms\n", each.name.text(),
                              each.rank.number(), each.idempotent ? "yes" : "no",
                              each.target.latency.count(), each.target.successPerMille / 10.0,
                              each.target.worth, each.maximumDeadline.count());
    return result;
}

std::string stopsTable(const configuration &current, wall_time now)
{
    std::string result = fmt::format("{:<18}{:<10}{:<24}{:<25}{:<25}{}\n", "stop", "scope",
                                     "subject", "start", "end", "state");
    for (const planned_stop &each : current.stops) {
        const char *const state = now < each.start ? "planned"
            : now < each.end                       ? "under way"
                                                   : "over";
        result +=
            fmt::format("{:<18}{:<10}{:<24}{:<25}{:<25}{}\n", each.id.text(), scopeName(each.scope),
                        each.subject, timeText(each.start), timeText(each.end), state);
    }
    return result;
}

std::string hostsTable(const state_report &state)
{
    std::string result = fmt::format("{:<24}{:<14}{:>12}\n", "control host", "role", "log index");
    for (const replica_report &each : state.replicas)
        result +=
            fmt::format("{:<24}{:<14}{:>12}\n", each.host.text(), each.role, each.matched.number());
    result += fmt::format("\n{:<24}{:<24}{:<16}{:<20}{:<10}{:>9}{:>10}\n", "entry", "address",
                          "region", "zone", "serving", "revision", "lease ms");
    for (const entry_report &each : state.entries) {
        const entry_identity &entry = each.listing.entry;
        result += fmt::format("{:<24}{:<24}{:<16}{:<20}{:<10}{:>9}{:>10}\n", entry.host.text(),
                              entry.address.text(), entry.region.text(), entry.zone.text(),
                              each.listing.serving ? "yes" : "no", each.appliedRevision.number(),
                              each.leaseLeft.count());
    }
    return result;
}

std::string upstreamsTable(const state_report &state)
{
    std::string result =
        fmt::format("{:<20}{:<20}{:<24}{:<20}{:>6}{:>9}{:>6}{:>10}  {}\n", "upstream", "class",
                    "address", "zone", "slots", "granted", "load", "heard ms", "state");
    for (const upstream_report &each : state.upstreams) {
        const upstream_announcement &upstream = each.announcement;
        result +=
            fmt::format("{:<20}{:<20}{:<24}{:<20}{:>6}{:>9}{:>6.2f}{:>10}  {}\n",
                        upstream.id.text(), upstream.workClass.text(), upstream.address.text(),
                        upstream.zone.text(), upstream.slots, each.grantedSlots, upstream.load,
                        each.lastHeard.count(), upstream.leaving ? "leaving" : "serving");
    }
    return result;
}

std::string stateText(const state_report &state, wall_time now)
{
    std::string result = fmt::format("revision {}, leader {}, epoch {}, committed {}\n\n",
                                     state.current.revision.number(), state.leader.text(),
                                     state.epoch.number(), state.committed.number());
    result += classesTable(state.current) + "\n" + stopsTable(state.current, now) + "\n"
        + hostsTable(state) + "\n" + upstreamsTable(state);
    if (!state.events.empty())
        result += "\nnewest events\n";
    const std::size_t shown = std::min(shownEvents, state.events.size());
    for (std::size_t index = state.events.size() - shown; index < state.events.size(); ++index) {
        const fleet_event &each = state.events[index];
        result += fmt::format("{}  {:<24}{}\n", timeText(each.time), each.kind, each.detail);
    }
    return result;
}

} // namespace kingcuptiller
