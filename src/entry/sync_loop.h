#pragma once

#include "kingcuptiller/entry/control_link.h"

#include "entry_state.h"

#include <functional>
#include <stop_token>

namespace kingcuptiller::internal {

// The entry's side of entry_sync: reports to control, applies what it answers and so renews the
// lease. One thread.
class sync_loop
{
public:
    sync_loop(entry_state &state, control_link link, std::function<instant()> now,
              std::function<wall_time()> wallNow);

    // Syncs every 200 ms until a stop is requested.
    void run(const std::stop_token &stop);

    // One sync. Announcements of a sync that fails or is stale are sent again with the next one.
    void syncOnce();

private:
    void apply(const entry_sync_request &request, const entry_sync_response &response,
               instant sentAt);
    void logState(instant now);

    entry_state &m_state;
    control_link m_link;
    std::function<instant()> m_now;
    std::function<wall_time()> m_wallNow;
    std::optional<result_code> m_loggedRefusal;
    counter &m_syncs;
    counter &m_failures;
    counter &m_stale;
};

} // namespace kingcuptiller::internal
