#pragma once

#include "kingcuptiller/steering/class_queue.h"
#include "kingcuptiller/steering/request.h"
#include "kingcuptiller/steering/steering_index.h"
#include "upstream_table.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace kingcuptiller::internal {

// One sending that was not reported yet.
struct open_attempt
{
    std::uint32_t number = 1;
    upstream_index upstream = 0;
    // Bytes taken from the link's budget.
    double linkBytes = 0;
};

// A request from `submit` until its answer.
struct ticket_state
{
    ticket_id ticket;
    class_index workClass = 0;
    region_index origin = 0;
    std::uint64_t requestBytes = 0;
    instant deadline;
    bool idempotent = false;
    bool queued = false;
    // Answered, refused or abandoned; kept only until the open attempts are reported.
    bool ended = false;
    std::uint32_t attempts = 0;
    std::vector<open_attempt> openAttempts;
    // Regions that the request was sent to; a further attempt there is no movement.
    std::vector<region_index> triedRegions;
    // The upstream of the attempt that ended last; a retry goes to another one.
    std::optional<upstream_index> lastUpstream;
    // An attempt ended in a way that leaves open whether the request ran.
    bool mayHaveRun = false;

    [[nodiscard]] bool wasSentTo(region_index region) const
    {
        return std::find(triedRegions.begin(), triedRegions.end(), region) != triedRegions.end();
    }
    [[nodiscard]] queue_item queueItem() const { return {deadline, ticket}; }
};

// The requests that an entry has in hand, by ticket. Tickets whose attempts have all ended and
// that nobody decides on any more are dropped after their deadline.
class ticket_table
{
public:
    // Null when the ticket is in use.
    ticket_state *add(const ticket_state &state)
    {
        const auto [found, isNew] = m_tickets.try_emplace(state.ticket.number(), state);
        return isNew ? &found->second : nullptr;
    }

    [[nodiscard]] ticket_state *find(ticket_id ticket)
    {
        const auto found = m_tickets.find(ticket.number());
        return found == m_tickets.end() ? nullptr : &found->second;
    }

    void erase(ticket_id ticket) { m_tickets.erase(ticket.number()); }

    // Erases a ticket that is over and has no open attempt.
    void eraseIfDone(const ticket_state &state)
    {
        if (state.ended && state.openAttempts.empty())
            erase(state.ticket);
    }

    // Notes that the ticket waits for `retry` or `abandon`.
    void expectDecision(const ticket_state &state)
    {
        m_awaitingDecision.push({state.deadline.time_since_epoch().count(), state.ticket.number()});
    }

    // Drops tickets that were still undecided at their deadline.
    void expire(instant now)
    {
        while (!m_awaitingDecision.empty()
               && m_awaitingDecision.top().first <= now.time_since_epoch().count()) {
            const auto found = m_tickets.find(m_awaitingDecision.top().second);
            m_awaitingDecision.pop();
            if (found != m_tickets.end() && found->second.openAttempts.empty()
                && !found->second.queued)
                m_tickets.erase(found);
        }
    }

private:
    using deadline_entry = std::pair<std::int64_t, std::uint64_t>;

    std::unordered_map<std::uint64_t, ticket_state> m_tickets;
    std::priority_queue<deadline_entry, std::vector<deadline_entry>, std::greater<deadline_entry>>
        m_awaitingDecision;
};

} // namespace kingcuptiller::internal
