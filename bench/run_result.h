#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/result_code.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// What one run of the model measured.

namespace kingcuptiller::bench {

struct class_result
{
    class_name workClass;
    std::uint64_t sent = 0;
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::map<result_code, std::uint64_t> refused;
    // Requests in the hand of an entry that was lost.
    std::uint64_t lost = 0;
    // From the client's sending to its receipt of the answer, sorted.
    std::vector<microseconds> latencies;

    [[nodiscard]] double latencyMs(double quantile) const;
    [[nodiscard]] double inTimeShare() const;
};

struct region_result
{
    std::string region;
    // The largest share of the region's slots of one class that was in use at a sample.
    double peakUse = 0;
};

struct run_result
{
    std::vector<class_result> classes;
    std::vector<region_result> regions;
    // The largest number of requests at an upstream as a share of its slots.
    double peakAtUpstream = 0;
    // Seconds in which some upstream had more requests than slots.
    std::uint64_t secondsOverSlots = 0;
    double peakShift = 0;
    std::uint64_t shiftViolations = 0;
    // From the start of a planned stop to the last request sent into its scope; negative without.
    double drainSeconds = -1;
    // Requests to the stopped scope that were in flight at the start of the stop and failed.
    std::uint64_t drainFailures = 0;
    std::uint64_t attempts = 0;
};

} // namespace kingcuptiller::bench
