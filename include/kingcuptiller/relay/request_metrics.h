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

// Counts finished requests in kct_relay_requests by service, outcome and reason, and records the
// latency of answered requests by service. Caches the counters, so that each is looked up in the
// registry only once. Not thread-safe.
class request_metrics
{
public:
    explicit request_metrics(counter_registry &registry)
        : m_registry(registry)
    {
    }

    // Records one finished request. `outcome` and `reason` have the values of these fields in the
    // log event request_ended. `elapsed`, the time since the request arrived, is recorded only for
    // the outcome "answered", which excludes failures of the upstream.
    void recordRequestEnd(const service_name &service, std::string_view outcome,
                          std::string_view reason, milliseconds elapsed);

private:
    // Counters of one outcome, by reason.
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
