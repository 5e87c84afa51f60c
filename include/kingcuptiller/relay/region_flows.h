#pragma once

#include "kingcuptiller/telemetry/counters.h"
#include "kingcuptiller/values/identifiers.h"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace kingcuptiller {

// Requests of one service that one entry sent to one region since the last report.
struct region_request_counts
{
    service_name service;
    region_name region;
    // Requests sent for the first time.
    std::uint64_t firstAttempts = 0;
    // Requests sent once more.
    std::uint64_t retryAttempts = 0;

    auto operator<=>(const region_request_counts &) const = default;
};

// Counts where an entry sends its requests: kct_relay_sendings by service and region, and the flows
// of each interval for the log line region_flows. One thread owns it.
class region_flows
{
public:
    explicit region_flows(counter_registry &registry)
        : m_registry(registry)
    {
    }

    // A request is being sent; `retryAttempts` says that it had been sent before.
    void sent(const service_name &service, const region_name &region, bool isRetry);

    // What was counted since the last call, by service and region.
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
