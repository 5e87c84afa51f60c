#pragma once

#include "kingcuptiller/protocol/messages.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/result_code.h"
#include "kingcuptiller/values/time.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <variant>

// What goes into and comes out of the steering decisions of an entry.

namespace kingcuptiller {

// Names one client request within an entry process. The caller numbers its requests and never
// uses a number twice.
using ticket_id = number_identifier<struct ticket_id_tag>;

// What the decisions need to know of a client request.
struct request_attributes
{
    ticket_id ticket;
    class_name workClass;
    // The client's region.
    region_name origin;
    std::uint64_t requestBytes = 0;
    instant deadline;
    // True when the request may be sent more than once. It counts only if its class is idempotent
    // as well.
    bool idempotent = false;

    auto operator<=>(const request_attributes &) const = default;
};

// Send the request to this upstream now. A slot is held until `attemptFinished` reports the
// attempt.
struct forward_decision
{
    // Stays valid and unchanged when the assignment is replaced.
    std::shared_ptr<const upstream_assignment> upstream;
    // 1 for the first sending of a ticket, and so on; identifies the attempt in `attemptFinished`.
    std::uint32_t attempt = 1;

    bool operator==(const forward_decision &other) const
    {
        return attempt == other.attempt
            && (upstream == other.upstream
                || (upstream && other.upstream && *upstream == *other.upstream));
    }
};

// Keep the request; `takeReady` returns it when it may be sent or must be refused.
struct queued_decision
{
    bool operator==(const queued_decision &) const = default;
};

// Answer the client with this code. The request, or for a retry the further attempt, was not run.
struct refused_decision
{
    result_code code = result_code::ok;

    bool operator==(const refused_decision &) const = default;
};

using decision = std::variant<forward_decision, queued_decision, refused_decision>;

// A queued request that has left its queue: `outcome` is a forward_decision or a refused_decision.
struct ready_ticket
{
    ticket_id ticket;
    decision outcome;

    bool operator==(const ready_ticket &) const = default;
};

enum class attempt_outcome {
    // A complete answer that belongs to the request.
    answered,
    // The upstream said that it did not run the request.
    shed,
    // No connection was made, so nothing ran.
    connect_refused,
    // The connection broke or the answer was malformed.
    failed,
    // No answer before the deadline.
    timeout,
    // The entry gave up: the other attempt of a hedged request won, or the client went away.
    cancelled,
    // Nothing was sent, for example because the claim was not granted. Says nothing about the
    // upstream.
    not_sent,
};

// How one attempt ended. Each forward_decision is followed by exactly one report.
struct attempt_report
{
    ticket_id ticket;
    std::uint32_t attempt = 1;
    attempt_outcome outcome = attempt_outcome::answered;
    // From the start of sending to the end of the answer or the failure.
    microseconds latency{0};
    std::uint64_t answerBytes = 0;

    auto operator<=>(const attempt_report &) const = default;
};

} // namespace kingcuptiller
