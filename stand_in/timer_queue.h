#pragma once

#include "kingcuptiller/values/time.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <queue>
#include <thread>
#include <vector>

namespace kingcuptiller::stand_in {

// Runs functions at given times in one thread of its own, in the order of their times. The
// functions must not block. Any thread may add to it.
class timer_queue
{
public:
    timer_queue();
    // Drops what has not begun and waits for the function that runs.
    ~timer_queue();
    timer_queue(const timer_queue &) = delete;
    timer_queue &operator=(const timer_queue &) = delete;

    void at(instant time, std::function<void()> action);

private:
    struct event
    {
        instant time;
        // Keeps the order of functions of the same time.
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const event &other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::priority_queue<event> m_events;
    std::uint64_t m_added = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace kingcuptiller::stand_in
