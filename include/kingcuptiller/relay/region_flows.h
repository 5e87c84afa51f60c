#pragma once

#include "kingcuptiller/telemetry/counters.h"
#include "kingcuptiller/values/identifiers.h"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace kingcuptiller {

// The number of attempts that one entry sent for one service to one region between two log
// lines.
// An attempt is one transmission of a request to an upstream.
struct region_request_counts
{
    service_name service;
    region_name region;
    // First attempts of requests.
    std::uint64_t firstAttempts = 0;
    // Later attempts of requests.
    std::uint64_t retryAttempts = 0;

    auto operator<=>(const region_request_counts &) const = default;
};

// Counts the attempts that an entry sends, by service and region: as the metric kct_relay_sendings,
// and for each interval of the log line region_flows. Not thread-safe.
class region_flows
{
public:
    explicit region_flows(counter_registry &registry)
        : m_registry(registry)
    {
    }

    // Counts an attempt; `isRetry` is true when an earlier attempt of the same request was sent.
    void sent(const service_name &service, const region_name &region, bool isRetry);

    // Returns the non-zero counts since the last call, ordered by service and region, and resets
    // them.
    [[nodiscard]] std::vector<region_request_counts> take();

private:
    struct region_counter
    {
        region_request_counts counts;
        counter *attempts = nullptr;
    };

    counter_registry &m_registry;
    std::map<service_name, std::map<region_name, region_counter>> m_flows;
};

} // namespace kingcuptiller
