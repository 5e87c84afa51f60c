#pragma once

#include "kingcuptiller/telemetry/counters.h"
#include "kingcuptiller/telemetry/latency_histogram.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace kingcuptiller {

// Counts how requests end: kct_relay_requests by service, outcome and reason, and the latency of
// answers by service. Each counter is looked up once. One thread owns it.
class request_metrics
{
public:
    explicit request_metrics(counter_registry &registry)
        : m_registry(registry)
    {
    }

    // `outcome` and `reason` are those of the log line request_ended.
    void recordRequestEnd(const service_name &service, std::string_view outcome,
                          std::string_view reason, milliseconds elapsed);

private:
    // By reason, for one outcome.
    using reason_counters = std::map<std::string, counter *, std::less<>>;
    struct service_metrics
    {
        latency_histogram responseLatency;
        std::map<std::string, reason_counters, std::less<>> requestsByOutcome;
    };

    counter_registry &m_registry;
    std::map<service_name, service_metrics> m_services;
};

} // namespace kingcuptiller
