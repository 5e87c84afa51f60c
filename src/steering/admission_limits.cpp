#include "kingcuptiller/steering/admission_limits.h"

#include "kingcuptiller/steering/rank_share.h"

#include <algorithm>
#include <cmath>

namespace kingcuptiller {

namespace {

constexpr double guaranteedShare = 0.6;

std::uint32_t above(std::uint32_t used, std::uint32_t guaranteed)
{
    return used > guaranteed ? used - guaranteed : 0;
}

} // namespace

admission_limits::admission_limits(std::uint32_t places)
    : m_places(places)
{
}

void admission_limits::setClasses(const std::vector<admission_share> &classes)
{
    m_parts.resize(std::max(m_parts.size(), classes.size()));
    double count = 0;
    double worth = 0;
    for (const admission_share &each : classes) {
        count += each.active ? 1 : 0;
        worth += each.active ? each.worth : 0;
    }
    std::uint32_t sharedPlaces = m_places;
    m_sharedUsed = 0;
    for (std::size_t index = 0; index < m_parts.size(); ++index) {
        part &to = m_parts[index];
        to.guaranteed = 0;
        if (index < classes.size() && classes[index].active) {
            const double portion =
                0.5 / count + (worth > 0 ? 0.5 * classes[index].worth / worth : 0);
            to.guaranteed = static_cast<std::uint32_t>(guaranteedShare * m_places * portion);
        }
        sharedPlaces -= to.guaranteed;
        m_sharedUsed += above(to.used, to.guaranteed);
    }
    for (std::size_t index = 0; index < m_parts.size(); ++index) {
        const rank_number rank = index < classes.size() ? classes[index].rank : rank_number(3);
        m_parts[index].sharedLimit = std::floor(sharedConcurrencyShare(rank) * sharedPlaces);
    }
}

bool admission_limits::mayTake(class_index workClass) const
{
    const part &of = m_parts.at(workClass);
    return of.used < of.guaranteed || m_sharedUsed + 1 <= of.sharedLimit;
}

void admission_limits::take(class_index workClass)
{
    part &of = m_parts.at(workClass);
    if (of.used >= of.guaranteed)
        ++m_sharedUsed;
    ++of.used;
}

void admission_limits::release(class_index workClass)
{
    part &of = m_parts.at(workClass);
    if (of.used == 0)
        return;
    if (of.used > of.guaranteed)
        --m_sharedUsed;
    --of.used;
}

std::uint32_t admission_limits::used(class_index workClass) const
{
    return m_parts.at(workClass).used;
}

std::uint32_t admission_limits::guaranteed(class_index workClass) const
{
    return m_parts.at(workClass).guaranteed;
}

} // namespace kingcuptiller
