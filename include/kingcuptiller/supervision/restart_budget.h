#pragma once

#include "kingcuptiller/values/time.h"

#include <deque>
#include <optional>

namespace kingcuptiller {

// How often a component may be restarted, and how soon.
struct restart_policy
{
    // More failures than this within `window` are escalated.
    unsigned maximumRestarts = 5;
    milliseconds window{30'000};
    // The delay doubles with each failure within the window.
    milliseconds firstDelay{100};
    milliseconds longestDelay{5'000};

    bool operator==(const restart_policy &) const = default;
};

// Decides after each failure of one component when to restart it.
//
//     if (const auto delay = budget.failed(now)) { restart at now + *delay } else { escalate }
class restart_budget
{
public:
    explicit restart_budget(const restart_policy &policy);

    // Records a failure at `now`. Returns the delay before the restart, or nothing when the limit
    // is reached. Failures that are a window old no longer count.
    [[nodiscard]] std::optional<milliseconds> failed(instant now);

private:
    restart_policy m_policy;
    std::deque<instant> m_failures;
};

} // namespace kingcuptiller
