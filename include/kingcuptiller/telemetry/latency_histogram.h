#pragma once

#include "kingcuptiller/telemetry/counters.h"
#include "kingcuptiller/values/time.h"

#include <array>
#include <cstddef>
#include <string>

namespace kingcuptiller {

// How long something took, as counters "<name>_ms_bucket" with cumulative limits `le` in
// milliseconds, "<name>_ms_sum" and "<name>_ms_count". Any thread may record.
class latency_histogram
{
public:
    // The counters stay in `registry`, which must outlive this object.
    latency_histogram(counter_registry &registry, const std::string &name,
                      const counter_labels &labels);

    void record(milliseconds elapsed);

private:
    // From a fast answer within a zone to the longest time limits of clients.
    static constexpr std::array<int, 10> limitsMs{10,  50,    100,   250,   500,
                                                  750, 1'000, 2'000, 4'000, 8'000};

    // The last one is without a limit.
    std::array<counter *, limitsMs.size() + 1> m_buckets{};
    counter &m_sum;
    counter &m_count;
};

} // namespace kingcuptiller
