#pragma once

#include "kingcuptiller/control/command.h"
#include "kingcuptiller/control/fleet_registry.h"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace kingcuptiller {

// The newest events of the fleet for `show_state`. Each control host notes what it applies, so the
// list survives a change of leader, but not a restart.
class event_list
{
public:
    static constexpr std::size_t keptEvents = 500;

    // Also writes a log line.
    void add(wall_time time, const std::string &kind, const std::string &detail);

    // Notes what `update` is about to change in `fleet`.
    void noteUpdate(const fleet_update &update, const fleet_registry &fleet, wall_time time);

    // Notes the stops that started or ended since the last call.
    void noteStops(const configuration &current, wall_time now);

    [[nodiscard]] std::vector<fleet_event> list() const
    {
        return {m_events.begin(), m_events.end()};
    }

private:
    std::deque<fleet_event> m_events;
    std::vector<stop_id> m_activeStops;
};

} // namespace kingcuptiller
