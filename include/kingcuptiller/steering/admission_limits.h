#pragma once

#include "kingcuptiller/steering/steering_index.h"
#include "kingcuptiller/values/configuration.h"

#include <cstdint>
#include <vector>

namespace kingcuptiller {

// Parameters of one class of work that determine how many requests of the class an entry may have
// in flight.
struct admission_class
{
    rank_number rank{2};
    // Weight of the class, relative to the other classes.
    std::uint32_t worth = 1;
    // False when the class is no longer configured. Such a class has no guaranteed part; requests
    // that it still has in flight count against the shared part.
    bool active = true;

    auto operator<=>(const admission_class &) const = default;
};

// Divides a limit on concurrent requests among the classes of work. 60% of the limit is guaranteed
// to classes: half of that in equal parts and half in proportion to `worth`. The rest is shared,
// and classes of less urgent rank may use less of it. A flood of requests of one class therefore
// never uses the guaranteed part of another class.
//
// Usage: call `mayTake` before a request is sent, then `take`; call `release` when the request has
// ended.
class admission_limits
{
public:
    explicit admission_limits(std::uint32_t capacity);

    // Replaces the parameters of all classes; the position in the vector is the class index.
    // Requests in flight remain counted.
    void setClasses(const std::vector<admission_class> &classes);

    [[nodiscard]] bool mayTake(class_index workClass) const;
    void take(class_index workClass);
    void release(class_index workClass);

    [[nodiscard]] std::uint32_t used(class_index workClass) const;
    [[nodiscard]] std::uint32_t guaranteed(class_index workClass) const;

private:
    struct class_allotment
    {
        std::uint32_t used = 0;
        std::uint32_t guaranteed = 0;
        // Maximum number of shared slots in use by all classes together after this class takes one
        // of them; a whole number.
        double sharedLimit = 0;
    };

    std::uint32_t m_capacity;
    std::uint32_t m_sharedUsed = 0;
    std::vector<class_allotment> m_allotments;
};

} // namespace kingcuptiller
