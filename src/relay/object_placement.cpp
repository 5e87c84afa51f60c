#include "kingcuptiller/relay/object_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace kingcuptiller {

namespace {

// Ranks of at most this many objects are cached. The limit bounds memory, because clients choose
// the names of objects.
constexpr std::size_t maxCachedObjects = 4'096;
// The number of enumerators of `proximity`.
constexpr std::size_t proximityCount = 3;

std::uint64_t hashOf(const std::string &object, const std::string &name)
{
    const std::uint64_t seed = XXH3_64bits(object.data(), object.size());
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

} // namespace

void object_placement::setMembers(std::vector<member> members)
{
    if (members == m_members)
        return;
    m_members = std::move(members);
    m_ranks.clear();
}

std::vector<std::size_t> object_placement::computeRanks(const std::string &object) const
{
    using ranked_member = std::tuple<proximity, std::uint64_t, std::size_t>;
    std::vector<ranked_member> order;
    order.reserve(m_members.size());
    for (std::size_t index = 0; index < m_members.size(); ++index)
        order.emplace_back(m_members[index].proximityToEntry,
                           hashOf(object, m_members[index].id.text()), index);
    std::sort(order.begin(), order.end());
    std::array<std::size_t, proximityCount> next{};
    std::vector<std::size_t> ranks(m_members.size());
    for (const auto &[proximityToEntry, hash, index] : order)
        ranks[index] = next.at(static_cast<std::size_t>(proximityToEntry))++;
    return ranks;
}

const std::vector<std::size_t> &object_placement::ranksOf(const std::string &object)
{
    const auto known = m_ranks.find(object);
    if (known != m_ranks.end())
        return known->second;
    if (m_ranks.size() >= maxCachedObjects)
        m_ranks.clear();
    return m_ranks[object] = computeRanks(object);
}

} // namespace kingcuptiller
