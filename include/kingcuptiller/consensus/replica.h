#pragma once

#include "kingcuptiller/consensus/membership.h"
#include "kingcuptiller/consensus/peer_message.h"
#include "kingcuptiller/consensus/replica_status.h"
#include "kingcuptiller/storage/replica_store.h"
#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuptiller {

struct replica_settings
{
    // The control hosts that form a new fleet (Raft cluster). If `maximumVoters` is 0, these are
    // all control hosts, including this one; otherwise, further hosts may join the fleet later.
    std::vector<host_id> hosts;
    // When not 0, hosts that are not in `hosts` may become voters too: while there are fewer voters
    // than this number, or as a replacement for a voter that has been silent for
    // `replacementDelay`. When 0, only the hosts in `hosts` may vote.
    std::size_t maximumVoters = 0;
    // The interval between heartbeats.
    milliseconds heartbeatInterval{100};
    // A replica that has not heard from a leader for a random time between these two limits starts
    // an election. The minimum is also how long a replica refuses to vote after it has started or
    // heard from a leader.
    milliseconds minimumElectionTimeout{500};
    milliseconds maximumElectionTimeout{900};
    // Subtracted from the leader's lease because the clocks of hosts may run at different speeds.
    milliseconds clockDriftAllowance{50};
    // A voter that has not responded to the leader for this long is silent: the leader reports it
    // as lost and may replace it.
    milliseconds replacementDelay{2000};
    // The log is compacted when, since the last snapshot, it has grown by more than this number of
    // entries and by more bytes than the size of the last snapshot.
    std::size_t compactionThresholdEntries = 1000;
    // The number of entries that compaction retains although the snapshot includes them, so that
    // replicas that lag slightly need no snapshot transfer.
    std::size_t trailingEntries = 500;
    // The maximum JSON size of the entries of one `append_request`, in bytes. An entry that is
    // larger is sent in a request of its own. This setting must not exceed
    // `maximumAppendJsonBytes`.
    std::size_t maximumBatchJsonBytes = maximumAppendJsonBytes;
    // The maximum size of one `snapshot_chunk` before its base64 encoding.
    std::size_t snapshotChunkBytes = 256 * std::size_t{1024};
    // `propose` refuses commands while the uncommitted entries are larger than this.
    std::size_t maximumUncommittedBytes = 32 * std::size_t{1024} * 1024;
};

// Callbacks into the owner of a replica: the object that drives the replica and holds the state to
// which committed commands are applied.
struct replica_hooks
{
    // Serializes the owner's state after it has applied all entries that `takeCommitted` returned.
    std::function<std::string()> takeSnapshot;
    // Replaces the owner's state with a snapshot that `takeSnapshot` returned on this or another
    // replica.
    std::function<void(const std::string &state)> restoreSnapshot;
    // Returns a random number, uniformly distributed over all 64-bit values, for election timeouts.
    std::function<std::uint64_t()> random;
};

// A command that is committed and ready to be applied.
struct committed_entry
{
    log_index index;
    epoch_number term;
    std::string command;

    bool operator==(const committed_entry &) const = default;
};

// One replica of a log replicated with the Raft algorithm. The class uses no threads, sockets or
// clocks. Its owner calls it from a single thread as follows:
//
//     replica.receive(message, now);      // for each message of another replica
//     replica.tick(now);                  // at least every 10 ms
//     index = replica.propose(text, now); // on the leader, any number of times
//     for (message : replica.takeOutgoing()) send(message); // syncs all proposals first
//     for (entry : replica.takeCommitted()) apply(entry);
//
// The owner must apply all entries that `takeCommitted` returned before it calls the replica again,
// because `tick` may request a snapshot of the owner's state. A proposal is committed when
// `takeCommitted` returns an entry with the same index and term; a different term at that index
// means that another entry has replaced the proposal.
//
// `now` is the time of a monotonic clock that also counts while the host is suspended; a time
// before the latest one is treated as the latest. All calls may throw `error` with `disk_failed`;
// the owner must then destroy this replica and reopen its data folder.
class replica
{
public:
    // Restores the owner's state from the stored snapshot, if there is one.
    replica(replica_settings settings, replica_hooks hooks, replica_store &store, instant now);

    void tick(instant now);
    void receive(const peer_message &message, instant now);

    // Adds a control host to which this replica sends join requests while it is not a voter. It
    // does not change which hosts form a new fleet; those are always `replica_settings::hosts`.
    void addJoinTarget(const host_id &host);

    // Appends a command to the log and returns the index of its entry. Returns nullopt when this
    // replica is not the leader and while the uncommitted entries exceed `maximumUncommittedBytes`.
    // Throws `error` with `message_malformed` when the command is not UTF-8, and with
    // `message_too_large` when it does not fit into one message.
    [[nodiscard]] std::optional<log_index> propose(const std::string &command, instant now);

