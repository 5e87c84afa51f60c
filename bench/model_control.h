#pragma once

#include "bench/model_settings.h"
#include "kingcuptiller/control/share_planner.h"

#include <map>
#include <optional>
#include <vector>

namespace kingcuptiller::bench {

// The part of control that steering depends on: it registers entries and upstreams, plans slot
// shares with the project's own share planner, and notices what has gone silent. Commits are
// instantaneous here; the delays of the network are added by the caller.
class model_control
{
public:
    // What an entry learns from a sync.
    struct sync_answer
    {
        assignment_sequence sequence;
        std::vector<upstream_assignment> assignments;
        std::size_t entriesInRegion = 1;
    };

    model_control(const configuration &classes, model_policy policy)
        : m_configuration(classes)
        , m_policy(policy)
    {
    }

    void addEntry(const entry_identity &identity, instant now);
    // Registers an upstream or renews it.
    void announce(const upstream_announcement &announcement, instant now);
    void addStop(const planned_stop &stop) { m_configuration.stops.push_back(stop); }

    sync_answer sync(const entry_identity &from, assignment_sequence applied,
                     const std::vector<upstream_usage> &usage,
                     const std::vector<class_demand> &demand, instant now);

    // Drops what is silent and moves slot shares; to be called a few times a second.
    void review(instant now);

    // Entries for look-up answers.
    [[nodiscard]] std::vector<entry_listing> listings() const;

private:
    [[nodiscard]] std::uint32_t limitFor(const upstream_record &record, std::size_t position,
                                         const entry_key &entry) const;
    void apply(const fleet_update &update, instant now);

    configuration m_configuration;
    model_policy m_policy;
    fleet_registry m_fleet;
    demand_table m_demand;
    std::map<entry_key, instant> m_lastSync;
    std::map<upstream_id, instant> m_lastAnnounced;
    // Upstreams in the order of their first announcement, which static shares depend on.
    std::map<upstream_id, std::size_t> m_positions;
    // The entries at the start, between which static shares are divided.
    std::vector<entry_key> m_founders;
};

} // namespace kingcuptiller::bench
