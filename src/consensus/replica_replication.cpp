#include "kingcuptiller/consensus/replica.h"

#include "kingcuptiller/values/error.h"

#include <algorithm>
#include <functional>

// Copying the log to the followers, commit and lease.

namespace kingcuptiller {

namespace {

// Appends with entries that may be on their way to one replica. It bounds what is sent in vain when
// a message is lost, and is enough for a new batch every 25 ms over a round trip of 200 ms.
constexpr std::size_t maximumUnanswered = 8;
// A replica that was silent for longer gets heartbeats only.
constexpr milliseconds reachableFor(1000);
// JSON around the payload of one entry.
constexpr std::size_t entryOverheadBytes = 80;

std::int64_t toMicroseconds(instant time)
{
    return time.time_since_epoch().count();
}

// The value that a majority reaches: at least `majority` of the values are as large.
template <typename Value>
Value reachedBy(std::vector<Value> values, std::size_t majority)
{
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[majority - 1];
}

} // namespace

log_index replica::appendOwn(record_kind kind, const std::string &payload)
{
    const log_record entry{kind, term(), m_store.lastIndex().next(), payload};
    m_store.append(entry);
    m_uncommittedBytes += payload.size();
    if (kind == record_kind::membership)
        noteMembership(entry.index, payload);
    return entry.index;
}

bool replica::isReachable(const peer_progress &peer) const
{
    return m_now - peer.lastHeard < reachableFor;
}

void replica::sendAppends(bool heartbeat)
{
    if (heartbeat)
        m_heartbeatDue = m_now + m_settings.heartbeat;
    for (auto &[identity, peer] : m_peers) {
        if (peer.transfer)
            continue;
        bool due = heartbeat;
        while (due
               || (isReachable(peer) && peer.next <= m_store.lastIndex()
                   && peer.unanswered < maximumUnanswered && !peer.transfer)) {
            due = false;
            sendAppend(identity, peer);
        }
    }
}

void replica::sendAppend(const replica_identity &to, peer_progress &peer)
{
    const bool reachable = isReachable(peer);
    if (reachable && peer.next <= m_store.baseIndex()) {
        startTransfer(to, peer);
        return;
    }
    append_request request;
    request.previousIndex = reachable ? log_index(peer.next.number() - 1) : m_store.lastIndex();
    request.previousTerm = m_store.termAt(request.previousIndex);
    request.committed = m_committed;
    request.sentAt = toMicroseconds(m_now);
    std::size_t bytes = 0;
    while (reachable && peer.unanswered < maximumUnanswered && peer.next <= m_store.lastIndex()) {
        const log_record &entry = m_store.entry(peer.next);
        bytes += commandJsonBytes(entry.payload) + entryOverheadBytes;
        if (!request.entries.empty() && bytes > m_settings.appendJsonBytes)
            break;
        request.entries.push_back(entry);
        peer.next = peer.next.next();
    }
    if (!request.entries.empty())
        ++peer.unanswered;
    send(to, std::move(request));
}

void replica::noteAnswer(peer_progress &peer, std::int64_t sentAt)
{
    peer.lastHeard = m_now;
    const instant sent{microseconds(sentAt)};
    if (sent <= m_now && sent >= m_becameLeader
        && (!peer.newestAnsweredSend || sent > *peer.newestAnsweredSend))
        peer.newestAnsweredSend = sent;
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
            sent.push_back(peer != m_peers.end() && peer->second.newestAnsweredSend
                               ? *peer->second.newestAnsweredSend
                               : instant::min());
    }
    const instant reached = reachedBy(std::move(sent), members().majority());
    if (reached != instant::min())
        m_leaseEnd = reached + m_settings.minimumElectionTimeout - m_settings.clockDrift;
}

void replica::advanceCommit()
{
    std::vector<log_index> matches;
    for (const replica_identity &voter : members().voters) {
        const auto peer = m_peers.find(voter);
        if (voter == m_store.identity())
            matches.push_back(m_synced);
        else
            matches.push_back(peer == m_peers.end() ? log_index(0) : peer->second.match);
    }
    const log_index reached = reachedBy(std::move(matches), members().majority());
    // An entry of a former term may still be replaced although a majority holds it; it is committed
    // together with the first entry of the own term.
    if (reached <= m_committed || m_store.termAt(reached) != term())
        return;
    for (log_index index = m_committed.next(); index <= reached; index = index.next())
        m_uncommittedBytes -= std::min(m_uncommittedBytes, m_store.entry(index).payload.size());
    m_committed = reached;
}

