#include "kingcuptiller/relay/request_metrics.h"

namespace kingcuptiller {

void request_metrics::ended(const service_name &service, std::string_view outcome,
                            std::string_view reason, milliseconds elapsed)
{
    const auto known = m_endings.find(std::tuple(std::cref(service), outcome, reason));
    if (known != m_endings.end()) {
        known->second->add();
    } else {
        counter &made = m_registry.get("kct_relay_requests",
                                       {{"service", service.text()},
                                        {"outcome", std::string(outcome)},
                                        {"reason", std::string(reason)}});
        made.add();
        m_endings.emplace(ending(service, outcome, reason), &made);
    }
    if (outcome != "answered")
        return;
    m_answers
        .try_emplace(service, m_registry, "kct_relay_answer",
                     counter_labels{{"service", service.text()}})
        .first->second.record(elapsed);
}

} // namespace kingcuptiller
