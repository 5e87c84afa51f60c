#pragma once

#include "bench/event_queue.h"
#include "kingcuptiller/protocol/messages.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace kingcuptiller::bench {

// How an upstream answered an attempt.
enum class upstream_answer { ran, shed };

// One attempt as the upstream sees it.
struct upstream_job
{
    std::uint64_t number = 0;
    // Service time of a warm upstream of normal speed.
    microseconds service{0};
    std::function<void(upstream_answer)> done;
};

// A simulated upstream: `slots` requests run at once, as many again wait, and the rest are shed.
// A cold one is slower until it has served some requests.
class model_upstream
{
public:
    model_upstream(event_queue &events, upstream_announcement announcement, double slowFactor);

    void arrive(upstream_job job);
    // Gives up an attempt that runs or waits; its `done` is not called any more.
    void cancel(std::uint64_t number);

    // The host is gone: nothing is answered any more.
    void die();
    // A new process without a cache takes over; requests of the old one are still answered.
    void restartCold();

    [[nodiscard]] bool alive() const { return m_alive; }
    [[nodiscard]] const upstream_announcement &announcement() const { return m_announcement; }
    [[nodiscard]] std::size_t present() const { return m_running.size() + m_waiting.size(); }
    [[nodiscard]] double load() const;

private:
    void start(upstream_job job);
    void end(std::uint64_t number);
    void startWaiting();

    event_queue &m_events;
    upstream_announcement m_announcement;
    double m_slowFactor;
    bool m_alive = true;
    double m_cold = 0;
    std::map<std::uint64_t, std::function<void(upstream_answer)>> m_running;
    std::deque<upstream_job> m_waiting;
};

} // namespace kingcuptiller::bench
