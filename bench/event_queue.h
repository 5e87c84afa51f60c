#pragma once

#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace kingcuptiller::bench {

// Simulated time: events run in the order of their times, and in the order in which they were
// added where the times are equal, so that a run depends on its seed only.
class event_queue
{
public:
    [[nodiscard]] instant now() const { return m_now; }

    void after(microseconds delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_added++, std::move(action)});
    }

    // Runs all events before `end`.
    void runUntil(instant end)
    {
        while (!m_events.empty() && m_events.top().time < end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.time;
            next.action();
        }
        m_now = end;
    }

private:
    struct event
    {
        instant time;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const event &other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    instant m_now = instant(std::chrono::seconds(1000));
    std::uint64_t m_added = 0;
    std::priority_queue<event> m_events;
};

} // namespace kingcuptiller::bench
