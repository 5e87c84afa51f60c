#pragma once

#include "kingcuptiller/values/identifiers.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuptiller {

// The location of an upstream relative to an entry, by region and availability zone.
enum class proximity : std::uint8_t { same_zone, same_region, other_region };

// Which upstreams near an entry are ranked together for an object.
enum class placement_scope : std::uint8_t {
    // All of a region. Each object has one preferred upstream in the region, whichever entry asks.
    region,
    // Those of the entry's zone, and separately the others of its region. Each object has a
    // preferred upstream in each zone, so that no bytes cross zones.
    zone,
};

// Ranks the upstreams of one service for each object. An upstream caches a limited number of
// objects, so requests for one object should go to few upstreams: spreading each object over all
// upstreams would evict objects from all caches. Callers prefer the upstreams of low rank and use
// others only when those are busy.
//
// The ranks depend on the names of the object and of the upstreams only (rendezvous hashing), so
// that all entries compute the same ranks without communication, also after a restart. The
// upstreams of each region are ranked separately; the cost of distance is left to the caller.
//
//     placement.setMembers(members);
//     placement.ranksOf("object-7", placement_scope::region)[index]; // 0 for the preferred one
//
// Not thread-safe.
class object_placement
{
public:
    // A rank among the upstreams that are ranked together; the highest one stands for all further
    // ranks.
    using rank = std::uint8_t;
    static constexpr rank maxRank = 15;

    // An upstream of the service.
    struct member
    {
        upstream_id id;
        region_name region;
        proximity proximityToEntry = proximity::same_zone;

        auto operator<=>(const member &) const = default;
    };

    // Replaces the upstreams of the service. An upstream's position in `members` is its index in
    // the result of `ranksOf`.
    void setMembers(std::vector<member> members);

    // Returns the rank of each upstream, starting at 0 and at most `maxRank`. Valid until the next
    // call.
    [[nodiscard]] const std::vector<rank> &ranksOf(const std::string &object,
                                                   placement_scope scope);

private:
    [[nodiscard]] std::vector<rank> computeRanks(const std::string &object,
                                                 placement_scope scope) const;

    std::vector<member> m_members;
    // Caches computed ranks by scope and object.
    std::map<placement_scope, std::unordered_map<std::string, std::vector<rank>>> m_ranks;
};

} // namespace kingcuptiller