    // Syncs all appended entries to disk, then returns and removes the messages to send.
    [[nodiscard]] std::vector<peer_message> takeOutgoing();

    // Returns the commands that were committed since the last call, in log order.
    [[nodiscard]] std::vector<committed_entry> takeCommitted();

    // Whether this replica holds the leader lease at `now`: no newer leader can have been elected,
    // and `takeCommitted` has returned all entries that earlier leaders committed. Call it with the
    // current time immediately before responding to a client that relies on the lease.
    [[nodiscard]] bool hasLease(instant now) const;
    // Whether the owner's state is up to date: it includes all entries that were committed before
    // the present leader was elected, and this replica received a message from that leader within
    // the minimum election timeout. After the replica starts, this is false until the leader has
    // told it which entries of the log are committed, even if the log holds all of them.
    [[nodiscard]] bool isCurrent(instant now) const;
    // The end of the leader lease. If this replica is not the leader, the time is in the past.
    [[nodiscard]] instant leaseEnd() const;

    [[nodiscard]] replica_status status() const;
    // Returns and removes the events since the last call. Only the latest 1000 are kept.
    [[nodiscard]] std::vector<replica_event> takeEvents();

private:
    // A snapshot that the leader is sending to a peer.
    struct snapshot_transfer
    {
        std::shared_ptr<const stored_snapshot> snapshot;
        // The start of the chunk that was sent last, in bytes.
        std::uint64_t offset = 0;
        // When that chunk was sent.
        instant lastSentAt;
    };

    // The leader's view of another replica.
    struct peer_progress
    {
        bool voter = false;
        // Whether the peer is silent (no response for `replacementDelay`) and `replica_lost` has
        // been reported.
        bool silenceReported = false;
        // The next entry to send, and the last entry known to be synced on the peer, as in Raft.
        log_index nextIndex;
        log_index matchIndex;
        // The number of sent appends with entries that have no response yet.
        std::size_t inFlightAppends = 0;
        // When `nextIndex` was last reset after a rejected append. Rejections of appends that were
        // sent earlier are ignored as outdated.
        instant lastNextIndexReset;
        // Learners catch up in rounds: a round ends when the learner holds all entries that existed
        // at its start. A learner has caught up when a round took less than the minimum election
        // timeout.
        bool caughtUp = false;
        log_index catchUpRoundEnd;
        instant catchUpRoundStart;
        // The index of the membership entry that adds the peer as a voter, or 0 when no such entry
        // is pending.
        log_index pendingAdditionIndex;
        // The latest send time that a response has echoed; nullopt before the first response.
        std::optional<instant> latestAcknowledgedSendTime;
        // When the last response arrived; at first, when this record was created.
        instant lastContact;
        instant lastSent;
        std::optional<snapshot_transfer> transfer;
    };

    // A snapshot that this replica is receiving in chunks.
    struct incoming_snapshot
    {
        replica_identity leader;
        stored_snapshot snapshot;
        std::uint64_t totalBytes = 0;
    };

    // The latest join request of a host.
    struct join_record
    {
        replica_identity identity;
        join_request request;
        instant receivedAt;
        // Whether the request named this replica's incarnation as its receiver.
        bool sentToThisIncarnation = false;
    };

    // A membership and the index of the log entry that holds it.
    struct membership_record
    {
        log_index index;
        membership value;
    };

    // The `handle` functions process a received message; the second argument is its body.

    // replica.cpp
    void advanceClock(instant now);
    void send(const replica_identity &to, peer_message_body body);
    void send(const replica_identity &to, epoch_number term, peer_message_body body);
    void addEvent(const std::string &kind, const std::string &detail);
    [[nodiscard]] epoch_number term() const { return m_store.vote().term; }
    [[nodiscard]] bool isVoter() const { return members().contains(m_store.identity()); }

    // replica_election.cpp
    void adoptTerm(epoch_number term);
    void becomeFollower();
    void becomeLeader();
    void restartElectionTimer();
    void startElection(bool preVote);
    void countVote(const replica_identity &voter);
    [[nodiscard]] bool refusesToVote() const;
    [[nodiscard]] bool hasUpToDateLog(const vote_request &request) const;
    void handle(const peer_message &message, const vote_request &request);
    void handle(const peer_message &message, const vote_response &response);
    void recordLeaderContact(const peer_message &message);
    void checkQuorum();

