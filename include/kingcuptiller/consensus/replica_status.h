#pragma once

#include "kingcuptiller/consensus/membership.h"
#include "kingcuptiller/storage/replica_identity.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <string>
#include <string_view>
#include <vector>

// The status and the events that a replica reports, for status pages and alerts.

namespace kingcuptiller {

enum class replica_role { follower, candidate, leader };

// Returns "follower", "candidate" or "leader".
[[nodiscard]] std::string_view name(replica_role role);

// The leader's view of another replica.
struct peer_status
{
    replica_identity identity;
    // False for a learner, which receives the log but does not vote yet.
    bool voter = false;
    // True when the peer responded within the last second.
    bool reachable = false;
    // True while the leader is sending a snapshot to the peer.
    bool receivingSnapshot = false;
    // The index of the last entry that the peer is known to have synced to disk.
    log_index matchIndex;

    auto operator<=>(const peer_status &) const = default;
};

// A replica's view of its own state, of the membership and, on the leader, of its peers.
struct replica_status
{
    replica_identity self;
    replica_role role = replica_role::follower;
    // False for a replica that is not part of the membership.
    bool voter = false;
    // True after a `superseded_notice`: another incarnation of this host has replaced this replica.
    // The owner must destroy the replica, call `replica_store::abandon` and start a new replica.
    bool superseded = false;
    // Empty when no leader is known.
    host_id leader;
    epoch_number term;
    // The commit index.
    log_index committed;
    // The index of the last entry in the log, committed or not.
    log_index lastIndex;
    membership members;
    // The other voters and the learners; empty unless this replica is the leader.
    std::vector<peer_status> peers;

    bool operator==(const replica_status &) const = default;
};

// An action or observation of a replica, for the event log. `kind` is a stable identifier, one of
// fleet_formed, leader_elected, leader_lost, replica_lost, replica_returned, replica_learning,
// replica_removed, replica_repaired, snapshot_installed, identity_superseded, data_folder_damaged.
struct replica_event
{
    instant time;
    std::string kind;
    // Details in text form, such as the host or the term.
    std::string detail;

    bool operator==(const replica_event &) const = default;
};

} // namespace kingcuptiller
