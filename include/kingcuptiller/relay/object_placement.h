#pragma once

#include "kingcuptiller/values/identifiers.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuptiller {

// How far an upstream is from an entry.
enum class proximity : std::uint8_t { same_zone, same_region, other_region };

// Orders the upstreams of one service for each object. An upstream remembers a limited number of
// objects, so entries that spread each object over all upstreams would make these forget
// everything. Entries that prefer an object's first upstreams, and take later ones only as far as
// these are busy, keep the objects of each upstream few.
//
// The order follows from the names of the object and of the upstreams alone (rendezvous hashing),
// so entries agree on it without a word, also after a restart. Upstreams of the same nearness have
// an order of their own each: what an entry pays for distance is not the order's matter.
//
//     placement.setMembers(members);
//     placement.ranksOf("object-7")[member]; // 0 for the first upstream of its nearness
//
// One thread owns it.
class object_placement
{
public:
    struct member
    {
        upstream_id id;
        proximity proximityToEntry = proximity::same_zone;

        auto operator<=>(const member &) const = default;
    };

    // Takes over the upstreams of the service; the order gives their numbers.
    void setMembers(std::vector<member> members);

    // The rank of each upstream, by its number, among those of its nearness.
    [[nodiscard]] const std::vector<std::size_t> &ranksOf(const std::string &object);

private:
    [[nodiscard]] std::vector<std::size_t> computeRanks(const std::string &object) const;

    std::vector<member> m_members;
    std::unordered_map<std::string, std::vector<std::size_t>> m_ranks;
};

} // namespace kingcuptiller
