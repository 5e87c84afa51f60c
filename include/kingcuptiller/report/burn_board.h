#pragma once

#include "kingcuptiller/report/burn_report.h"

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuptiller {

// A rendered report and its media type.
struct rendered_report
{
    std::string contentType;
    std::string body;

    bool operator==(const rendered_report &) const = default;
};

// The burn report of one process: turns the cumulative counts of one or many senders into windows,
// keeps the newest events and renders the page at /report. Thread-safe.
//
//     board.update("entry-1/4f2a", request.service, now); // with each sync
//     board.note({now, "lease_lost", ""});
//     return board.render("html", current, host, false, now);
class burn_board
{
public:
    // The first counts of a sender are its baseline and are not counted: a new leader cannot know
    // in which window the requests before its time fell.
    void update(const std::string &sender, const std::vector<service_counts> &counts,
                wall_time now);

    // Keeps the newest 200 events.
    void note(const fleet_event &event);

    // `format` is "json", "text" or "html"; anything else gives "html". `events` are shown beside
    // those that were noted here.
    [[nodiscard]] rendered_report render(std::string_view format, const configuration &current,
                                         const std::vector<fleet_event> &events,
                                         const host_id &host, bool wholeFleet, wall_time now) const;

private:
    struct sender_counts
    {
        std::vector<service_counts> counts;
        wall_time updated;
    };

    void forgetSilentSenders(wall_time now);

    mutable std::mutex m_mutex;
    burn_tracker m_tracker;
    std::map<std::string, sender_counts> m_senders;
    std::deque<fleet_event> m_events;
    wall_time m_cleaned;
};

} // namespace kingcuptiller
