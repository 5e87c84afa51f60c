#pragma once

#include "kingcuptiller/steering/steering_index.h"
#include "kingcuptiller/values/configuration.h"

#include <cstdint>
#include <vector>

namespace kingcuptiller {

// A class as the division of a resource sees it.
struct admission_class
{
    rank_number rank{2};
    std::uint32_t worth = 1;
    // A class that is no longer configured has no guaranteed part; what it still holds counts as
    // shared.
    bool active = true;

    auto operator<=>(const admission_class &) const = default;
};

// Divides a number of places (the entry's concurrency) among the classes. 60% of the places are
// guaranteed, half of them in equal parts and half by worth; the rest is shared, and less urgent
// ranks may use less of it. So a flood of one class never takes the guaranteed part of another.
//
// Use: `mayTake` before a request is sent, then `take`; `release` when it has ended.
class admission_limits
{
public:
    explicit admission_limits(std::uint32_t capacity);

    // Sets the classes by position; places that are held stay held.
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
        // The most shared places that may be in use for this class to take one more.
        double sharedLimit = 0;
    };

    std::uint32_t m_capacity;
    std::uint32_t m_sharedUsed = 0;
    std::vector<class_allotment> m_allotments;
};

} // namespace kingcuptiller
