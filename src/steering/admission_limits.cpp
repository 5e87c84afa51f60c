#include "kingcuptiller/steering/admission_limits.h"

#include "kingcuptiller/steering/rank_share.h"

#include <algorithm>
#include <cmath>

namespace kingcuptiller {

namespace {

// Share of the concurrency limit that is guaranteed to the classes: half of it in equal parts, half
// in proportion to their worth.
constexpr double guaranteedShare = 0.6;

std::uint32_t excessOverGuarantee(std::uint32_t used, std::uint32_t guaranteed)
{
    return used > guaranteed ? used - guaranteed : 0;
}

} // namespace

admission_limits::admission_limits(std::uint32_t capacity)
    : m_capacity(capacity)
{
}

void admission_limits::setClasses(const std::vector<admission_class> &classes)
{
    m_allotments.resize(std::max(m_allotments.size(), classes.size()));
    double count = 0;
    double worth = 0;
    for (const admission_class &each : classes) {
        count += each.active ? 1 : 0;
        worth += each.active ? each.worth : 0;
    }
    std::uint32_t sharedCapacity = m_capacity;
    m_sharedUsed = 0;
    for (std::size_t index = 0; index < m_allotments.size(); ++index) {
        class_allotment &allotment = m_allotments[index];
        allotment.guaranteed = 0;
        if (index < classes.size() && classes[index].active) {
            const double portion =
                0.5 / count + (worth > 0 ? 0.5 * classes[index].worth / worth : 0);
            allotment.guaranteed =
                static_cast<std::uint32_t>(guaranteedShare * m_capacity * portion);
        }
        sharedCapacity -= allotment.guaranteed;
        m_sharedUsed += excessOverGuarantee(allotment.used, allotment.guaranteed);
    }
    for (std::size_t index = 0; index < m_allotments.size(); ++index) {
        const rank_number rank = index < classes.size() ? classes[index].rank : rank_number(3);
        m_allotments[index].sharedLimit =
            std::floor(rankShareOfSharedConcurrency(rank) * sharedCapacity);
    }
}

bool admission_limits::mayTake(class_index workClass) const
{
    const class_allotment &allotment = m_allotments.at(workClass);
    return allotment.used < allotment.guaranteed || m_sharedUsed + 1 <= allotment.sharedLimit;
}

void admission_limits::take(class_index workClass)
{
    class_allotment &allotment = m_allotments.at(workClass);
    if (allotment.used >= allotment.guaranteed)
        ++m_sharedUsed;
    ++allotment.used;
}

void admission_limits::release(class_index workClass)
{
    class_allotment &allotment = m_allotments.at(workClass);
    if (allotment.used == 0)
        return;
    if (allotment.used > allotment.guaranteed)
        --m_sharedUsed;
    --allotment.used;
}

std::uint32_t admission_limits::used(class_index workClass) const
{
    return m_allotments.at(workClass).used;
}

std::uint32_t admission_limits::guaranteed(class_index workClass) const
{
    return m_allotments.at(workClass).guaranteed;
}

} // namespace kingcuptiller
