#include "kingcuptiller/control/service_history.h"

#include "kingcuptiller/report/service_recorder.h"

namespace kingcuptiller {

void service_history::note(const entry_key &entry, const std::vector<service_counts> &counts,
                           wall_time now)
{
    const auto former = m_newest.find(entry);
    if (former == m_newest.end()) {
        m_newest.emplace(entry, counts);
        return;
    }
    m_tracker.add(countsSince(former->second, counts), now);
    former->second = counts;
}

void service_history::clear()
{
    m_tracker = burn_tracker();
    m_newest.clear();
}

} // namespace kingcuptiller
