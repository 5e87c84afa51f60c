#pragma once

#include "kingcuptiller/values/time.h"

namespace kingcuptiller {

// When an entry that is told to end stops what.
struct shutdown_plan
{
    // Until then clients may use its address, which the directory has named to them.
    instant addressExpiry;
    // Responses of upstreams are awaited until then. A request whose deadline is later is not sent
    // to an upstream any more.
    instant lastResponse;
    // The process ends then, if not earlier.
    instant processEnd;

    bool operator==(const shutdown_plan &) const = default;
};

// Plans the end of a process that is told at `now` to end and is killed after `shutdownLimit`.
// `addressLifetime` is the lifetime that the directory states for its address, and `delivery` the
// time that clients take to read a response; of this at most a quarter of the limit is set aside.
[[nodiscard]] shutdown_plan planShutdown(instant now, milliseconds shutdownLimit,
                                         milliseconds addressLifetime,
                                         milliseconds delivery = milliseconds(0));

// The longest lifetime of an address with which no client still holds the address of an entry when
// the entry ends; at most `configured`.
[[nodiscard]] milliseconds limitAddressLifetime(milliseconds configured,
                                                milliseconds shutdownLimit);

} // namespace kingcuptiller
