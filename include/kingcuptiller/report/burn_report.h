#pragma once

#include "kingcuptiller/protocol/messages.h"

#include <json/value.h>

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

// The service-level burn report: for each class of work and client region, what was promised, what
// was achieved, how fast the error budget is being used up, and by what.
//
// The error budget of a class is the share of requests that may miss the target: 1 - success. A
// burn rate of 1 uses exactly the budget; 10 uses it ten times as fast. Two windows tell a short
// spike from a lasting problem.

namespace kingcuptiller {

struct burn_window
{
    milliseconds length{0};
    std::uint64_t total = 0;
    // Late, refused and unknown requests.
    std::uint64_t missed = 0;
    // Share missed, divided by the share that the target allows.
    double burnRate = 0;

    auto operator<=>(const burn_window &) const = default;
};

// One reason for missed requests: "late" or the name of a result code.
struct burn_cause
{
    std::string reason;
    std::uint64_t count = 0;

    auto operator<=>(const burn_cause &) const = default;
};

// One step of the plots.
struct burn_point
{
    wall_time start;
    std::uint64_t total = 0;
    std::uint64_t missed = 0;

    auto operator<=>(const burn_point &) const = default;
};

// One row: a class of work, seen from one client region.
struct class_burn
{
    class_name workClass;
    region_name origin;
    std::uint64_t rank = 0;
    service_target target;
    // Over the long window, 0 to 1.
    double achieved = 1;
    // Part of the long window's budget that is left, at most 1; negative when overspent.
    double budgetLeft = 1;
    burn_window shortWindow;
    burn_window longWindow;
    // Over the long window, largest first.
    std::vector<burn_cause> causes;
    std::vector<burn_point> points;

    bool operator==(const class_burn &) const = default;
};

struct burn_report
{
    wall_time made;
    // The host that made the report, and whether it speaks for the fleet or for itself.
    host_id host;
    bool wholeFleet = false;
    // Sorted by rank, class and region.
    std::vector<class_burn> rows;
    std::vector<fleet_event> events;

    bool operator==(const burn_report &) const = default;
};

// Collects counts in steps of 10 s and makes reports. Not thread-safe. Memory is bounded by the
// long window: at most 360 steps for each class and client region.
//
//     tracker.add(countsSince(former, current), now);
//     const std::string page = toHtml(tracker.report(classes, events, host, true, now));
class burn_tracker
{
public:
    static constexpr milliseconds step{10'000};
    static constexpr milliseconds shortWindowLength{300'000};
    static constexpr milliseconds longWindowLength{3'600'000};

    // Adds what was counted since the last call.
    void add(const std::vector<service_counts> &counts, wall_time now);

    [[nodiscard]] burn_report report(const configuration &current,
                                     const std::vector<fleet_event> &events, const host_id &host,
                                     bool wholeFleet, wall_time now) const;

private:
    struct step_counts
    {
        wall_time start;
        std::uint64_t total = 0;
        std::uint64_t late = 0;
        std::map<result_code, std::uint64_t> byCode;
        std::uint64_t missed = 0;
    };

    [[nodiscard]] static class_burn makeRow(const work_class &promised, const region_name &origin,
                                            const std::deque<step_counts> &steps, wall_time now);

    std::map<std::pair<class_name, region_name>, std::deque<step_counts>> m_steps;
};

// The report as one JSON object; field names are those of the structs.
[[nodiscard]] Json::Value reportToJson(const burn_report &report);

// The inverse. Throws `error` with message_malformed.
[[nodiscard]] burn_report reportFromJson(const Json::Value &document);

// The report as a table for a terminal, at most 120 columns wide.
[[nodiscard]] std::string toTable(const burn_report &report);

// The report as one page without outside references: the table, and for each row a plot of the burn
// rate over time with the fleet's events marked.
[[nodiscard]] std::string toHtml(const burn_report &report);

} // namespace kingcuptiller
