#include "kingcuptiller/telemetry/latency_histogram.h"

#include <algorithm>

namespace kingcuptiller {

latency_histogram::latency_histogram(counter_registry &registry, const std::string &name,
                                     const counter_labels &labels)
    : m_sum(registry.get(name + "_ms_sum", labels))
    , m_count(registry.get(name + "_ms_count", labels))
{
    for (std::size_t place = 0; place < m_buckets.size(); ++place) {
        counter_labels bucket = labels;
        bucket["le"] = place < limitsMs.size() ? std::to_string(limitsMs.at(place)) : "+Inf";
        m_buckets.at(place) = &registry.get(name + "_ms_bucket", bucket);
    }
}

void latency_histogram::record(milliseconds elapsed)
{
    m_sum.add(static_cast<std::uint64_t>(std::max<milliseconds::rep>(elapsed.count(), 0)));
    m_count.add();
    for (std::size_t place = 0; place < m_buckets.size(); ++place) {
        if (place == limitsMs.size() || elapsed.count() <= limitsMs.at(place))
            m_buckets.at(place)->add();
    }
}

} // namespace kingcuptiller
