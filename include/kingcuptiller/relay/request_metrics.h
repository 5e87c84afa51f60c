#pragma once

#include "kingcuptiller/telemetry/counters.h"
#include "kingcuptiller/telemetry/latency_histogram.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <map>
#include <string>
#include <string_view>
#include <tuple>

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
    void ended(const service_name &service, std::string_view outcome, std::string_view reason,
               milliseconds elapsed);

private:
    using ending = std::tuple<service_name, std::string, std::string>;

    counter_registry &m_registry;
    std::map<ending, counter *, std::less<>> m_endings;
    std::map<service_name, latency_histogram> m_answers;
};

} // namespace kingcuptiller
