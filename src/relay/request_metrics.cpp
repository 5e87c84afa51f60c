#include "kingcuptiller/relay/request_metrics.h"

namespace kingcuptiller {

void request_metrics::recordRequestEnd(const service_name &service, std::string_view outcome,
                                       std::string_view reason, milliseconds elapsed)
{
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        const latency_histogram responseLatency(m_registry, "kct_relay_answer",
                                                {{"service", service.text()}});
        found = m_services.emplace(service, service_metrics{responseLatency, {}}).first;
    }
    service_metrics &metrics = found->second;
    auto reasons = metrics.requestsByOutcome.find(outcome);
    if (reasons == metrics.requestsByOutcome.end())
        reasons = metrics.requestsByOutcome.emplace(outcome, reason_counters()).first;
    auto requests = reasons->second.find(reason);
    if (requests == reasons->second.end()) {
        counter &newCounter = m_registry.get("kct_relay_requests",
                                             {{"service", service.text()},
                                              {"outcome", std::string(outcome)},
                                              {"reason", std::string(reason)}});
        requests = reasons->second.emplace(reason, &newCounter).first;
    }
    requests->second->add();
    if (outcome == "answered")
        metrics.responseLatency.record(elapsed);
}

} // namespace kingcuptiller
