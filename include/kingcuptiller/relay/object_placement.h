#pragma once

#include "kingcuptiller/values/identifiers.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuptiller {

// The location of an upstream relative to an entry, by region and availability zone.
enum class proximity : std::uint8_t { same_zone, same_region, other_region };

// Ranks the upstreams of one service for each object. An upstream caches a limited number of
// objects, so requests for one object should go to few upstreams: spreading each object over all
// upstreams would evict objects from all caches. Callers prefer the upstreams of low rank and use
// others only when those are busy.
//
// The ranks depend on the names of the object and of the upstreams only (rendezvous hashing), so
// that all entries compute the same ranks without communication, also after a restart. Upstreams of
// each proximity are ranked separately; the cost of distance is left to the caller.
//
//     placement.setMembers(members);
//     placement.ranksOf("object-7")[index]; // 0 for the first upstream of its proximity
//
// Not thread-safe.
class object_placement
{
public:
    // An upstream of the service.
    struct member
    {
        upstream_id id;
        proximity proximityToEntry = proximity::same_zone;

        auto operator<=>(const member &) const = default;
    };

    // Replaces the upstreams of the service. An upstream's position in `members` is its index in
    // the result of `ranksOf`.
    void setMembers(std::vector<member> members);

    // Returns the rank of each upstream, starting at 0, among those of the same proximity. Valid
    // until the next call.
    [[nodiscard]] const std::vector<std::size_t> &ranksOf(const std::string &object);

private:
    [[nodiscard]] std::vector<std::size_t> computeRanks(const std::string &object) const;

    std::vector<member> m_members;
    // Caches computed ranks by object.
    std::unordered_map<std::string, std::vector<std::size_t>> m_ranks;
};

} // namespace kingcuptiller
