#include "kingcuptiller/consensus/replica.h"

#include <algorithm>
#include <utility>

// Membership: formation of a new fleet, learners, and the replacement of voters that are silent or
// have lost their disk.

namespace kingcuptiller {

namespace {

constexpr milliseconds joinRequestInterval(200);
// A join request expires after this time: it no longer counts for the formation of a fleet. A
// learner that has been silent for longer may be replaced by another incarnation of its host.
constexpr milliseconds joinRequestLifetime(2000);
// The leader stops replicating to a learner that has not responded for this long. A later join
// request of the learner adds it again.
constexpr milliseconds learnerTimeout(10000);

} // namespace

const membership &replica::members() const
{
    static const membership noMembers;
    return m_memberships.empty() ? noMembers : m_memberships.back().value;
}

void replica::loadMemberships()
{
    m_memberships.clear();
    const log_index snapshot = m_store.snapshotIndex();
    if (snapshot > log_index(0))
        m_memberships.push_back({snapshot, decodeMembership(m_store.readSnapshot().membership)});
    for (log_index index = std::max(snapshot, m_store.baseIndex()).next();
         index <= m_store.lastIndex(); index = index.next()) {
        const log_record &entry = m_store.entry(index);
        if (entry.kind == record_kind::membership)
            m_memberships.push_back({index, decodeMembership(entry.payload)});
    }
}

void replica::recordMembership(log_index index, const std::string &payload)
{
    m_memberships.push_back({index, decodeMembership(payload)});
    if (m_role == replica_role::leader)
        updatePeers();
}

void replica::dropMembershipsFrom(log_index index)
{
    while (!m_memberships.empty() && m_memberships.back().index >= index)
        m_memberships.pop_back();
}

const membership &replica::membershipAt(log_index index) const
{
    const auto after = std::find_if(m_memberships.begin(), m_memberships.end(),
                                    [&](const auto &record) { return record.index > index; });
    static const membership noMembers;
    return after == m_memberships.begin() ? noMembers : std::prev(after)->value;
}

void replica::updatePeers()
{
    const log_index changedBy = m_memberships.back().index;
    const membership &previousMembership = membershipAt(log_index(changedBy.number() - 1));
    std::erase_if(m_peers, [&](const auto &peer) {
        return peer.second.voter && !members().contains(peer.first);
    });
    for (const replica_identity &voter : members().voters) {
        if (voter == m_store.identity())
            continue;
        auto [position, added] = m_peers.try_emplace(voter);
        peer_progress &peer = position->second;
        if (added) {
            peer.nextIndex = m_store.lastIndex().next();
            peer.lastContact = m_now;
        }
        peer.voter = true;
        if (changedBy > m_commitIndex && !previousMembership.voters.empty()
            && !previousMembership.contains(voter))
            peer.pendingAdditionIndex = changedBy;
    }
}

bool replica::belongsToNoFleet() const
{
    return members().voters.empty() && m_store.lastIndex() == log_index(0);
}

void replica::requestToJoin()
{
    if (m_now < m_nextJoinRequestTime)
        return;
    m_nextJoinRequestTime = m_now + joinRequestInterval;
    for (const host_id &host : m_joinTargets) {
        if (host == m_store.identity().host)
            continue;
        const auto joinRecord = m_joinRequests.find(host);
        send({host,
              joinRecord == m_joinRequests.end() ? incarnation_id()
                                                 : joinRecord->second.identity.incarnation},
             join_request{m_store.founding() && belongsToNoFleet(), m_settings.hosts});
    }
}

void replica::handle(const peer_message &message, const join_request &request)
{
    const auto joinRecord = m_joinRequests.find(message.from.host);
    // A delayed request of a previous incarnation must not replace the request of the present one.
    if (joinRecord != m_joinRequests.end() && joinRecord->second.identity != message.from
        && m_now - joinRecord->second.receivedAt < joinRequestLifetime)
        return;
    m_joinRequests[message.from.host] = {message.from, request, m_now,
                                         !message.to.incarnation.empty()};
    addLearnerOrNotifySuperseded(message.from);
}

void replica::formFleet()
{
    if (!m_store.founding() || !belongsToNoFleet() || m_settings.hosts.empty()
        || m_settings.hosts.front() != m_store.identity().host)
        return;
    membership founders;
    founders = founders.with(m_store.identity());
    for (const host_id &host : m_settings.hosts) {
        const auto join = m_joinRequests.find(host);
        if (host == m_store.identity().host)
            continue;
        // Only a request that names this incarnation was certainly sent after this replica started.
        // A delayed earlier request may date from before its sender joined a fleet.
        if (join == m_joinRequests.end() || !join->second.sentToThisIncarnation
            || !join->second.request.founding || join->second.request.hosts != m_settings.hosts
            || m_now - join->second.receivedAt > joinRequestLifetime)
            return;
        founders = founders.with(join->second.identity);
    }
    m_store.saveVote({epoch_number(1), m_store.identity()});
    appendNewEntry(record_kind::membership, encodeMembership(founders));
    m_electionDeadline = m_now;
    addEvent("fleet_formed", std::to_string(founders.voters.size()) + " hosts");
}

bool replica::isFromExpectedFounder(const peer_message &message) const
{
    // This replica has sent a founding join request to the present incarnation of the sender's
    // host, which may form a fleet with it. If this replica accepted entries from a fleet that a
    // previous incarnation of that host has formed, two fleets could exist.
    const auto joinRecord = m_joinRequests.find(message.from.host);
    return !belongsToNoFleet() || joinRecord == m_joinRequests.end()
        || joinRecord->second.identity == message.from;
}

void replica::addLearnerOrNotifySuperseded(const replica_identity &identity)
{
    const bool admissible = m_settings.maximumVoters > 0
        || std::find(m_settings.hosts.begin(), m_settings.hosts.end(), identity.host)
            != m_settings.hosts.end();
    if (m_role != replica_role::leader || !admissible || members().contains(identity))
        return;
    const replica_identity *const voter = members().findVoterOnHost(identity.host);
    const auto join = m_joinRequests.find(identity.host);
    const bool joins = join != m_joinRequests.end() && join->second.identity == identity;
    // If another incarnation of the host is a voter and `identity` has not sent a join request, it
    // was a voter before and has been replaced.
    if (voter != nullptr && !joins) {
        if (hasLease(m_now) && m_memberships.back().index <= m_commitIndex)
            send(identity, superseded_notice{});
        return;
    }
    addLearner(identity);
}

void replica::addLearner(const replica_identity &identity)
{
    if (m_peers.contains(identity))
        return;
    for (const auto &[other, peer] : m_peers) {
        if (!peer.voter && other.host == identity.host
            && m_now - peer.lastContact < joinRequestLifetime)
            return;
    }
    std::erase_if(m_peers, [&](const auto &peer) {
        return !peer.second.voter && peer.first.host == identity.host;
    });
    peer_progress learner;
    learner.nextIndex = m_store.lastIndex().next();
    learner.lastContact = m_now;
    learner.catchUpRoundEnd = m_store.lastIndex();
    learner.catchUpRoundStart = m_now;
    m_peers.emplace(identity, learner);
    addEvent("replica_learning",
             identity.host.text() + ", incarnation " + identity.incarnation.text());
}

bool replica::mayChangeMembership() const
{
    // Before the first entry of this leader's term is committed, a membership change of a previous
    // leader may still be pending. Majorities of two concurrent changes need not overlap.
    return m_role == replica_role::leader && m_commitIndex >= m_firstIndexOfTerm
        && m_memberships.back().index <= m_commitIndex;
}

void replica::changeMembership(const membership &value)
{
    appendNewEntry(record_kind::membership, encodeMembership(value));
}

void replica::promoteLearners()
{
    if (!mayChangeMembership())
        return;
    for (const auto &[identity, peer] : m_peers) {
        if (peer.voter || !peer.caughtUp || !isReachable(peer))
            continue;
        if (tryAdmissionStep(identity))
            return;
    }
}

// Makes the next membership change that the admission of `learner` as a voter requires: removes a
// silent voter or adds the learner. Returns false when no change is possible at present.
bool replica::tryAdmissionStep(const replica_identity &learner)
{
    const auto isSilent = [&](const replica_identity &voter) {
        const auto peer = m_peers.find(voter);
        return peer != m_peers.end()
            && m_now - peer->second.lastContact >= m_settings.replacementDelay;
    };
    const replica_identity *const old = members().findVoterOnHost(learner.host);
    if (old != nullptr) {
        if (!isSilent(*old))
            return false;
        removeVoter(*old);
        return true;
    }
    if (m_settings.maximumVoters == 0 || members().voters.size() < m_settings.maximumVoters) {
        changeMembership(members().with(learner));
        return true;
    }
    const auto &voters = members().voters;
    const auto silentVoter = std::find_if(voters.begin(), voters.end(), isSilent);
    if (silentVoter == voters.end())
        return false;
    removeVoter(replica_identity(*silentVoter));
    return true;
}

void replica::removeVoter(const replica_identity &voter)
{
    addEvent("replica_removed", voter.host.text() + ", incarnation " + voter.incarnation.text());
    changeMembership(members().without(voter));
}

void replica::updateSilentPeers()
{
    std::erase_if(m_peers, [&](const auto &peer) {
        return !peer.second.voter && m_now - peer.second.lastContact > learnerTimeout;
    });
    for (auto &[identity, peer] : m_peers) {
        const bool silent = m_now - peer.lastContact >= m_settings.replacementDelay;
        if (silent != peer.silenceReported)
            addEvent(silent ? "replica_lost" : "replica_returned", identity.host.text());
        peer.silenceReported = silent;
    }
}

void replica::handle(const peer_message &message, const superseded_notice &)
{
    // The term of the notice is irrelevant: a replaced incarnation never becomes a voter again.
    if (message.to.incarnation != m_store.identity().incarnation)
        return;
    becomeFollower();
    m_superseded = true;
    addEvent("identity_superseded", "reported by leader " + message.from.host.text());
}

} // namespace kingcuptiller
