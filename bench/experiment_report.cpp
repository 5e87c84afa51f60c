#include "bench/experiment_report.h"

#include <fmt/format.h>

#include <ostream>

namespace kingcuptiller::bench {

namespace {

std::string refusals(const class_result &of)
{
    std::string text;
    for (const auto &[code, count] : of.refused)
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", name(code), count);
    return text.empty() ? "-" : text;
}

// The latency beside that of round robin; 0 when there is nothing to compare with.
double ratioOf(const policy_results &results, std::size_t index, double quantile, double latency)
{
    const auto base = results.find(model_policy::round_robin);
    const double other =
        base == results.end() ? 0 : base->second.classes[index].latencyMs(quantile);
    return other > 0 ? latency / other : 0;
}

std::string regionUse(const run_result &result)
{
    std::string text;
    for (const region_result &each : result.regions)
        text += fmt::format(" {} {:.2f}", each.region, each.peakUse);
    return text;
}

std::string jsonRefusals(const class_result &of)
{
    std::string text;
    for (const auto &[code, count] : of.refused)
        text += fmt::format("{}\"{}\":{}", text.empty() ? "" : ",", name(code), count);
    return text;
}

std::string jsonRegions(const run_result &result)
{
    std::string text;
    for (const region_result &each : result.regions)
        text += fmt::format("{}\"{}\":{:.3f}", text.empty() ? "" : ",", each.region, each.peakUse);
    return text;
}

} // namespace

void printTable(std::ostream &to, const run_settings &settings, const policy_results &results)
{
    to << fmt::format("\n== {} {} (seed {}, {} s)\n", settings.user.name, settings.plan.name,
                      settings.seed, settings.length.count());
    to << fmt::format("{:18} {:10} {:>8} {:>8} {:>8} {:>7} {:>6} {:>8} {:>8} {:>8} {:>7}  {}\n",
                      "policy", "class", "sent", "in time", "share", "late", "lost", "p50 ms",
                      "p99 ms", "p99.9 ms", "p99/rr", "refused");
    for (const auto &[policy, result] : results) {
        for (std::size_t index = 0; index < result.classes.size(); ++index) {
            const class_result &of = result.classes[index];
            const double p99 = of.latencyMs(0.99);
            to << fmt::format("{:18} {:10} {:8} {:8} {:8.5f} {:7} {:6} {:8.1f} {:8.1f} {:8.1f} "
                              "{:7.3f}  {}\n",
                              policyName(policy), of.workClass.text(), of.sent, of.inTime,
                              of.inTimeShare(), of.late, of.lost, of.latencyMs(0.5), p99,
                              of.latencyMs(0.999), ratioOf(results, index, 0.99, p99),
                              refusals(of));
        }
        to << fmt::format("{:18} peak use{}; most at an upstream {:.2f} of its slots, {} s over; "
                          "peak shift {:.3f}, {} intervals over the cap; drain {:.2f} s, {} cut; "
                          "{} attempts\n",
                          policyName(policy), regionUse(result), result.peakAtUpstream,
                          result.secondsOverSlots, result.peakShift, result.shiftViolations,
                          result.drainSeconds, result.drainFailures, result.attempts);
    }
}

void printJson(std::ostream &to, const run_settings &settings, const policy_results &results)
{
    for (const auto &[policy, result] : results) {
        for (std::size_t index = 0; index < result.classes.size(); ++index) {
            const class_result &of = result.classes[index];
            const double p99 = of.latencyMs(0.99);
            to << fmt::format(
                R"({{"user":"{}","experiment":"{}","seed":{},"seconds":{},"policy":"{}",)"
                R"("class":"{}","sent":{},"inTime":{},"late":{},"lost":{},"p50Ms":{:.1f},)"
                R"("p99Ms":{:.1f},"p999Ms":{:.1f},"p99ToRoundRobin":{:.4f},"refused":{{{}}},)",
                settings.user.name, settings.plan.name, settings.seed, settings.length.count(),
                policyName(policy), of.workClass.text(), of.sent, of.inTime, of.late, of.lost,
                of.latencyMs(0.5), p99, of.latencyMs(0.999), ratioOf(results, index, 0.99, p99),
                jsonRefusals(of));
            to << fmt::format(R"("peakUse":{{{}}},"peakAtUpstream":{:.3f},"secondsOverSlots":{},)"
                              R"("peakShift":{:.4f},"shiftViolations":{},"drainSeconds":{:.3f},)"
                              R"("drainFailures":{},"attempts":{}}})"
                              "\n",
                              jsonRegions(result), result.peakAtUpstream, result.secondsOverSlots,
                              result.peakShift, result.shiftViolations, result.drainSeconds,
                              result.drainFailures, result.attempts);
        }
    }
}

} // namespace kingcuptiller::bench
