#include "kingcuptiller/consensus/replica.h"

#include "kingcuptiller/values/error.h"

#include <algorithm>
#include <functional>

// Log replication to followers and learners, the commit index and the leader lease.

namespace kingcuptiller {

namespace {

// The maximum number of unacknowledged appends with entries per peer. It limits the data that must
// be resent after a message loss. 8 allows a batch every 25 ms at a round-trip time of 200 ms.
constexpr std::size_t maximumInFlightAppends = 8;
// A peer that has not responded for this long is unreachable and receives only heartbeats.
constexpr milliseconds reachabilityTimeout(1000);
// An allowance for the JSON size of one entry without its payload, in bytes.
constexpr std::size_t entryOverheadBytes = 80;

std::int64_t toMicroseconds(instant time)
{
    return time.time_since_epoch().count();
}

// Returns the largest element such that at least `majority` elements are greater or equal to it.
template <typename Value>
Value valueReachedByMajority(std::vector<Value> values, std::size_t majority)
{
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[majority - 1];
}

} // namespace

log_index replica::appendNewEntry(record_kind kind, const std::string &payload)
{
    const log_record entry{kind, term(), m_store.lastIndex().next(), payload};
    m_store.append(entry);
    m_uncommittedBytes += payload.size();
    if (kind == record_kind::membership)
        recordMembership(entry.index, payload);
    return entry.index;
}

bool replica::isReachable(const peer_progress &peer) const
{
    return m_now - peer.lastContact < reachabilityTimeout;
}

bool replica::isSentNewEntriesAtOnce(const peer_progress &peer) const
{
    return peer.voter || !peer.caughtUp;
}

void replica::sendAppends(bool sendHeartbeats)
{
    if (sendHeartbeats)
        m_nextHeartbeatTime = m_now + m_settings.heartbeatInterval;
    for (auto &[identity, peer] : m_peers) {
        if (peer.transfer || (!sendHeartbeats && !isSentNewEntriesAtOnce(peer)))
            continue;
        bool due = sendHeartbeats;
        while (due
               || (isReachable(peer) && peer.nextIndex <= m_store.lastIndex()
                   && peer.inFlightAppends < maximumInFlightAppends && !peer.transfer)) {
            due = false;
            sendAppend(identity, peer);
        }
    }
}

void replica::sendAppend(const replica_identity &to, peer_progress &peer)
{
    const bool reachable = isReachable(peer);
    if (reachable && peer.nextIndex <= m_store.baseIndex()) {
        startSnapshotTransfer(to, peer);
        return;
    }
    append_request request;
    request.previousIndex =
        reachable ? log_index(peer.nextIndex.number() - 1) : m_store.lastIndex();
    request.previousTerm = m_store.termAt(request.previousIndex);
    request.committed = m_commitIndex;
    request.sentAt = toMicroseconds(m_now);
    std::size_t bytes = 0;
    while (reachable && peer.inFlightAppends < maximumInFlightAppends
           && peer.nextIndex <= m_store.lastIndex()) {
        const log_record &entry = m_store.entry(peer.nextIndex);
        bytes += commandJsonBytesUpperBound(entry.payload) + entryOverheadBytes;
        if (!request.entries.empty() && bytes > m_settings.maximumBatchJsonBytes)
            break;
        request.entries.push_back(entry);
        peer.nextIndex = peer.nextIndex.next();
    }
    if (!request.entries.empty())
        ++peer.inFlightAppends;
    send(to, std::move(request));
}

void replica::recordResponse(peer_progress &peer, std::int64_t sentAt)
{
    peer.lastContact = m_now;
    const instant sent{microseconds(sentAt)};
    if (sent <= m_now && sent >= m_leaderSince
        && (!peer.latestAcknowledgedSendTime || sent > *peer.latestAcknowledgedSendTime))
        peer.latestAcknowledgedSendTime = sent;
    updateLease();
}

void replica::updateLease()
{
    std::vector<instant> sent;
    for (const replica_identity &voter : members().voters) {
        const auto peer = m_peers.find(voter);
        if (voter == m_store.identity())
            sent.push_back(m_now);
        else
            sent.push_back(peer != m_peers.end() && peer->second.latestAcknowledgedSendTime
                               ? *peer->second.latestAcknowledgedSendTime
                               : instant::min());
    }
    const instant reached = valueReachedByMajority(std::move(sent), members().majority());
    if (reached != instant::min())
        m_leaseEnd = reached + m_settings.minimumElectionTimeout - m_settings.clockDriftAllowance;
}

void replica::advanceCommitIndex()
{
    std::vector<log_index> matches;
    for (const replica_identity &voter : members().voters) {
        const auto peer = m_peers.find(voter);
        if (voter == m_store.identity())
            matches.push_back(m_lastSyncedIndex);
        else
            matches.push_back(peer == m_peers.end() ? log_index(0) : peer->second.matchIndex);
    }
    const log_index reached = valueReachedByMajority(std::move(matches), members().majority());
    // An entry of a previous term may still be replaced even if a majority holds it. It is
    // committed together with the first entry of this leader's term.
    if (reached <= m_commitIndex || m_store.termAt(reached) != term())
        return;
    for (log_index index = m_commitIndex.next(); index <= reached; index = index.next())
        m_uncommittedBytes -= std::min(m_uncommittedBytes, m_store.entry(index).payload.size());
    m_commitIndex = reached;
}

replica::peer_progress *replica::findRespondingPeer(const peer_message &message)
{
    const auto peer = m_peers.find(message.from);
    const bool current = m_role == replica_role::leader && message.term == term();
    return current && peer != m_peers.end() ? &peer->second : nullptr;
}

void replica::handle(const peer_message &message, const append_request &request)
{
    if (message.term < term()) {
        send(message.from, append_response{false, m_store.lastIndex(), request.sentAt});
        return;
    }
    const bool isLeaderOfMessageTerm = m_role == replica_role::leader && message.term == term();
    if (isLeaderOfMessageTerm || !isFromExpectedFounder(message))
        return;
    recordLeaderContact(message);
    m_leaderCommitIndex = std::max(m_leaderCommitIndex, request.committed);
    if (!tryAppendEntries(request)) {
        send(message.from, append_response{false, resendAfterIndex(request), request.sentAt});
        return;
    }
    const log_index end(request.previousIndex.number() + request.entries.size());
    m_commitIndex = std::max(m_commitIndex, std::min(request.committed, end));
    send(message.from, append_response{true, end, request.sentAt});
}

bool replica::tryAppendEntries(const append_request &request)
{
    const log_index previous = request.previousIndex;
    // Entries up to the base index, which are compacted, are committed and so equal the leader's.
    if (previous > m_store.lastIndex()
        || (previous >= m_store.baseIndex() && m_store.termAt(previous) != request.previousTerm))
        return false;
    for (const log_record &entry : request.entries)
        appendOrReplaceEntry(entry);
    return true;
}

void replica::appendOrReplaceEntry(const log_record &entry)
{
    if (entry.index <= m_store.baseIndex())
        return;
    if (entry.index <= m_store.lastIndex()) {
        if (m_store.termAt(entry.index) == entry.term)
            return;
        if (entry.index <= m_commitIndex)
            throw error(result_code::internal_fault,
                        "the leader sent a conflicting entry at the committed index "
                            + std::to_string(entry.index.number()));
        m_lastSyncedIndex = std::min(m_lastSyncedIndex, log_index(entry.index.number() - 1));
        dropMembershipsFrom(entry.index);
    }
    m_store.append(entry);
    if (entry.kind == record_kind::membership)
        recordMembership(entry.index, entry.payload);
}

log_index replica::resendAfterIndex(const append_request &request) const
{
    if (request.previousIndex > m_store.lastIndex())
        return m_store.lastIndex();
    // Skips all entries of the conflicting term, so that a long divergence needs few round trips.
    const epoch_number conflictingTerm = m_store.termAt(request.previousIndex);
    log_index index = request.previousIndex;
    while (index > std::max(m_store.baseIndex(), m_commitIndex)
           && m_store.termAt(index) == conflictingTerm)
        index = log_index(index.number() - 1);
    return index;
}

void replica::handle(const peer_message &message, const append_response &response)
{
    if (message.term > term()) {
        adoptTerm(message.term);
        return;
    }
    peer_progress *const peer = findRespondingPeer(message);
    if (peer == nullptr || response.index > m_store.lastIndex())
        return;
    recordResponse(*peer, response.sentAt);
    if (response.matches) {
        advanceMatchIndex(message.from, *peer, response.index);
    } else if (response.sentAt >= toMicroseconds(peer->lastNextIndexReset)) {
        peer->nextIndex = std::max(peer->matchIndex, response.index).next();
        peer->inFlightAppends = 0;
        peer->lastNextIndexReset = m_now;
    }
}

void replica::advanceMatchIndex(const replica_identity &from, peer_progress &peer, log_index index)
{
    peer.matchIndex = std::max(peer.matchIndex, index);
    peer.nextIndex = std::max(peer.nextIndex, peer.matchIndex.next());
    peer.inFlightAppends = peer.matchIndex.next() == peer.nextIndex
        ? 0
        : peer.inFlightAppends - std::min<std::size_t>(peer.inFlightAppends, 1);
    if (!peer.caughtUp && peer.matchIndex >= peer.catchUpRoundEnd) {
        peer.caughtUp = m_now - peer.catchUpRoundStart < m_settings.minimumElectionTimeout;
        peer.catchUpRoundEnd = m_store.lastIndex();
        peer.catchUpRoundStart = m_now;
    }
    if (peer.voter)
        advanceCommitIndex();
    if (peer.pendingAdditionIndex > log_index(0) && peer.matchIndex >= peer.pendingAdditionIndex
        && m_commitIndex >= peer.pendingAdditionIndex) {
        peer.pendingAdditionIndex = log_index(0);
        addEvent("replica_repaired", from.host.text() + ", incarnation " + from.incarnation.text());
    }
}

} // namespace kingcuptiller
