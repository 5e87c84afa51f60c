#include "stand_in/load_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace kingcuptiller::stand_in {

namespace {

milliseconds percentile(const std::vector<microseconds> &sorted, double share)
{
    if (sorted.empty())
        return milliseconds(0);
    const auto last = static_cast<double>(sorted.size() - 1);
    return std::chrono::duration_cast<milliseconds>(
        sorted[static_cast<std::size_t>(std::lround(last * share))]);
}

std::uint64_t sum(const std::map<result_code, std::uint64_t> &counts)
{
    std::uint64_t total = 0;
    for (const auto &[code, count] : counts)
        total += count;
    return total;
}

Json::Value countsByName(const std::map<result_code, std::uint64_t> &counts)
{
    Json::Value result(Json::objectValue);
    for (const auto &[code, count] : counts)
        result[std::string(name(code))] = Json::UInt64(count);
    return result;
}

} // namespace

load_tally addUp(const std::vector<request_outcome> &outcomes)
{
    load_tally tally;
    std::map<class_name, std::vector<microseconds>> latencies;
    for (const request_outcome &each : outcomes) {
        class_tally &row = tally[each.workClass];
        ++row.sent;
        row.resent += each.sendings > 1 ? 1 : 0;
        row.mismatched += each.mismatched ? 1 : 0;
        switch (each.kind) {
        case outcome_kind::answered:
            ++row.answered;
            latencies[each.workClass].push_back(each.latency);
            break;
        case outcome_kind::refused:
            ++row.refused[each.code];
            break;
        case outcome_kind::unknown:
            ++row.unknown[each.code];
            break;
        }
    }
    for (auto &[workClass, list] : latencies) {
        std::sort(list.begin(), list.end());
        tally[workClass].p50 = percentile(list, 0.5);
        tally[workClass].p99 = percentile(list, 0.99);
    }
    return tally;
}

std::string asTable(const load_tally &tally)
{
    std::string result =
        fmt::format("{:<20}{:>8}{:>10}{:>9}{:>9}{:>8}{:>12}{:>9}{:>9}\n", "class", "sent",
                    "answered", "refused", "unknown", "resent", "mismatched", "p50 ms", "p99 ms");
    for (const auto &[workClass, row] : tally) {
        result +=
            fmt::format("{:<20}{:>8}{:>10}{:>9}{:>9}{:>8}{:>12}{:>9}{:>9}\n", workClass.text(),
                        row.sent, row.answered, sum(row.refused), sum(row.unknown), row.resent,
                        row.mismatched, row.p50.count(), row.p99.count());
        for (const auto &[code, count] : row.refused)
            result += fmt::format("    refused {:<30}{:>8}\n", name(code), count);
        for (const auto &[code, count] : row.unknown)
            result += fmt::format("    unknown {:<30}{:>8}\n", name(code), count);
    }
    return result;
}

Json::Value toJson(const load_tally &tally)
{
    Json::Value result(Json::objectValue);
    for (const auto &[workClass, row] : tally) {
        Json::Value &document = result[workClass.text()];
        document["sent"] = Json::UInt64(row.sent);
        document["answered"] = Json::UInt64(row.answered);
        document["mismatched"] = Json::UInt64(row.mismatched);
        document["resent"] = Json::UInt64(row.resent);
        document["refused"] = countsByName(row.refused);
        document["unknown"] = countsByName(row.unknown);
        document["p50Ms"] = Json::Int64(row.p50.count());
        document["p99Ms"] = Json::Int64(row.p99.count());
    }
    return result;
}

} // namespace kingcuptiller::stand_in
