#pragma once

#include "kingcuptiller/protocol/messages.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/result_code.h"
#include "kingcuptiller/values/time.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <variant>

// Input and output types of entry_dispatcher.

namespace kingcuptiller {

// Identifies one client request within an entry process. The caller numbers its requests and never
// reuses a number.
using ticket_id = number_identifier<struct ticket_id_tag>;

// The attributes of a client request that routing decisions depend on.
struct request_attributes
{
    ticket_id ticket;
    class_name workClass;
    // The client's region.
    region_name origin;
    std::uint64_t requestBytes = 0;
    instant deadline;
    // True if the client allows the request to be executed more than once. It is treated as
    // idempotent only if its class is configured as idempotent, too.
    bool idempotent = false;

    auto operator<=>(const request_attributes &) const = default;
};

// Send the request to this upstream now. The attempt occupies a slot until it is reported with
// `entry_dispatcher::attemptFinished`.
struct forward_decision
{
    // Remains valid and unchanged when the assignment of upstreams is replaced.
    std::shared_ptr<const upstream_assignment> upstream;
    // Number of the attempt within its ticket, starting at 1; identifies the attempt in its report.
    std::uint32_t attempt = 1;

    bool operator==(const forward_decision &other) const
    {
        return attempt == other.attempt
            && (upstream == other.upstream
                || (upstream && other.upstream && *upstream == *other.upstream));
    }
};

// Keep the request. `entry_dispatcher::takeReady` returns its ticket when it can be sent or must be
// refused.
struct queued_decision
{
    bool operator==(const queued_decision &) const = default;
};

// Answer the client with this code. The request was not sent; for a retry or a hedge, no further
// attempt was sent.
struct refused_decision
{
    result_code code = result_code::ok;

    bool operator==(const refused_decision &) const = default;
};

using decision = std::variant<forward_decision, queued_decision, refused_decision>;

// A request that has left its queue; `outcome` is a forward_decision or a refused_decision.
struct ready_ticket
{
    ticket_id ticket;
    decision outcome;

    bool operator==(const ready_ticket &) const = default;
};

enum class attempt_outcome {
    // A complete and valid answer to the request was received.
    answered,
    // The upstream rejected the request without running it.
    shed,
    // The connection could not be established, so the request did not run.
    connect_refused,
    // The connection failed or the answer was malformed.
    failed,
    // No answer before the deadline.
    timeout,
    // The entry cancelled the attempt: another attempt of the request was answered first, or the
    // client disconnected.
    cancelled,
    // The request was not sent, for example because the entry failed to obtain the exclusive right
    // to run it. Does not affect the failure statistics of the upstream.
    not_sent,
};

// Result of one attempt. The caller must report exactly one for each forward_decision.
struct attempt_report
{
    ticket_id ticket;
    std::uint32_t attempt = 1;
    attempt_outcome outcome = attempt_outcome::answered;
    // Time from the start of sending to the end of the answer or to the failure.
    microseconds latency{0};
    std::uint64_t answerBytes = 0;

    auto operator<=>(const attempt_report &) const = default;
};

} // namespace kingcuptiller
