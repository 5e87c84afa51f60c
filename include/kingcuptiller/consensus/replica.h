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
    // All control hosts, this one included; where `maximumVoters` is set, the founding ones.
    std::vector<host_id> hosts;
    // When set, hosts that are not listed may become voters too: while there are fewer voters than
    // this, or in the place of a voter that was silent for `replacementDelay`. When 0, only the
    // listed hosts vote.
    std::size_t maximumVoters = 0;
    milliseconds heartbeat{100};
    // An election starts after a random time between the two without a leader. The minimum is also
    // the time for which a replica refuses to vote after it heard from a leader or started.
    milliseconds minimumElectionTimeout{500};
    milliseconds maximumElectionTimeout{900};
    // What the leader takes off its lease because clocks may run at different speeds.
    milliseconds clockDriftAllowance{50};
    // A voter that was silent for this long may be replaced by another incarnation of its host.
    milliseconds replacementDelay{2000};
    // The log is compacted when it has grown by more entries than this since the last snapshot, and
    // by more bytes than the last snapshot has.
    std::size_t compactionThresholdEntries = 1000;
    // Entries before a snapshot that stay in the log for replicas that are a little behind.
    std::size_t trailingEntries = 500;
    // The most JSON text for the entries of one append, unless a single entry needs more; at most
    // `maximumAppendJsonBytes`.
    std::size_t maximumBatchJsonBytes = maximumAppendJsonBytes;
    std::size_t snapshotChunkBytes = 256 * std::size_t{1024};
    // `propose` refuses while this much is not committed.
    std::size_t maximumUncommittedBytes = 32 * std::size_t{1024} * 1024;
};

struct replica_hooks
{
    // Returns the owner's state after all entries that `takeCommitted` has handed out.
    std::function<std::string()> takeSnapshot;
    // Replaces the owner's state by one that `takeSnapshot` of some replica returned.
    std::function<void(const std::string &state)> restoreSnapshot;
    // Returns uniformly distributed random numbers, for election timeouts.
    std::function<std::uint64_t()> random;
};

struct committed_entry
{
    log_index index;
    epoch_number term;
    std::string command;

    bool operator==(const committed_entry &) const = default;
};

// One replica of the replicated log: a state machine without threads, sockets or clocks. Its owner
// (one thread) calls it as follows:
//
//     replica.receive(message, now);      // for each message of another replica
//     replica.tick(now);                  // at least every 10 ms
//     index = replica.propose(text, now); // on the leader; any number, they form one batch
//     for (message : replica.takeOutgoing()) send(message); // syncs first, once for all
//     for (entry : replica.takeCommitted()) apply(entry);
//
// The owner applies everything that `takeCommitted` returned before it calls the replica again,
// because `tick` may ask it for a snapshot. A proposal is committed when `takeCommitted` returns an
// entry with the same index and term; another entry at that index means that it was lost.
//
// `now` is a monotonic clock that includes suspended time and never goes back; earlier times than
// the latest one are treated as the latest. All calls may throw `error` with `disk_failed`; the
// owner must then end this replica and open its data folder again.
class replica
{
public:
    // Restores the owner's state from the stored snapshot, if there is one.
    replica(replica_settings settings, replica_hooks hooks, replica_store &store, instant now);

    void tick(instant now);
    void receive(const peer_message &message, instant now);

    // Names a further control host that this replica asks for admission while it is in no
    // membership. The hosts that form the fleet stay those of the settings.
    void addJoinContact(const host_id &host);

    // Appends a command on the leader and returns its index. Returns nothing on any other replica
    // and while too much is uncommitted. Throws `error` with `message_malformed` when the command
    // is not UTF-8 and `message_too_large` when it does not fit into one message.
    [[nodiscard]] std::optional<log_index> propose(const std::string &command, instant now);

    // Syncs everything that was appended, then returns the messages to send.
    [[nodiscard]] std::vector<peer_message> takeOutgoing();

    // The commands that were committed since the last call, in order.
    [[nodiscard]] std::vector<committed_entry> takeCommitted();

    // Whether this replica is certainly the only leader at `now` and knows all committed entries.
    // Call it with a fresh time right before an answer that depends on it.
    [[nodiscard]] bool hasLease(instant now) const;
    // Whether this replica's owner has applied everything that was committed before the present
    // leader was elected, and that leader was heard a short time ago. After a start, a replica is
    // behind until then, whatever its log holds.
    [[nodiscard]] bool isCurrent(instant now) const;
    // The end of the lease; in the past for every replica but a leader.
    [[nodiscard]] instant leaseEnd() const;

    [[nodiscard]] replica_status status() const;
    [[nodiscard]] std::vector<replica_event> takeEvents();

private:
    struct snapshot_transfer
    {
        std::shared_ptr<const stored_snapshot> snapshot;
        std::uint64_t offset = 0;
        instant sent;
    };