    // replica_replication.cpp
    log_index appendNewEntry(record_kind kind, const std::string &payload);
    void sendAppends(bool sendHeartbeats);
    // Whether new entries are sent to the peer as soon as they are synced. A learner that has
    // caught up gets them with the heartbeats: nothing waits for its response, and in a fleet with
    // many learners their messages would take most of the leader's time.
    [[nodiscard]] bool isSentNewEntriesAtOnce(const peer_progress &peer) const;
    void sendAppend(const replica_identity &to, peer_progress &peer);
    void recordResponse(peer_progress &peer, std::int64_t sentAt);
    void advanceMatchIndex(const replica_identity &from, peer_progress &peer, log_index index);
    [[nodiscard]] bool isReachable(const peer_progress &peer) const;
    void advanceCommitIndex();
    void updateLease();
    [[nodiscard]] peer_progress *findRespondingPeer(const peer_message &message);
    void handle(const peer_message &message, const append_request &request);
    void handle(const peer_message &message, const append_response &response);
    // Returns false if the log does not contain the entry that precedes the request's entries.
    [[nodiscard]] bool tryAppendEntries(const append_request &request);
    void appendOrReplaceEntry(const log_record &entry);
    // For a rejected append: the index after which the leader should resend entries.
    [[nodiscard]] log_index resendAfterIndex(const append_request &request) const;

    // replica_membership.cpp
    [[nodiscard]] const membership &members() const;
    void loadMemberships();
    void recordMembership(log_index index, const std::string &payload);
    void dropMembershipsFrom(log_index index);
    [[nodiscard]] const membership &membershipAt(log_index index) const;
    void updatePeers();
    void requestToJoin();
    void formFleet();
    void addLearner(const replica_identity &identity);
    // Called when a replica that is not a voter requests to join or asks for a vote.
    void addLearnerOrNotifySuperseded(const replica_identity &identity);
    void changeMembership(const membership &value);
    [[nodiscard]] bool belongsToNoFleet() const;
    void promoteLearners();
    // Returns true if it has started a membership change.
    [[nodiscard]] bool tryAdmissionStep(const replica_identity &learner);
    void removeVoter(const replica_identity &voter);
    [[nodiscard]] bool mayChangeMembership() const;
    void updateSilentPeers();
    [[nodiscard]] bool isFromExpectedFounder(const peer_message &message) const;
    void handle(const peer_message &message, const join_request &request);
    void handle(const peer_message &message, const superseded_notice &notice);

    // replica_snapshot.cpp
    void compact();
    [[nodiscard]] log_index lastCompactableIndex() const;
    void startSnapshotTransfer(const replica_identity &to, peer_progress &peer);
    void sendSnapshotChunk(const replica_identity &to, peer_progress &peer);
    void resendSnapshotChunks();
    void handle(const peer_message &message, const snapshot_chunk &chunk);
    void handle(const peer_message &message, const snapshot_response &response);
    void installSnapshot(const stored_snapshot &snapshot);

    replica_settings m_settings;
    // The hosts to which this replica sends join requests.
    std::set<host_id> m_joinTargets;
    replica_hooks m_hooks;
    replica_store &m_store;
    instant m_now;
    instant m_startTime;

    replica_role m_role = replica_role::follower;
    std::optional<replica_identity> m_leader;
    std::optional<instant> m_lastLeaderContact;
    instant m_electionDeadline;
    // Whether the present candidacy is still in its pre-vote phase.
    bool m_inPreVote = false;
    std::set<replica_identity> m_votes;

    log_index m_commitIndex;
    // The highest commit index that a leader has sent. It may exceed the end of this replica's log.
    log_index m_leaderCommitIndex;
    // The last entry that `takeCommitted` has returned, or skipped because it is not a command.
    log_index m_lastDeliveredIndex;
    log_index m_lastSyncedIndex;
    std::size_t m_uncommittedBytes = 0;
    // The memberships in the log, in log order; the last one is in effect.
    std::vector<membership_record> m_memberships;

    // From `m_peers` to `m_loadedSnapshot`, the members are used only by the leader.
    std::map<replica_identity, peer_progress> m_peers;
    instant m_leaderSince;
    // The index of the first entry of this leader's term.
    log_index m_firstIndexOfTerm;
    instant m_nextHeartbeatTime;
    instant m_leaseEnd;
    // The stored snapshot, read from disk once and shared by all transfers that are in progress.
    std::weak_ptr<const stored_snapshot> m_loadedSnapshot;

    std::optional<incoming_snapshot> m_incomingSnapshot;
    std::map<host_id, join_record> m_joinRequests;
    instant m_nextJoinRequestTime;
    bool m_superseded = false;

    std::vector<peer_message> m_outgoing;
    std::vector<replica_event> m_events;
};

} // namespace kingcuptiller
