#include "stand_in/upstream_model.h"

#include <algorithm>

namespace kingcuptiller::stand_in {

upstream_model::upstream_model(const upstream_options &options, instant start)
    : m_options(options)
    , m_start(start)
    , m_engine(options.seed)
{
}

microseconds upstream_model::nextServiceTime(instant now)
{
    // Not std::uniform_real_distribution, whose values differ between standard libraries.
    const double drawn = static_cast<double>(m_engine() >> 11U) * 0x1.0p-53;
    double factor = 1 - m_options.spread + 2 * m_options.spread * drawn;
    const auto warm = std::chrono::duration<double>(now - m_start);
    const auto whole = std::chrono::duration<double>(m_options.coldStart);
    if (warm < whole)
        factor *= 1 + (m_options.coldFactor - 1) * (1 - warm / whole);
    const auto mean = std::chrono::duration<double, std::micro>(m_options.serviceTime);
    return std::chrono::duration_cast<microseconds>(mean * factor);
}

double upstream_model::reportLoad(double truth, instant now)
{
    m_loads.emplace_back(now, truth);
    while (m_loads.size() > 1 && m_loads[1].first <= now - m_options.loadLag)
        m_loads.pop_front();
    const bool oldEnough = m_loads.front().first <= now - m_options.loadLag;
    return m_options.loadLie.value_or(oldEnough ? m_loads.front().second : 0);
}

} // namespace kingcuptiller::stand_in
