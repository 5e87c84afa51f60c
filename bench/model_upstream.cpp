#include "bench/model_upstream.h"

#include <algorithm>

namespace kingcuptiller::bench {

namespace {

// An empty cache makes requests five times as slow; each served request fills a bit of it.
constexpr double coldExtra = 4;
constexpr double coldKeptByEachRequest = 0.98;

} // namespace

model_upstream::model_upstream(event_queue &events, upstream_announcement announcement,
                               double slowFactor)
    : m_events(events)
    , m_announcement(std::move(announcement))
    , m_slowFactor(slowFactor)
{
}

void model_upstream::arrive(upstream_job job)
{
    if (m_running.size() < m_announcement.slots) {
        start(std::move(job));
    } else if (m_waiting.size() < m_announcement.slots) {
        m_waiting.push_back(std::move(job));
    } else {
        job.done(upstream_answer::shed);
    }
}

void model_upstream::start(upstream_job job)
{
    const double factor = m_slowFactor * (1 + m_cold);
    m_cold *= coldKeptByEachRequest;
    const auto time = static_cast<double>(job.service.count()) * factor;
    m_running.emplace(job.number, std::move(job.done));
    m_events.after(microseconds(static_cast<std::int64_t>(time)),
                   [this, number = job.number] { end(number); });
}

void model_upstream::end(std::uint64_t number)
{
    const auto found = m_running.find(number);
    if (!m_alive || found == m_running.end())
        return;
    const auto done = std::move(found->second);
    m_running.erase(found);
    done(upstream_answer::ran);
    startWaiting();
}

void model_upstream::startWaiting()
{
    while (m_running.size() < m_announcement.slots && !m_waiting.empty()) {
        upstream_job next = std::move(m_waiting.front());
        m_waiting.pop_front();
        start(std::move(next));
    }
}

void model_upstream::cancel(std::uint64_t number)
{
    m_running.erase(number);
    std::erase_if(m_waiting, [number](const auto &job) { return job.number == number; });
    startWaiting();
}

void model_upstream::die()
{
    m_alive = false;
    m_running.clear();
    m_waiting.clear();
}

void model_upstream::restartCold()
{
    m_announcement.incarnation = incarnation_id(m_announcement.incarnation.text() + "+");
    m_cold = coldExtra;
}

double model_upstream::load() const
{
    return std::min(1.0, double(m_running.size()) / m_announcement.slots);
}

} // namespace kingcuptiller::bench
