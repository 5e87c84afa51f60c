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
    // False for a replica that is a learner or has not joined a fleet (Raft cluster) yet.
    bool voter = false;
    // True after a `superseded_notice`: another incarnation of this host, with another data folder,
    // has replaced this replica. The owner must destroy the replica, call `replica_store::abandon`
    // and start a new replica.
    bool superseded = false;
    // Empty when no leader is known.
    host_id leader;
    epoch_number term;
    // The commit index.
    log_index committed;
    // The index of the last entry in the log, committed or not.
    log_index lastIndex;
    // The membership in effect, committed or not.
    membership members;
    // The other voters and the learners; empty unless this replica is the leader.
    std::vector<peer_status> peers;

    bool operator==(const replica_status &) const = default;
};

// An action or observation of a replica, for operators. `kind` is a stable identifier:
// - fleet_formed: this replica has formed a new fleet (Raft cluster);
// - leader_elected, leader_lost: this replica has become leader, or is leader no longer;
// - replica_lost, replica_returned: a peer is silent, or responds again;
// - replica_learning: the leader has added a learner;
// - replica_removed: the leader has started the removal of a silent voter;
// - replica_repaired: an added voter holds its own membership entry, which is committed;
// - snapshot_installed: this replica has installed a snapshot of the leader;
// - identity_superseded: another incarnation of this host has replaced this replica;
// - data_folder_damaged: the data folder was found damaged at the start.
struct replica_event
{
    // The time of the replica's monotonic clock.
    instant time;
    std::string kind;
    // Details in text form, such as the host or the term.
    std::string detail;

    bool operator==(const replica_event &) const = default;
};

} // namespace kingcuptiller
