#include "kingcuptiller/consensus/replica.h"

#include <algorithm>

// Log compaction and the transfer of snapshots to replicas that lag far behind.

namespace kingcuptiller {

namespace {

// An unacknowledged chunk is resent after this time, which is longer than a round-trip time between
// two regions and shorter than the default minimum election timeout.
constexpr milliseconds chunkRetryInterval(300);
// Compaction retains the entries that a reachable peer has not received yet, but at most the last
// `retainedCompactionThresholds * compactionThresholdEntries` entries before the new snapshot.
constexpr std::uint64_t retainedCompactionThresholds = 4;

std::int64_t toMicroseconds(instant time)
{
    return time.time_since_epoch().count();
}

} // namespace

void replica::compact()
{
    if (m_lastDeliveredIndex.number() - m_store.snapshotIndex().number()
            <= m_settings.compactionThresholdEntries
        || m_store.bytesSinceSnapshot() <= m_store.snapshotBytes())
        return;
    stored_snapshot snapshot{m_lastDeliveredIndex, m_store.termAt(m_lastDeliveredIndex),
                             encodeMembership(membershipAt(m_lastDeliveredIndex)),
                             m_hooks.takeSnapshot()};
    m_store.saveSnapshot(snapshot, lastCompactableIndex());
    m_lastSyncedIndex = m_store.lastIndex();
    while (m_memberships.size() > 1 && m_memberships[1].index <= m_store.snapshotIndex())
        m_memberships.erase(m_memberships.begin());
}

log_index replica::lastCompactableIndex() const
{
    const auto before = [&](std::uint64_t entries) {
        return m_lastDeliveredIndex.number() - std::min(m_lastDeliveredIndex.number(), entries);
    };
    std::uint64_t result = before(m_settings.trailingEntries);
    const std::uint64_t lowestResult =
        before(retainedCompactionThresholds * m_settings.compactionThresholdEntries);
    for (const auto &[identity, peer] : m_peers) {
        if (!isReachable(peer))
            continue;
        const log_index needed = peer.transfer ? peer.transfer->snapshot->index : peer.matchIndex;
        result = std::min(result, std::max(needed.number(), lowestResult));
    }
    return log_index(result);
}

void replica::startSnapshotTransfer(const replica_identity &to, peer_progress &peer)
{
    std::shared_ptr<const stored_snapshot> snapshot = m_loadedSnapshot.lock();
    if (!snapshot || snapshot->index != m_store.snapshotIndex()) {
        snapshot = std::make_shared<const stored_snapshot>(m_store.readSnapshot());
        m_loadedSnapshot = snapshot;
    }
    peer.transfer = snapshot_transfer{std::move(snapshot), 0, m_now};
    sendSnapshotChunk(to, peer);
}

void replica::sendSnapshotChunk(const replica_identity &to, peer_progress &peer)
{
    snapshot_transfer &transfer = *peer.transfer;
    transfer.lastSentAt = m_now;
    const stored_snapshot &snapshot = *transfer.snapshot;
    send(to,
         snapshot_chunk{snapshot.index, snapshot.term, snapshot.membership, transfer.offset,
                        snapshot.state.size(),
                        snapshot.state.substr(transfer.offset, m_settings.snapshotChunkBytes),
                        toMicroseconds(m_now)});
}

void replica::resendSnapshotChunks()
{
    for (auto &[identity, peer] : m_peers) {
        if (!peer.transfer)
            continue;
        if (!isReachable(peer))
            peer.transfer.reset();
        else if (m_now - peer.transfer->lastSentAt >= chunkRetryInterval)
            sendSnapshotChunk(identity, peer);
    }
}

void replica::handle(const peer_message &message, const snapshot_chunk &chunk)
{
    const bool isLeaderOfMessageTerm = m_role == replica_role::leader && message.term == term();
    if (isLeaderOfMessageTerm || !isFromExpectedFounder(message))
        return;
    if (message.term < term()) {
        send(message.from, snapshot_response{chunk.index, 0, false, chunk.sentAt});
        return;
    }
    recordLeaderContact(message);
    snapshot_response response{chunk.index, 0, chunk.index <= m_commitIndex, chunk.sentAt};
    if (!response.installed) {
        const bool continues = m_incomingSnapshot && m_incomingSnapshot->leader == message.from
            && m_incomingSnapshot->snapshot.index == chunk.index
            && m_incomingSnapshot->snapshot.term == chunk.snapshotTerm
            && m_incomingSnapshot->totalBytes == chunk.totalBytes;
        if (!continues)
            m_incomingSnapshot =
                incoming_snapshot{message.from,
                                  {chunk.index, chunk.snapshotTerm, chunk.membership, {}},
                                  chunk.totalBytes};
        std::string &state = m_incomingSnapshot->snapshot.state;
        if (chunk.offset == state.size())
            state += chunk.bytes;
        response.nextOffset = state.size();
        if (state.size() == chunk.totalBytes) {
            installSnapshot(m_incomingSnapshot->snapshot);
            m_incomingSnapshot.reset();
            response.installed = true;
        }
    }
    send(message.from, response);
}

void replica::installSnapshot(const stored_snapshot &snapshot)
{
    m_store.saveSnapshot(snapshot, snapshot.index);
    m_lastSyncedIndex = m_store.lastIndex();
    m_commitIndex = snapshot.index;
    m_lastDeliveredIndex = snapshot.index;
    loadMemberships();
    m_hooks.restoreSnapshot(snapshot.state);
    addEvent("snapshot_installed", "up to entry " + std::to_string(snapshot.index.number()));
}

void replica::handle(const peer_message &message, const snapshot_response &response)
{
    if (message.term > term()) {
        adoptTerm(message.term);
        return;
    }
    peer_progress *const peer = findRespondingPeer(message);
    if (peer == nullptr)
        return;
    recordResponse(*peer, response.sentAt);
    if (!peer->transfer || peer->transfer->snapshot->index != response.index)
        return;
    if (response.installed) {
        peer->transfer.reset();
        advanceMatchIndex(message.from, *peer, response.index);
        peer->nextIndex = peer->matchIndex.next();
        peer->inFlightAppends = 0;
    } else if (response.sentAt == toMicroseconds(peer->transfer->lastSentAt)
               && response.nextOffset <= peer->transfer->snapshot->state.size()) {
        peer->transfer->offset = response.nextOffset;
        sendSnapshotChunk(message.from, *peer);
    }
}

} // namespace kingcuptiller
