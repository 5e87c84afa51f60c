#include "kingcuptiller/relay/region_flows.h"

namespace kingcuptiller {

void region_flows::sent(const service_name &service, const region_name &region, bool repeated)
{
    const auto [place, isNew] = m_flows[service].try_emplace(region);
    flow_record &record = place->second;
    if (isNew) {
        record.present = {service, region, 0, 0};
        record.sendings = &m_registry.get("kct_relay_sendings",
                                          {{"service", service.text()}, {"region", region.text()}});
    }
    record.sendings->add();
    ++(repeated ? record.present.repeated : record.present.first);
}

std::vector<region_flow> region_flows::take()
{
    std::vector<region_flow> result;
    for (auto &[service, regions] : m_flows) {
        for (auto &[region, record] : regions) {
            if (record.present.first + record.present.repeated == 0)
                continue;
            result.push_back(record.present);
            record.present = {service, region, 0, 0};
        }
    }
    return result;
}

} // namespace kingcuptiller
