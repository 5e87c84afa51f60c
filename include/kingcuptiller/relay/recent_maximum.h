#pragma once

#include <algorithm>
#include <chrono>

namespace kingcuptiller {

// The longest of the durations that were recorded lately: in the present period or the one before.
// Periods follow each other without a gap. Not thread-safe.
class recent_maximum
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using duration = std::chrono::steady_clock::duration;

    explicit recent_maximum(duration period)
        : m_period(period)
    {
    }

    void record(duration value, time_point now)
    {
        advanceTo(now);
        m_present = std::max(m_present, value);
    }

    // 0 if nothing was recorded lately.
    [[nodiscard]] duration at(time_point now)
    {
        advanceTo(now);
        return std::max(m_present, m_previous);
    }

private:
    void advanceTo(time_point now)
    {
        if (now < m_periodEnd)
            return;
        m_previous = now < m_periodEnd + m_period ? m_present : duration(0);
        m_present = duration(0);
        m_periodEnd = now + m_period;
    }

    duration m_period;
    time_point m_periodEnd;
    duration m_present{0};
    duration m_previous{0};
};

} // namespace kingcuptiller
