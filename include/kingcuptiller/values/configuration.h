#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

// What operators can say: classes of work with their targets, and planned stops. There is no way
// to express a weight or an address.

namespace kingcuptiller {

// Urgency of a class of work. 1 is the most urgent; larger numbers can wait longer.
using rank_number = number_identifier<struct rank_number_tag>;

// What a class of work promises to its clients.
struct service_target
{
    // Answers later than this count as missed.
    milliseconds latency{500};
    // Share of requests that must be answered in time, in thousandths, 0 to 1000.
    std::uint32_t successPerMille = 990;
    // What an answer in time is worth beside the other classes; at least 1.
    std::uint32_t worth = 1;

    auto operator<=>(const service_target &) const = default;
};

struct work_class
{
    class_name name;
    rank_number rank{2};
    // An idempotent request may be sent more than once; any other runs at most once.
    bool idempotent = false;
    service_target target;
    // The longest deadline that a request of this class may carry, and its default.
    milliseconds maximumDeadline{5000};

    auto operator<=>(const work_class &) const = default;
};

enum class stop_scope { upstream, host, zone, region };

// A stop that operators have announced. Within [start, end) nothing in scope receives new work.
struct planned_stop
{
    stop_id id;
    stop_scope scope = stop_scope::upstream;
    // Upstream id, host id, availability zone as "region/zone", or region, by scope.
    std::string subject;
    wall_time start;
    wall_time end;

    auto operator<=>(const planned_stop &) const = default;
};

// The operators' configuration at one revision. Classes and stops are sorted by name and id.
struct configuration
{
    revision_number revision;
    std::vector<work_class> classes;
    std::vector<planned_stop> stops;

    bool operator==(const configuration &) const = default;

    // The class called `wanted`, or nullptr. The pointer is valid as long as this value.
    [[nodiscard]] const work_class *find(const class_name &wanted) const;
};

} // namespace kingcuptiller