    // The leader's view of another replica.
    struct peer_progress
    {
        bool voter = false;
        // Its silence has been reported.
        bool silenceReported = false;
        log_index nextIndex;
        log_index matchIndex;
        // Appends with entries that are not answered yet.
        std::size_t inFlightAppends = 0;
        // Refusals of appends that were sent before this are outdated.
        instant lastNextIndexReset;
        // A learner is caught up when it needed less than the shortest election timeout for the
        // entries that were there when the round started.
        bool caughtUp = false;
        log_index catchUpRoundEnd;
        instant catchUpRoundStart;
        // The uncommitted membership entry that adds this replica; 0 when there is none.
        log_index addedByIndex;
        // Never before the first answer.
        std::optional<instant> latestAcknowledgedSendTime;
        instant lastContact;
        instant lastSent;
        std::optional<snapshot_transfer> transfer;
    };

    // A snapshot that is being received.
    struct incoming_snapshot
    {
        replica_identity leader;
        stored_snapshot snapshot;
        std::uint64_t totalBytes = 0;
    };

    struct join_record
    {
        replica_identity identity;
        join_request request;
        instant received;
        // The sender knew this replica's incarnation.
        bool sentToThisIncarnation = false;
    };

    struct membership_record
    {
        log_index index;
        membership value;
    };

    // replica.cpp
    void advanceClock(instant now);
    void send(const replica_identity &to, peer_message_body body);
    void send(const replica_identity &to, epoch_number term, peer_message_body body);
    void addEvent(const std::string &kind, const std::string &detail);
    [[nodiscard]] epoch_number term() const { return m_store.vote().term; }
    [[nodiscard]] bool isMember() const { return members().contains(m_store.identity()); }

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
    void handle(const peer_message &message, const vote_response &answer);
    void recordLeaderContact(const peer_message &message);
    void checkQuorum();

    // replica_replication.cpp
    log_index appendNewEntry(record_kind kind, const std::string &payload);
    void sendAppends(bool heartbeat);
    void sendAppend(const replica_identity &to, peer_progress &peer);
    void recordResponse(peer_progress &peer, std::int64_t sentAt);
    void advanceMatchIndex(const replica_identity &from, peer_progress &peer, log_index index);
    [[nodiscard]] bool isReachable(const peer_progress &peer) const;
    void advanceCommitIndex();
    void updateLease();
    [[nodiscard]] peer_progress *findRespondingPeer(const peer_message &message);
    void handle(const peer_message &message, const append_request &request);
    void handle(const peer_message &message, const append_response &answer);
    [[nodiscard]] bool acceptEntries(const append_request &request);
    void acceptEntry(const log_record &entry);
    [[nodiscard]] log_index retryIndex(const append_request &request) const;

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
    void handleNonVoter(const replica_identity &identity);
    void changeMembership(const membership &value);
    [[nodiscard]] bool belongsToNoFleet() const;
    void admitLearners();
    [[nodiscard]] bool advanceAdmission(const replica_identity &newcomer);
    void removeVoter(const replica_identity &voter);
    [[nodiscard]] bool mayChangeMembership() const;
    void updatePeerPresence();
    [[nodiscard]] bool isFromExpectedFounder(const peer_message &message) const;
    void handle(const peer_message &message, const join_request &request);
    void handle(const peer_message &message, const superseded_notice &notice);

    // replica_snapshot.cpp
    void compact();
    [[nodiscard]] log_index lastCompactableIndex() const;
    void startSnapshotTransfer(const replica_identity &to, peer_progress &peer);
    void sendSnapshotChunk(const replica_identity &to, peer_progress &peer);
    void resendSnapshotChunks();
    void handle(const peer_message &message, const snapshot_chunk &part);
    void handle(const peer_message &message, const snapshot_response &answer);
    void installSnapshot(const stored_snapshot &snapshot);

    replica_settings m_settings;
    // Where this replica asks for admission.
    std::set<host_id> m_contacts;
    replica_hooks m_hooks;
    replica_store &m_store;
    instant m_now;
    instant m_startTime;

    replica_role m_role = replica_role::follower;
    std::optional<replica_identity> m_leader;
    std::optional<instant> m_lastLeaderContact;
    instant m_electionDeadline;
    bool m_preVote = false;
    std::set<replica_identity> m_votes;

    log_index m_commitIndex;
    // The most that a leader said to be committed; this replica may not have all of it.
    log_index m_leaderCommitIndex;
    log_index m_lastDeliveredIndex;
    log_index m_lastSyncedIndex;
    std::size_t m_uncommittedBytes = 0;
    std::vector<membership_record> m_memberships;

    // Only used by a leader.
    std::map<replica_identity, peer_progress> m_peers;
    instant m_leaderSince;
    // The first entry of this leader's term.
    log_index m_firstIndexOfTerm;
    instant m_nextHeartbeatTime;
    instant m_leaseEnd;
    std::weak_ptr<const stored_snapshot> m_loadedSnapshot;

    std::optional<incoming_snapshot> m_incomingSnapshot;
    std::map<host_id, join_record> m_joinRequests;
    instant m_nextJoinRequestTime;
    bool m_superseded = false;

    std::vector<peer_message> m_outgoing;
    std::vector<replica_event> m_events;
};

} // namespace kingcuptiller
