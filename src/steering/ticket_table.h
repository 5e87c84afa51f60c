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

// An attempt whose result has not been reported yet.
struct open_attempt
{
    std::uint32_t number = 1;
    upstream_index upstream = 0;
    // Bytes taken from the budget of the link to the region of the upstream.
    double linkBytes = 0;
};

// State of a client request from its submission until it has ended and all its attempts are
// reported.
struct ticket_state
{
    ticket_id ticket;
    class_index workClass = 0;
    region_index origin = 0;
    std::uint64_t requestBytes = 0;
    instant deadline;
    bool idempotent = false;
    bool queued = false;
    // True when the request was answered or abandoned; the state is kept only until the open
    // attempts are reported.
    bool ended = false;
    std::uint32_t attempts = 0;
    std::vector<open_attempt> openAttempts;
    // Regions to which the request was sent; a further attempt in one of them does not count as
    // traffic shift.
    std::vector<region_index> triedRegions;
    // The upstream of the attempt that ended last; a retry must go to another one.
    std::optional<upstream_index> lastUpstream;
    // True if the request may have run in an attempt that ended without an answer.
    bool mayHaveRun = false;

    [[nodiscard]] bool wasSentTo(region_index region) const
    {
        return std::find(triedRegions.begin(), triedRegions.end(), region) != triedRegions.end();
    }
    [[nodiscard]] queue_item queueItem() const { return {deadline, ticket}; }
};

// The states of the client requests that have not ended, by ticket id. A request whose attempts
// have all ended and which the caller neither retries nor abandons is dropped after its deadline.
class ticket_table
{
public:
    // Returns null if the ticket is already in use.
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

    // Erases the ticket if it has ended and has no open attempt.
    void eraseIfDone(const ticket_state &state)
    {
        if (state.ended && state.openAttempts.empty())
            erase(state.ticket);
    }

    // Records that all attempts of the request have ended and that the caller must retry or abandon
    // it, so that `expire` can drop it after its deadline.
    void awaitRetryOrAbandon(const ticket_state &state)
    {
        m_awaitingDecision.push({state.deadline.time_since_epoch().count(), state.ticket.number()});
    }

    // Drops tickets that were neither retried nor abandoned by their deadline.
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
