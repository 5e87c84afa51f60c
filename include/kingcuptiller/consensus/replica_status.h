#pragma once

#include "kingcuptiller/consensus/membership.h"
#include "kingcuptiller/storage/replica_identity.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <string>
#include <string_view>
#include <vector>

// What a replica tells about itself, for reports and alarms.

namespace kingcuptiller {

enum class replica_role { follower, candidate, leader };

// "follower", "candidate" or "leader".
[[nodiscard]] std::string_view name(replica_role role);

// Another replica as the leader sees it.
struct peer_status
{
    replica_identity identity;
    // False for a learner, which is being caught up and does not vote.
    bool voter = false;
    // It answered within the last second.
    bool reachable = false;
    // A snapshot is being sent to it.
    bool receivingSnapshot = false;
    // The last entry that it is known to hold, synced.
    log_index matchIndex;

    auto operator<=>(const peer_status &) const = default;
};

struct replica_status
{
    replica_identity self;
    replica_role role = replica_role::follower;
    // False for a replica that is in no membership yet.
    bool voter = false;
    // The leader's notice arrived that another incarnation has taken this replica's place. The
    // owner ends the replica, calls `replica_store::abandon` and starts a new one.
    bool superseded = false;
    // Empty when no leader is known.
    host_id leader;
    epoch_number term;
    log_index committed;
    log_index lastIndex;
    membership members;
    // All other replicas; only a leader lists any.
    std::vector<peer_status> peers;

    bool operator==(const replica_status &) const = default;
};

// Something that a replica did or noticed. `kind` is short and stable: fleet_formed,
// leader_elected, leader_lost, replica_lost, replica_returned, replica_learning, replica_removed,
// replica_repaired, snapshot_installed, identity_superseded, data_folder_damaged.
struct replica_event
{
    instant time;
    std::string kind;
    std::string detail;

    bool operator==(const replica_event &) const = default;
};

} // namespace kingcuptiller
