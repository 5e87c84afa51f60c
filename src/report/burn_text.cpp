#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/report/burn_report.h"
#include "kingcuptiller/values/error.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace kingcuptiller {

namespace {

Json::Value windowToJson(const burn_window &window)
{
    Json::Value document;
    document["lengthMs"] = Json::Int64(window.length.count());
    document["total"] = Json::UInt64(window.total);
    document["missed"] = Json::UInt64(window.missed);
    document["burnRate"] = window.burnRate;
    return document;
}

burn_window windowFromJson(const Json::Value &document)
{
    return {milliseconds(document["lengthMs"].asInt64()), document["total"].asUInt64(),
            document["missed"].asUInt64(), document["burnRate"].asDouble()};
}

Json::Value rowToJson(const class_burn &row)
{
    Json::Value document;
    document["workClass"] = row.workClass.text();
    document["origin"] = row.origin.text();
    document["rank"] = Json::UInt64(row.rank);
    document["target"] = toJson(row.target);
    document["achieved"] = row.achieved;
    document["budgetLeft"] = row.budgetLeft;
    document["shortWindow"] = windowToJson(row.shortWindow);
    document["longWindow"] = windowToJson(row.longWindow);
    document["causes"] = Json::arrayValue;
    for (const burn_cause &each : row.causes) {
        Json::Value cause;
        cause["reason"] = each.reason;
        cause["count"] = Json::UInt64(each.count);
        document["causes"].append(cause);
    }
    document["points"] = Json::arrayValue;
    for (const burn_point &each : row.points) {
        Json::Value point;
        point["start"] = Json::Int64(toUnixMilliseconds(each.start));
        point["total"] = Json::UInt64(each.total);
        point["missed"] = Json::UInt64(each.missed);
        document["points"].append(point);
    }
    return document;
}

class_burn rowFromJson(const Json::Value &document)
{
    class_burn row;
    row.workClass = class_name(document["workClass"].asString());
    row.origin = region_name(document["origin"].asString());
    row.rank = document["rank"].asUInt64();
    row.target = fromJson<service_target>(document["target"]);
    row.achieved = document["achieved"].asDouble();
    row.budgetLeft = document["budgetLeft"].asDouble();
    row.shortWindow = windowFromJson(document["shortWindow"]);
    row.longWindow = windowFromJson(document["longWindow"]);
    for (const Json::Value &each : document["causes"])
        row.causes.push_back({each["reason"].asString(), each["count"].asUInt64()});
    for (const Json::Value &each : document["points"])
        row.points.push_back({fromUnixMilliseconds(each["start"].asInt64()),
                              each["total"].asUInt64(), each["missed"].asUInt64()});
    return row;
}

std::string causesText(const class_burn &row)
{
    constexpr std::size_t shownCauses = 3;
    std::string result;
    for (std::size_t i = 0; i < row.causes.size() && i < shownCauses; ++i)
        result +=
            fmt::format("{}{} {}", i == 0 ? "" : ", ", row.causes[i].reason, row.causes[i].count);
    return result.empty() ? "-" : result;
}

} // namespace

Json::Value reportToJson(const burn_report &report)
{
    Json::Value document;
    document["made"] = Json::Int64(toUnixMilliseconds(report.made));
    document["host"] = report.host.text();
    document["wholeFleet"] = report.wholeFleet;
    document["rows"] = Json::arrayValue;
    for (const class_burn &row : report.rows)
        document["rows"].append(rowToJson(row));
    document["events"] = Json::arrayValue;
    for (const fleet_event &each : report.events)
        document["events"].append(toJson(each));
    return document;
}

burn_report reportFromJson(const Json::Value &document)
{
    try {
        burn_report report{fromUnixMilliseconds(document["made"].asInt64()),
                           host_id(document["host"].asString()),
                           document["wholeFleet"].asBool(),
                           {},
                           {}};
        for (const Json::Value &each : document["rows"])
            report.rows.push_back(rowFromJson(each));
        for (const Json::Value &each : document["events"])
            report.events.push_back(fromJson<fleet_event>(each));
        return report;
    } catch (const Json::Exception &exception) {
        throw error(result_code::message_malformed,
                    std::string("burn report: ") + exception.what());
    }
}

std::string toTable(const burn_report &report)
{
    std::string result = fmt::format("service-level burn, {} ({})\n", report.host.text(),
                                     report.wholeFleet ? "whole fleet" : "this entry only");
    result +=
        fmt::format("{:>4} {:<16} {:<13} {:>16} {:>9} {:>8} {:>8} {:>8}  {}\n", "rank", "class",
                    "region", "target", "achieved", "budget", "burn 5m", "burn 1h", "missed by");
    for (const class_burn &row : report.rows) {
        const std::string target = fmt::format(
            "{:.1f}% in {} ms", row.target.successPerMille / 10.0, row.target.latency.count());
        result +=
            fmt::format("{:>4} {:<16} {:<13} {:>16} {:>8.2f}% {:>7.0f}% {:>8.2f} {:>8.2f}  {}\n",
                        row.rank, row.workClass.text(), row.origin.text(), target,
                        row.achieved * 100, row.budgetLeft * 100, row.shortWindow.burnRate,
                        row.longWindow.burnRate, causesText(row));
    }
    for (const fleet_event &each : report.events)
        result +=
            fmt::format("{:%FT%TZ} {} {}\n",
                        std::chrono::floor<std::chrono::seconds>(
                            std::chrono::sys_time<microseconds>(each.time.time_since_epoch())),
                        each.kind, each.detail);
    return result;
}

} // namespace kingcuptiller
