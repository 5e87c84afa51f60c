#include "kingcuptiller/report/burn_report.h"

#include "error_budget.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace kingcuptiller {

namespace {

constexpr double plotWidth = 560;
constexpr double plotHeight = 120;
constexpr double plotLeft = 44;
constexpr double plotTop = 10;
// Burn rates are drawn on a logarithmic axis because a flood burns thousands of times the budget.
constexpr double highestDecade = 3;
constexpr double lowestDecade = -1;

constexpr const char *pageStyle =
    "body{font:14px/1.45 system-ui,sans-serif;margin:24px;color:#1c2430;background:#fff;"
    "max-width:1180px}"
    "h1{font-size:20px;margin:0 0 4px}h2{font-size:16px;margin:28px 0 8px}"
    "p{margin:4px 0 12px;color:#4a5566}table{border-collapse:collapse;width:100%}"
    "th,td{text-align:right;padding:5px 9px;border-bottom:1px solid #e2e6ec;white-space:nowrap}"
    "th{color:#4a5566;font-weight:600}td.text,th.text{text-align:left;white-space:normal}"
    ".good{color:#1a7f4b}.warn{color:#a15c00;font-weight:600}.bad{color:#b3261e;font-weight:600}"
    ".plots{display:grid;grid-template-columns:repeat(auto-fill,minmax(560px,1fr));gap:18px}"
    "figure{margin:0}figcaption{font-weight:600;margin-bottom:2px}"
    "svg{width:100%;height:auto}svg text{font:11px system-ui,sans-serif;fill:#4a5566}";

std::string escaped(const std::string &text)
{
    std::string result;
    for (const char character : text) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

std::string clockText(wall_time time)
{
    return fmt::format("{:%H:%M:%S}",
                       std::chrono::floor<std::chrono::seconds>(
                           std::chrono::sys_time<microseconds>(time.time_since_epoch())));
}

std::string dateText(wall_time time)
{
    return fmt::format("{:%F %T} UTC",
                       std::chrono::floor<std::chrono::seconds>(
                           std::chrono::sys_time<microseconds>(time.time_since_epoch())));
}

// Above 1 the budget does not last; above 10 it is gone within a tenth of the window.
const char *rateStyle(double rate)
{
    constexpr double alarmingRate = 10;
    if (rate <= 1)
        return "good";
    return rate < alarmingRate ? "warn" : "bad";
}

std::string causeList(const class_burn &row)
{
    std::string result;
    for (const burn_cause &each : row.causes)
        result +=
            fmt::format("{}{} {}", result.empty() ? "" : ", ", escaped(each.reason), each.count);
    return result.empty() ? "nothing" : result;
}

std::string tableRow(const class_burn &row)
{
    const char *budgetStyle = row.budgetLeft > 0.25 ? "good" : row.budgetLeft > 0 ? "warn" : "bad";
    return fmt::format(
        "<tr><td>{}</td><td class=text>{}</td><td class=text>{}</td><td>{:.1f}% in {} ms</td>"
        "<td>{}</td><td>{:.2f}%</td><td class={}>{:.0f}%</td><td class={}>{:.2f}</td>"
        "<td class={}>{:.2f}</td><td class=text>{}</td></tr>\n",
        row.rank, escaped(row.workClass.text()), escaped(row.origin.text()),
        row.target.successPerMille / 10.0, row.target.latency.count(), row.longWindow.total,
        row.achieved * 100, budgetStyle, row.budgetLeft * 100, rateStyle(row.shortWindow.burnRate),
        row.shortWindow.burnRate, rateStyle(row.longWindow.burnRate), row.longWindow.burnRate,
        causeList(row));
}

// Maps times and burn rates to places in one plot. The time axis covers at least one minute, so
// that a fleet that has just started does not draw a single step over the whole width.
class plot_scale
{
public:
    plot_scale(wall_time first, wall_time last)
        : m_first(std::min(first, last - std::chrono::minutes(1)))
        , m_span(std::max<double>(1, static_cast<double>((last - m_first).count())))
    {
    }

    [[nodiscard]] double x(wall_time time) const
    {
        return plotLeft + plotWidth * static_cast<double>((time - m_first).count()) / m_span;
    }

    [[nodiscard]] static double y(double rate)
    {
        const double decade = rate <= 0 ? lowestDecade : std::log10(rate);
        const double place = (std::clamp(decade, lowestDecade, highestDecade) - lowestDecade)
            / (highestDecade - lowestDecade);
        return plotTop + plotHeight * (1 - place);
    }

    [[nodiscard]] bool covers(wall_time time) const { return time >= m_first; }
    [[nodiscard]] wall_time first() const { return m_first; }

private:
    wall_time m_first;
    double m_span;
};

std::string plotAxes(const plot_scale &scale, wall_time last)
{
    std::string result;
    for (const double rate : {0.1, 1.0, 10.0, 100.0, 1000.0}) {
        const double y = plot_scale::y(rate);
        result += fmt::format("<line x1='{}' x2='{}' y1='{:.1f}' y2='{:.1f}' stroke='{}'/>"
                              "<text x='{}' y='{:.1f}' text-anchor='end'>{:g}</text>",
                              plotLeft, plotLeft + plotWidth, y, y,
                              rate == 1 ? "#7a8699" : "#e2e6ec", plotLeft - 6, y + 4, rate);
    }
    const double below = plotTop + plotHeight + 16;
    result += fmt::format("<text x='{}' y='{}'>{}</text>"
                          "<text x='{}' y='{}' text-anchor='end'>{}</text>",
                          plotLeft, below, clockText(scale.first()), plotLeft + plotWidth, below,
                          clockText(last));
    return result;
}

std::string plotSteps(const class_burn &row, const plot_scale &scale)
{
    std::string result;
    const double allowed = internal::allowedShare(row.target);
    const double base = plot_scale::y(0);
    for (const burn_point &each : row.points) {
        if (each.total == 0 || each.missed == 0)
            continue;
        const double rate =
            static_cast<double>(each.missed) / static_cast<double>(each.total) / allowed;
        const double left = scale.x(each.start);
        const double right =
            std::min(scale.x(each.start + burn_tracker::step), plotLeft + plotWidth);
        const double top = plot_scale::y(rate);
        result += fmt::format("<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{:.1f}' "
                              "fill='{}'><title>{}: {} of {} missed, burn {:.1f}</title></rect>",
                              left, top, std::max(right - left, 1.0), std::max(base - top, 0.5),
                              rate > 1 ? "#c8473d" : "#6c9bd2", clockText(each.start), each.missed,
                              each.total, rate);
    }
    return result;
}

// Routine events stand in the table only; drawn, they would hide the repairs and losses.
bool isRoutine(const fleet_event &event)
{
    return event.kind.ends_with("_joined") || event.kind.starts_with("configuration_");
}

std::string plotEvents(const std::vector<fleet_event> &events, const plot_scale &scale)
{
    std::string result;
    for (const fleet_event &each : events) {
        if (isRoutine(each) || !scale.covers(each.time))
            continue;
        const double x = scale.x(each.time);
        result += fmt::format("<line x1='{0:.1f}' x2='{0:.1f}' y1='{1}' y2='{2}' stroke='#7b4bb3' "
                              "stroke-dasharray='3 3'><title>{3} {4} {5}</title></line>",
                              x, plotTop, plotTop + plotHeight, clockText(each.time),
                              escaped(each.kind), escaped(each.detail));
    }
    return result;
}

std::string plot(const class_burn &row, const burn_report &report)
{
    const wall_time first = row.points.empty() ? report.made : row.points.front().start;
    const plot_scale scale(first, report.made);
    return fmt::format("<figure><figcaption>{}, {}</figcaption>"
                       "<svg viewBox='0 0 {} {}' role='img' aria-label='burn rate over time'>"
                       "{}{}{}</svg></figure>\n",
                       escaped(row.workClass.text()), escaped(row.origin.text()),
                       plotLeft + plotWidth + 10, plotTop + plotHeight + 24,
                       plotAxes(scale, report.made), plotSteps(row, scale),
                       plotEvents(report.events, scale));
}

std::string eventTable(const burn_report &report)
{
    std::string result = "<h2>Repairs, stops and other events</h2>\n";
    if (report.events.empty())
        return result + "<p>None were recorded.</p>\n";
    result += "<table><tr><th class=text>time</th><th class=text>event</th>"
              "<th class=text>detail</th></tr>\n";
    std::vector<fleet_event> newestFirst = report.events;
    std::stable_sort(newestFirst.begin(), newestFirst.end(),
                     [](const auto &left, const auto &right) { return left.time > right.time; });
    for (const fleet_event &each : newestFirst)
        result += fmt::format("<tr><td class=text>{}</td><td class=text>{}</td>"
                              "<td class=text>{}</td></tr>\n",
                              dateText(each.time), escaped(each.kind), escaped(each.detail));
    return result + "</table>\n";
}

} // namespace

std::string toHtml(const burn_report &report)
{
    std::string page = fmt::format(
        "<!doctype html><html lang=en><head><meta charset=utf-8>"
        "<meta name=viewport content='width=device-width'><title>Service-level burn</title>"
        "<style>{}</style></head><body><h1>Service-level burn</h1>"
        "<p>{} on host {}, made {}. A burn rate of 1 uses exactly the error budget of the window; "
        "budget left is that of the last hour.</p>\n",
        pageStyle, report.wholeFleet ? "Whole fleet, reported by control" : "This entry only,",
        escaped(report.host.text()), dateText(report.made));
    page +=
        "<table><tr><th>rank</th><th class=text>class of work</th><th class=text>region</th>"
        "<th>target</th><th>requests</th><th>achieved</th><th>budget left</th><th>burn 5 min</th>"
        "<th>burn 1 h</th><th class=text>missed by</th></tr>\n";
    for (const class_burn &row : report.rows)
        page += tableRow(row);
    page += "</table>\n";
    if (report.rows.empty())
        page += "<p>No requests were counted in the last hour.</p>\n";
    page +=
        "<h2>Burn rate over time</h2><p>Logarithmic; the darker line is a rate of 1. Dashed lines "
        "mark events.</p><div class=plots>\n";
    for (const class_burn &row : report.rows)
        page += plot(row, report);
    return page + "</div>\n" + eventTable(report) + "</body></html>\n";
}

} // namespace kingcuptiller
