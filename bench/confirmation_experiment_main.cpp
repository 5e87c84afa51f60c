// Prints, for today's 7 nodes and for 4,400, how long it takes and how many messages it costs to
// know that a change is in force everywhere, flat and aggregated by region. No options; the seed is
// fixed.

#include "bench/confirmation_experiment.h"

#include <fmt/format.h>

#include <cstdlib>
#include <string>
#include <vector>

using namespace kingcuptiller::experiments;

namespace {

struct named_setup
{
    std::string name;
    confirmation_setup setup;
};

void printResult(const std::string &name, const char *way, const confirmation_result &result)
{
    fmt::print("{:<28} {:<11} {:>9.0f} {:>8.0f} {:>8.0f} {:>13.0f} {:>12.0f} {:>12.0f}\n", name,
               way, result.medianMs, result.p99Ms, result.longestMs, result.leaderMessagesPerSecond,
               result.fleetMessagesPerSecond, result.confirmationsPerChange);
}

} // namespace

int main()
{
    const std::vector<named_setup> setups = {
        {"7 nodes, 200 ms", {7, 3, 200}},
        {"4,400 nodes, 200 ms", {4400, 22, 200}},
        {"4,400 nodes, 500 ms", {4400, 22, 500}},
        {"4,400 nodes, 1,000 ms", {4400, 22, 1000}},
    };
    fmt::print("{:<28} {:<11} {:>9} {:>8} {:>8} {:>13} {:>12} {:>12}\n", "setup (sync interval)",
               "way", "median ms", "p99 ms", "max ms", "to leader /s", "in fleet /s", "per change");
    for (const named_setup &each : setups) {
        printResult(each.name, "flat", confirmFlat(each.setup));
        printResult(each.name, "aggregated", confirmAggregated(each.setup));
    }
    return EXIT_SUCCESS;
}
