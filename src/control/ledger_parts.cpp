#include "ledger_parts.h"

namespace kingcuptiller::internal {

namespace {

constexpr std::size_t guaranteedPercent = 60;

std::size_t countOf(const std::map<class_name, std::size_t> &counts, const class_name &name)
{
    const auto found = counts.find(name);
    return found == counts.end() ? 0 : found->second;
}

std::size_t sharedPercent(rank_number rank)
{
    if (rank.number() <= 1)
        return 100;
    return rank.number() == 2 ? 75 : 50;
}

} // namespace

ledger_parts::ledger_parts(const configuration &classes, std::size_t capacity)
{
    std::size_t number = 0;
    std::size_t worth = 0;
    for (const auto &each : classes.classes) {
        if (each.idempotent)
            continue;
        ++number;
        worth += each.target.worth;
    }
    const std::size_t half = capacity * guaranteedPercent / 200;
    for (const auto &each : classes.classes) {
        if (!each.idempotent && worth > 0)
            m_guaranteed[each.name] = half / number + half * each.target.worth / worth;
    }
    m_shared = capacity - 2 * half;
}

std::size_t ledger_parts::guaranteed(const class_name &name) const
{
    return countOf(m_guaranteed, name);
}

bool ledger_parts::hasRoom(const work_class &wanted,
                           const std::map<class_name, std::size_t> &counts) const
{
    if (countOf(counts, wanted.name) < guaranteed(wanted.name))
        return true;
    std::size_t shared = 0;
    for (const auto &[name, number] : counts)
        shared += number > guaranteed(name) ? number - guaranteed(name) : 0;
    return shared < m_shared * sharedPercent(wanted.rank) / 100;
}

} // namespace kingcuptiller::internal
