#pragma once

#include "kingcuptiller/control/command.h"
#include "kingcuptiller/report/burn_report.h"

#include <map>
#include <vector>

namespace kingcuptiller {

// How the fleet has served its clients, from the counts in the entries' syncs. Lost with the
// leadership; a new leader starts counting with the second sync of each entry, because an entry's
// counts go back to its start.
class service_history
{
public:
    void note(const entry_key &entry, const std::vector<service_counts> &counts, wall_time now);
    // Forgets what an entry that is gone reported last.
    void forget(const entry_key &entry) { m_newest.erase(entry); }
    void clear();

    [[nodiscard]] burn_report report(const configuration &current,
                                     const std::vector<fleet_event> &events, const host_id &host,
                                     wall_time now) const
    {
        return m_tracker.report(current, events, host, true, now);
    }

private:
    burn_tracker m_tracker;
    std::map<entry_key, std::vector<service_counts>> m_newest;
};

} // namespace kingcuptiller
