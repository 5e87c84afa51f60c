#include "kingcuptiller/relay/region_flows.h"

namespace kingcuptiller {

void region_flows::sent(const service_name &service, const region_name &region, bool isRetry)
{
    const auto [position, isNew] = m_flows[service].try_emplace(region);
    region_counter &record = position->second;
    if (isNew) {
        record.counts = {service, region, 0, 0};
        record.attempts = &m_registry.get("kct_relay_sendings",
                                          {{"service", service.text()}, {"region", region.text()}});
    }
    record.attempts->add();
    ++(isRetry ? record.counts.retryAttempts : record.counts.firstAttempts);
}

std::vector<region_request_counts> region_flows::take()
{
    std::vector<region_request_counts> result;
    for (auto &[service, regions] : m_flows) {
        for (auto &[region, record] : regions) {
            if (record.counts.firstAttempts + record.counts.retryAttempts == 0)
                continue;
            result.push_back(record.counts);
            record.counts = {service, region, 0, 0};
        }
    }
    return result;
}

} // namespace kingcuptiller
