#include "kingcuptiller/relay/request_metrics.h"

namespace kingcuptiller {

void request_metrics::recordRequestEnd(const service_name &service, std::string_view outcome,
                                       std::string_view reason, milliseconds elapsed)
{
    auto known = m_services.find(service);
    if (known == m_services.end()) {
        const latency_histogram responseLatency(m_registry, "kct_relay_answer",
                                                {{"service", service.text()}});
        known = m_services.emplace(service, service_metrics{responseLatency, {}}).first;
    }
    service_metrics &metrics = known->second;
    auto reasons = metrics.requestsByOutcome.find(outcome);
    if (reasons == metrics.requestsByOutcome.end())
        reasons = metrics.requestsByOutcome.emplace(outcome, reason_counters()).first;
    auto requests = reasons->second.find(reason);
    if (requests == reasons->second.end()) {
        counter &made = m_registry.get("kct_relay_requests",
                                       {{"service", service.text()},
                                        {"outcome", std::string(outcome)},
                                        {"reason", std::string(reason)}});
        requests = reasons->second.emplace(reason, &made).first;
    }
    requests->second->add();
    if (outcome == "answered")
        metrics.responseLatency.record(elapsed);
}

} // namespace kingcuptiller
