#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace kingcuptiller {

// What all entries together may send beyond the first sending of each request, to one service in
// any window: `share` of its requests plus `slack`.
struct retry_limits
{
    double share = 0.2;
    double slack = 64;
    milliseconds window{10'000};

    auto operator<=>(const retry_limits &) const = default;
};

// One entry's part of the fleet's retry budget. It keeps to its part without asking anyone, so the
// sum holds while entries are cut off from each other.
class shared_retry_budget
{
public:
    explicit shared_retry_budget(const retry_limits &limits)
        : m_limits(limits)
    {
    }

    // Entries that share the slack.
    void setEntries(std::size_t entries) { m_entries = std::max<std::size_t>(entries, 1); }

    void request(const service_name &service, instant now)
    {
        account &used = refilled(service, now);
        used.level = std::min(used.level + m_limits.share * safety, reserve());
    }

    // Takes one repeat out of the budget; false when none is left.
    [[nodiscard]] bool spend(const service_name &service, instant now)
    {
        account &used = refilled(service, now);
        if (used.level < 1)
            return false;
        used.level -= 1;
        return true;
    }

private:
    struct account
    {
        double level = 0;
        instant refilledAt;
    };

    // A window may begin with a full reserve and refill meanwhile, so each is half of the slack.
    static constexpr double safety = 0.8;
    static constexpr double smallestReserve = 1;

    [[nodiscard]] double reserve() const
    {
        return std::max(m_limits.slack / 2 / static_cast<double>(m_entries) * safety,
                        smallestReserve);
    }

    account &refilled(const service_name &service, instant now)
    {
        auto [position, added] = m_accounts.try_emplace(service, account{reserve(), now});
        account &used = position->second;
        const double windows = std::chrono::duration<double>(now - used.refilledAt)
            / std::chrono::duration<double>(m_limits.window);
        used.level = std::min(used.level + std::max(windows, 0.0) * reserve(), reserve());
        used.refilledAt = now;
        return used;
    }

    retry_limits m_limits;
    std::size_t m_entries = 1;
    std::map<service_name, account> m_accounts;
};

} // namespace kingcuptiller
