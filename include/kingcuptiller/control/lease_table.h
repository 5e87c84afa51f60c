#pragma once

#include "kingcuptiller/control/control_state.h"
#include "kingcuptiller/control/stop_review.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace kingcuptiller {

struct lease_options
{
    // How long an entry may serve after the sending of its newest answered sync.
    milliseconds entryLease{2500};
    // For how long clients may use a look-up answer.
    milliseconds lookupLifetime{5000};
    // An upstream cannot ask for a longer silence than this.
    milliseconds longestAnnouncementLifetime{10'000};

    bool operator==(const lease_options &) const = default;
};

// The present time on both clocks. Leases are counted on the monotonic one, which never goes back;
// planned stops follow the wall time.
struct lease_moment
{
    instant now;
    wall_time wall;
};

// What the leader knows of the fleet beyond the replicated state: the entries' leases, what they
// have applied, their demand, and when upstreams were heard of. Lost with the leadership.
//
//     table.startLeading(state, now);                  // when it has applied all of its log
//     response = table.sync(request, state, moment);      // only while the leader's own lease
//     holds fleet_update update = table.collect(state, moment); // then propose it, if it is not
//     empty
//
// The state must not change between a `collect` and the end of what it proposed. `collect` compares
// soft state and replicated state afresh each time, so a lost proposal is simply made again.
//
// A lease is counted here from the receipt of a sync and by the entry from its sending, so it ends
// here no earlier. A new leader knows of no leases that its predecessor gave, so it assumes that
// every registered entry got one just before.
class lease_table
{
public:
    explicit lease_table(const lease_options &options = {});

    void startLeading(const control_state &state, instant now);
    void stopLeading();

    // Takes in a sync and answers it. An entry that is not registered, that was replaced or that is
    // being retired gets the lease 0; the first is registered by the next `collect`. Throws `error`
    // with `message_malformed` for identifiers that no command can hold, and ignores announcements
    // that have some.
    entry_sync_response sync(const entry_sync_request &request, const control_state &state,
                             lease_moment moment);

    // What the replicated state should learn: entries that joined, leave or are to be retired,
    // upstreams that came, changed or fell silent, and confirmed shares. `now` must not be earlier
    // than in former calls.
    fleet_update collect(const control_state &state, lease_moment moment);
    // The limits to change, from the demand of the entries that hold a lease.
    [[nodiscard]] std::vector<share_limit> planLimits(const control_state &state,
                                                      lease_moment moment) const;

    // True when every entry that may still serve has applied `revision`.
    [[nodiscard]] bool isInForce(revision_number revision, instant now) const;
    [[nodiscard]] bool holdsLease(const entry_key &key, instant now) const;
    [[nodiscard]] demand_table demand(instant now) const;

    [[nodiscard]] std::vector<entry_report> reportEntries(const control_state &state,
                                                          instant now) const;
    [[nodiscard]] std::vector<upstream_report> reportUpstreams(const control_state &state,
                                                               instant now) const;
    // Counts of the entries that hold a lease or did so lately.
    [[nodiscard]] std::vector<service_counts> service() const;

private:
    struct known_entry
    {
        // The newest sync; empty until there was one under this leader.
        std::optional<entry_sync_request> newest;
        instant leaseEnd;
        revision_number appliedRevision;
        assignment_sequence appliedAssignment;
        // Since when all others know that this entry leaves.
        std::optional<instant> leavingInForce;
        // A retirement was proposed: no lease until it has been applied.
        bool retiring = false;
    };
    struct known_upstream
    {
        upstream_announcement announcement;
        instant heard;
        // Withdrawn at this time; announcements of the same process are late ones.
        std::optional<instant> withdrawn;
    };

    void takeAnnouncements(const entry_sync_request &request, const control_state &state,
                           instant now);
    bool mayRenew(const known_entry &entry, const entry_record *record) const;
    void collectEntries(const control_state &state, lease_moment moment, fleet_update &update);
    void collectState(const entry_record &record, known_entry &entry, const control_state &state,
                      lease_moment moment, fleet_update &update);
    void collectUpstreams(const control_state &state, instant now, fleet_update &update);
    bool isLeavingInForce(const entry_record &record, const entry_key &key, instant now) const;
    [[nodiscard]] bool isSilent(const known_upstream &upstream, instant now) const;
    std::vector<entry_listing> listEntries(const control_state &state, instant now) const;
    std::vector<upstream_load> listLoads(instant now) const;
    std::vector<region_flow> sumFlows(instant now) const;

    lease_options m_options;
    std::map<entry_key, known_entry> m_entries;
    std::map<upstream_id, known_upstream> m_upstreams;
};

// The upstreams that `key` may use, as its next assignment.
[[nodiscard]] std::vector<upstream_assignment>
assignmentOf(const entry_key &key, const control_state &state, wall_time now);

} // namespace kingcuptiller
