#include "kingcuptiller/relay/object_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace kingcuptiller {

namespace {

// Ranks of at most this many objects are cached. The limit bounds memory, because clients choose
// the names of objects.
constexpr std::size_t maxCachedObjects = 4'096;

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

std::vector<object_placement::rank> object_placement::computeRanks(const std::string &object,
                                                                   placement_scope scope) const
{
    // The group that is ranked together, the hash and the index of a member.
    using ranked_member = std::tuple<std::pair<region_name, bool>, std::uint64_t, std::size_t>;
    std::vector<ranked_member> order;
    order.reserve(m_members.size());
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const member &each = m_members[index];
        const bool isApart =
            scope == placement_scope::zone && each.proximityToEntry == proximity::same_zone;
        order.emplace_back(std::pair(each.region, isApart), hashOf(object, each.id.text()), index);
    }
    std::sort(order.begin(), order.end());
    std::vector<rank> ranks(m_members.size());
    rank next = 0;
    for (std::size_t position = 0; position < order.size(); ++position) {
        const bool beginsGroup =
            position == 0 || std::get<0>(order[position]) != std::get<0>(order[position - 1]);
        next = beginsGroup ? rank(0) : std::min(static_cast<rank>(next + 1), maxRank);
        ranks[std::get<2>(order[position])] = next;
    }
    return ranks;
}

const std::vector<object_placement::rank> &object_placement::ranksOf(const std::string &object,
                                                                     placement_scope scope)
{
    auto &known = m_ranks[scope];
    const auto found = known.find(object);
    if (found != known.end())
        return found->second;
    if (known.size() >= maxCachedObjects)
        known.clear();
    return known[object] = computeRanks(object, scope);
}

} // namespace kingcuptiller
