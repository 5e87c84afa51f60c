#include "kingcuptiller/control/event_list.h"

#include "kingcuptiller/control/configuration_store.h"
#include "kingcuptiller/telemetry/log.h"

#include <algorithm>
#include <array>

namespace kingcuptiller {

namespace {

std::string describe(const entry_key &key)
{
    return key.host.text() + "#" + key.incarnation.text();
}

bool contains(const std::vector<stop_id> &all, const stop_id &wanted)
{
    return std::find(all.begin(), all.end(), wanted) != all.end();
}

} // namespace

void event_list::add(wall_time time, const std::string &kind, const std::string &detail)
{
    log_line(log_level::info, "control", kind).field("detail", detail);
    m_events.push_back({time, kind, detail});
    if (m_events.size() > keptEvents)
        m_events.pop_front();
}

void event_list::noteUpdate(const fleet_update &update, const fleet_registry &fleet, wall_time time)
{
    constexpr std::array stateEvents = {"entry_serving", "entry_leaving", "entry_released",
                                        "entry_replaced"};
    for (const auto &each : update.joined) {
        if (fleet.find(entry_key{each.host, each.incarnation}) == nullptr)
            add(time, "entry_joined", describe({each.host, each.incarnation}));
    }
    for (const auto &each : update.states)
        add(time, stateEvents.at(static_cast<std::size_t>(each.state)), describe(each.entry));
    for (const auto &each : update.retired) {
        const auto *record = fleet.find(each);
        if (record == nullptr)
            continue;
        const bool expected =
            record->state == entry_state::released || record->state == entry_state::replaced;
        add(time, expected ? "entry_left" : "entry_lost", describe(each));
    }
    for (const auto &each : update.upstreams) {
        const auto *record = fleet.find(each.id);
        if (each.leaving)
            add(time, "upstream_leaving", each.id.text());
        else if (record == nullptr || record->announcement.incarnation != each.incarnation
                 || record->state == upstream_state::removed)
            add(time, "upstream_joined", each.id.text());
    }
    for (const auto &each : update.removed) {
        const auto *record = fleet.find(each);
        if (record == nullptr)
            continue;
        const bool expected = record->state == upstream_state::leaving;
        add(time, expected ? "upstream_left" : "upstream_lost", each.text());
    }
}

void event_list::noteStops(const configuration &current, wall_time now)
{
    std::vector<stop_id> active;
    for (const auto &stop : current.stops) {
        if (!isActive(stop, now))
            continue;
        active.push_back(stop.id);
        if (!contains(m_activeStops, stop.id))
            add(now, "stop_started", stop.id.text() + " " + stop.subject);
    }
    for (const auto &each : m_activeStops) {
        if (!contains(active, each))
            add(now, "stop_ended", each.text());
    }
    m_activeStops = std::move(active);
}

} // namespace kingcuptiller
