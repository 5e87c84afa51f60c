#include "kingcuptiller/consensus/replica.h"

#include "kingcuptiller/values/error.h"

#include <algorithm>
#include <utility>

namespace kingcuptiller {

namespace {

// If `takeEvents` is not called often enough, the oldest events are dropped to bound the memory
// use.
constexpr std::size_t maximumPendingEvents = 1000;

} // namespace

std::string_view name(replica_role role)
{
    switch (role) {
    case replica_role::follower:
        return "follower";
    case replica_role::candidate:
        return "candidate";
    case replica_role::leader:
        return "leader";
    }
    return "follower";
}

replica::replica(replica_settings settings, replica_hooks hooks, replica_store &store, instant now)
    : m_settings(std::move(settings))
    , m_joinTargets(m_settings.hosts.begin(), m_settings.hosts.end())
    , m_hooks(std::move(hooks))
    , m_store(store)
    , m_now(now)
    , m_startTime(now)
    , m_leaseEnd(now)
{
    std::sort(m_settings.hosts.begin(), m_settings.hosts.end());
    if (m_store.snapshotIndex() > log_index(0))
        m_hooks.restoreSnapshot(m_store.readSnapshot().state);
    m_commitIndex = m_store.snapshotIndex();
    m_lastDeliveredIndex = m_commitIndex;
    m_lastSyncedIndex = m_store.lastIndex();
    loadMemberships();
    restartElectionTimer();
    if (m_store.state() == folder_state::damaged)
        addEvent("data_folder_damaged", m_store.damage());
}

void replica::advanceClock(instant now)
{
    m_now = std::max(m_now, now);
}

void replica::addJoinTarget(const host_id &host)
{
    m_joinTargets.insert(host);
}

void replica::tick(instant now)
{
    advanceClock(now);
    if (m_superseded)
        return;
    compact();
    if (m_role == replica_role::leader)
        checkQuorum();
    if (m_role == replica_role::leader) {
        updateSilentPeers();
        promoteLearners();
        resendSnapshotChunks();
        if (m_now >= m_nextHeartbeatTime)
            sendAppends(true);
    } else if (!isVoter()) {
        requestToJoin();
        formFleet();
    } else if (m_now >= m_electionDeadline) {
        startElection(true);
    }
}

void replica::receive(const peer_message &message, instant now)
{
    advanceClock(now);
    const replica_identity &self = m_store.identity();
    const bool addressed = message.to.host == self.host
        && (message.to.incarnation.empty() || message.to.incarnation == self.incarnation);
    if (m_superseded || !addressed || message.from.host == self.host)
        return;
    std::visit([&](const auto &body) { handle(message, body); }, message.body);
}

std::optional<log_index> replica::propose(const std::string &command, instant now)
{
    advanceClock(now);
    if (commandJsonBytesUpperBound(command) > maximumAppendJsonBytes)
        throw error(result_code::message_too_large, "the command does not fit into one message");
    if (m_role != replica_role::leader || m_uncommittedBytes > m_settings.maximumUncommittedBytes)
        return std::nullopt;
    return appendNewEntry(record_kind::command, command);
}

std::vector<peer_message> replica::takeOutgoing()
{
    m_store.sync();
    m_lastSyncedIndex = m_store.lastIndex();
    if (m_role == replica_role::leader) {
        advanceCommitIndex();
        updateLease();
        sendAppends(false);
    }
    return std::exchange(m_outgoing, {});
}

std::vector<committed_entry> replica::takeCommitted()
{
    std::vector<committed_entry> result;
    while (m_lastDeliveredIndex < m_commitIndex) {
        m_lastDeliveredIndex = m_lastDeliveredIndex.next();
        const log_record &entry = m_store.entry(m_lastDeliveredIndex);
        if (entry.kind == record_kind::command)
            result.push_back({entry.index, entry.term, entry.payload});
    }
    return result;
}

bool replica::hasLease(instant now) const
{
    // Entries of previous terms are known to be committed only once the first entry of this
    // leader's term is committed, and the owner's state includes them only after `takeCommitted`.
    return m_role == replica_role::leader && std::max(now, m_now) < m_leaseEnd
        && m_lastDeliveredIndex >= m_firstIndexOfTerm;
}

bool replica::isCurrent(instant now) const
{
    if (m_role == replica_role::leader)
        return hasLease(now);
    return m_leader && m_lastLeaderContact
        && std::max(now, m_now) - *m_lastLeaderContact < m_settings.minimumElectionTimeout
        && m_lastDeliveredIndex == m_commitIndex && m_commitIndex >= m_leaderCommitIndex
        && m_commitIndex >= m_store.baseIndex() && m_store.termAt(m_commitIndex) == term();
}

instant replica::leaseEnd() const
{
    return m_leaseEnd;
}

replica_status replica::status() const
{
    replica_status result;
    result.self = m_store.identity();
    result.role = m_role;
    result.voter = isVoter();
    result.superseded = m_superseded;
    if (m_leader)
        result.leader = m_leader->host;
    result.term = term();
    result.committed = m_commitIndex;
    result.lastIndex = m_store.lastIndex();
    result.members = members();
    for (const auto &[identity, peer] : m_peers)
        result.peers.push_back(
            {identity, peer.voter, isReachable(peer), peer.transfer.has_value(), peer.matchIndex});
    return result;
}

std::vector<replica_event> replica::takeEvents()
{
    return std::exchange(m_events, {});
}

void replica::send(const replica_identity &to, peer_message_body body)
{
    send(to, term(), std::move(body));
}

void replica::send(const replica_identity &to, epoch_number term, peer_message_body body)
{
    m_outgoing.push_back({m_store.identity(), to, term, std::move(body)});
}

void replica::addEvent(const std::string &kind, const std::string &detail)
{
    if (m_events.size() >= maximumPendingEvents)
        m_events.erase(m_events.begin());
    m_events.push_back({m_now, kind, detail});
}

} // namespace kingcuptiller
