#include "kingcuptiller/report/burn_board.h"

#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/report/service_recorder.h"

#include <algorithm>

namespace kingcuptiller {

namespace {

constexpr std::size_t maximumEvents = 200;
constexpr std::chrono::minutes cleaningInterval{1};

} // namespace

void burn_board::update(const std::string &sender, const std::vector<service_counts> &counts,
                        wall_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto [known, added] = m_senders.try_emplace(sender);
    if (!added)
        m_tracker.add(countsSince(known->second.counts, counts), now);
    known->second = {counts, now};
    forgetSilentSenders(now);
}

void burn_board::forgetSilentSenders(wall_time now)
{
    if (now - m_cleaned < cleaningInterval)
        return;
    m_cleaned = now;
    std::erase_if(m_senders, [now](const auto &each) {
        return now - each.second.updated > burn_tracker::longWindowLength;
    });
}

void burn_board::note(const fleet_event &event)
{
    const std::lock_guard lock(m_mutex);
    m_events.push_back(event);
    if (m_events.size() > maximumEvents)
        m_events.pop_front();
}

rendered_report burn_board::render(std::string_view format, const configuration &current,
                                   const std::vector<fleet_event> &events, const host_id &host,
                                   bool wholeFleet, wall_time now) const
{
    burn_report report;
    {
        const std::lock_guard lock(m_mutex);
        std::vector<fleet_event> shown = events;
        shown.insert(shown.end(), m_events.begin(), m_events.end());
        std::stable_sort(shown.begin(), shown.end(), [](const auto &left, const auto &right) {
            return left.time > right.time;
        });
        report = m_tracker.report(current, shown, host, wholeFleet, now);
    }
    if (format == "json")
        return {"application/json", writeJson(reportToJson(report))};
    if (format == "text")
        return {"text/plain; charset=utf-8", toTable(report)};
    return {"text/html; charset=utf-8", toHtml(report)};
}

} // namespace kingcuptiller
