#pragma once

#include "kingcuptiller/entry/work_coordinator.h"

namespace kingcuptiller {

// One sending of a request to an upstream, or the preparation of one.
struct work_coordinator::attempt
{
    std::uint32_t number = 1;
    attempt_id id;
    std::shared_ptr<const upstream_assignment> upstream;
    instant startedAt{};
    // When the claim was requested; its lifetime counts from here.
    instant claimedAt{};
    // An answer to the claim after this time is not used.
    instant claimGivenUpAt{};
    cancel_function cancel;
    // Set when the sending is decided; an attempt is never sent twice.
    bool used = false;
    // The dispatcher has been told its end.
    bool ended = false;
    // Nobody waits for it any more.
    bool abandoned = false;
};

// A client's request from its arrival to the end of its last attempt.
struct work_coordinator::ticket
{
    ticket_id id;
    work_request request;
    work_class promised;
    request_key key;
    region_name origin;
    instant arrivedAt{};
    instant deadline{};
    reply_function reply;
    std::map<std::uint32_t, attempt> attempts;
    bool answered = false;
    // Its deadline passed before it was answered.
    bool expired = false;
    bool queued = false;
    // A release is on its way; its commit decides on the answer.
    bool releasing = false;
    // An attempt was sent whose outcome is open.
    bool mayHaveRun = false;
    result_code lastFailure = result_code::no_upstream;
};

} // namespace kingcuptiller
