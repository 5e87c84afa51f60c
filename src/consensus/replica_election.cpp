#include "kingcuptiller/consensus/replica.h"

#include <algorithm>
#include <tuple>

// Leader election: pre-votes, votes, refusal to vote while a leader may hold a lease, and the
// leader's step-down when it loses contact with the majority.

namespace kingcuptiller {

void replica::restartElectionTimer()
{
    const auto range = static_cast<std::uint64_t>(
        microseconds(m_settings.maximumElectionTimeout - m_settings.minimumElectionTimeout)
            .count());
    m_electionDeadline = m_now + m_settings.minimumElectionTimeout
        + microseconds(static_cast<std::int64_t>(m_hooks.random() % (range + 1)));
}

void replica::adoptTerm(epoch_number term)
{
    m_store.saveVote({term, std::nullopt});
    becomeFollower();
}

void replica::becomeFollower()
{
    if (m_role == replica_role::leader)
        addEvent("leader_lost", "term " + std::to_string(term().number()));
    m_role = replica_role::follower;
    m_leader.reset();
    m_votes.clear();
    m_peers.clear();
    restartElectionTimer();
}

bool replica::refusesToVote() const
{
    // A leader may rely on this replica's last response for its lease until the minimum election
    // timeout has passed. A replica that has just started does not know whether it responded to a
    // leader before the restart.
    const milliseconds wait = m_settings.minimumElectionTimeout;
    return m_now - m_startTime < wait
        || (m_lastLeaderContact && m_now - *m_lastLeaderContact < wait)
        || (m_role == replica_role::leader && m_now < m_leaseEnd);
}

void replica::startElection(bool preVote)
{
    restartElectionTimer();
    if (refusesToVote())
        return;
    m_role = replica_role::candidate;
    m_inPreVote = preVote;
    m_votes.clear();
    m_leader.reset();
    if (!preVote)
        m_store.saveVote({term().next(), m_store.identity()});
    const epoch_number requestedTerm = preVote ? term().next() : term();
    const log_index last = m_store.lastIndex();
    for (const replica_identity &voter : members().voters) {
        if (voter != m_store.identity())
            send(voter, requestedTerm, vote_request{preVote, last, m_store.termAt(last)});
    }
    countVote(m_store.identity());
}

void replica::countVote(const replica_identity &voter)
{
    if (!members().contains(voter))
        return;
    m_votes.insert(voter);
    if (m_votes.size() < members().majority())
        return;
    if (m_inPreVote)
        startElection(false);
    else
        becomeLeader();
}

void replica::becomeLeader()
{
    m_role = replica_role::leader;
    m_votes.clear();
    m_leader = m_store.identity();
    m_leaderSince = m_now;
    m_leaseEnd = m_now;
    m_nextHeartbeatTime = m_now;
    m_uncommittedBytes = 0;
    for (log_index index = m_commitIndex.next(); index <= m_store.lastIndex(); index = index.next())
        m_uncommittedBytes += m_store.entry(index).payload.size();
    m_peers.clear();
    updatePeers();
    m_firstIndexOfTerm = appendNewEntry(record_kind::empty, {});
    addEvent("leader_elected",
             m_store.identity().host.text() + ", term " + std::to_string(term().number()));
}

bool replica::hasUpToDateLog(const vote_request &request) const
{
    const log_index last = m_store.lastIndex();
    return std::tuple(request.lastTerm, request.lastIndex)
        >= std::tuple(m_store.termAt(last), last);
}

void replica::handle(const peer_message &message, const vote_request &request)
{
    addLearnerOrNotifySuperseded(message.from);
    if (request.preVote) {
        const bool granted = message.term > term() && hasUpToDateLog(request) && !refusesToVote();
        send(message.from, granted ? message.term : term(), vote_response{true, granted});
        return;
    }
    // Ignores the request, without a response and without adopting its term: a higher term would
    // force a leader that still holds a lease to step down.
    if (refusesToVote())
        return;
    if (message.term > term())
        adoptTerm(message.term);
    const std::optional<replica_identity> &candidate = m_store.vote().candidate;
    const bool granted = message.term == term() && hasUpToDateLog(request)
        && (!candidate || *candidate == message.from);
    if (granted && !candidate) {
        m_store.saveVote({term(), message.from});
        restartElectionTimer();
    }
    send(message.from, vote_response{false, granted});
}

void replica::handle(const peer_message &message, const vote_response &response)
{
    if (!response.granted) {
        if (message.term > term())
            adoptTerm(message.term);
        return;
    }
    const epoch_number requestedTerm = m_inPreVote ? term().next() : term();
    if (m_role == replica_role::candidate && response.preVote == m_inPreVote
        && message.term == requestedTerm)
        countVote(message.from);
}

void replica::recordLeaderContact(const peer_message &message)
{
    if (message.term > term())
        adoptTerm(message.term);
    else if (m_role == replica_role::candidate)
        becomeFollower();
    m_leader = message.from;
    m_lastLeaderContact = m_now;
    restartElectionTimer();
}

void replica::checkQuorum()
{
    // A leader that gets no responses from a majority steps down soon after its lease has expired.
    // Clients then stop waiting for their proposals to be committed, and the followers that still
    // receive its messages time out and learn that they are partitioned from the majority too.
    if (m_now - std::max(m_leaderSince, m_leaseEnd) > std::min<milliseconds>(
            m_settings.maximumElectionTimeout, m_settings.heartbeatInterval * 5))
        becomeFollower();
}

} // namespace kingcuptiller