replica::peer_progress *replica::answeringPeer(const peer_message &message)
{
    const auto peer = m_peers.find(message.from);
    const bool current = m_role == replica_role::leader && message.term == term();
    return current && peer != m_peers.end() ? &peer->second : nullptr;
}

void replica::handle(const peer_message &message, const append_request &request)
{
    if (message.term < term()) {
        send(message.from, append_answer{false, m_store.lastIndex(), request.sentAt});
        return;
    }
    const bool ownTerm = m_role == replica_role::leader && message.term == term();
    if (ownTerm || !comesFromExpectedFounder(message))
        return;
    heardFromLeader(message);
    m_knownCommitted = std::max(m_knownCommitted, request.committed);
    if (!acceptEntries(request)) {
        send(message.from, append_answer{false, retryIndex(request), request.sentAt});
        return;
    }
    const log_index end(request.previousIndex.number() + request.entries.size());
    m_committed = std::max(m_committed, std::min(request.committed, end));
    send(message.from, append_answer{true, end, request.sentAt});
}

bool replica::acceptEntries(const append_request &request)
{
    const log_index previous = request.previousIndex;
    // Entries up to the base are committed, so they are the leader's.
    if (previous > m_store.lastIndex()
        || (previous >= m_store.baseIndex() && m_store.termAt(previous) != request.previousTerm))
        return false;
    for (const log_record &entry : request.entries)
        acceptEntry(entry);
    return true;
}

void replica::acceptEntry(const log_record &entry)
{
    if (entry.index <= m_store.baseIndex())
        return;
    if (entry.index <= m_store.lastIndex()) {
        if (m_store.termAt(entry.index) == entry.term)
            return;
        if (entry.index <= m_committed)
            throw error(result_code::internal_fault,
                        "the leader contradicts the committed entry "
                            + std::to_string(entry.index.number()));
        m_synced = std::min(m_synced, log_index(entry.index.number() - 1));
        dropMembershipsFrom(entry.index);
    }
    m_store.append(entry);
    if (entry.kind == record_kind::membership)
        noteMembership(entry.index, entry.payload);
}

log_index replica::retryIndex(const append_request &request) const
{
    if (request.previousIndex > m_store.lastIndex())
        return m_store.lastIndex();
    // Skips the whole term that differs, so that a long difference needs few round trips.
    const epoch_number differing = m_store.termAt(request.previousIndex);
    log_index index = request.previousIndex;
    while (index > std::max(m_store.baseIndex(), m_committed) && m_store.termAt(index) == differing)
        index = log_index(index.number() - 1);
    return index;
}

void replica::handle(const peer_message &message, const append_answer &answer)
{
    if (message.term > term()) {
        adoptTerm(message.term);
        return;
    }
    peer_progress *const peer = answeringPeer(message);
    if (peer == nullptr || answer.index > m_store.lastIndex())
        return;
    noteAnswer(*peer, answer.sentAt);
    if (answer.matches) {
        noteMatch(message.from, *peer, answer.index);
    } else if (answer.sentAt >= toMicroseconds(peer->lastReset)) {
        peer->next = std::max(peer->match, answer.index).next();
        peer->unanswered = 0;
        peer->lastReset = m_now;
    }
}

void replica::noteMatch(const replica_identity &from, peer_progress &peer, log_index index)
{
    peer.match = std::max(peer.match, index);
    peer.next = std::max(peer.next, peer.match.next());
    peer.unanswered = peer.match.next() == peer.next
        ? 0
        : peer.unanswered - std::min<std::size_t>(peer.unanswered, 1);
    if (!peer.caughtUp && peer.match >= peer.roundEnd) {
        peer.caughtUp = m_now - peer.roundStarted < m_settings.minimumElectionTimeout;
        peer.roundEnd = m_store.lastIndex();
        peer.roundStarted = m_now;
    }
    if (peer.voter)
        advanceCommit();
    if (peer.addedBy > log_index(0) && peer.match >= peer.addedBy && m_committed >= peer.addedBy) {
        peer.addedBy = log_index(0);
        addEvent("replica_repaired", from.host.text() + " as " + from.incarnation.text());
    }
}

} // namespace kingcuptiller
