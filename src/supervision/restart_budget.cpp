#include "kingcuptiller/supervision/restart_budget.h"

#include <algorithm>

namespace kingcuptiller {

restart_budget::restart_budget(const restart_policy &policy)
    : m_policy(policy)
{
}

std::optional<milliseconds> restart_budget::failed(instant now)
{
    while (!m_failures.empty() && m_failures.front() + m_policy.window <= now)
        m_failures.pop_front();
    m_failures.push_back(now);
    if (m_failures.size() > m_policy.maximumRestarts)
        return std::nullopt;
    milliseconds delay = m_policy.firstDelay;
    for (std::size_t i = 1; i < m_failures.size() && delay < m_policy.longestDelay; ++i)
        delay *= 2;
    return std::min(delay, m_policy.longestDelay);
}

} // namespace kingcuptiller
