#include "stand_in/timer_queue.h"

#include "kingcuptiller/transport/system_clock.h"

namespace kingcuptiller::stand_in {

timer_queue::timer_queue()
    : m_thread([this] { run(); })
{
}

timer_queue::~timer_queue()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void timer_queue::at(instant time, std::function<void()> action)
{
    {
        const std::lock_guard lock(m_mutex);
        m_events.push({time, m_added++, std::move(action)});
    }
    m_changed.notify_all();
}

void timer_queue::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_events.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const microseconds left = m_events.top().time - readInstant();
        if (left > microseconds(0)) {
            m_changed.wait_for(lock, left);
            continue;
        }
        const std::function<void()> action = m_events.top().action;
        m_events.pop();
        lock.unlock();
        action();
        lock.lock();
    }
}

} // namespace kingcuptiller::stand_in
