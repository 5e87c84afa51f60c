#include "kingcuptiller/node/shutdown_plan.h"

#include <algorithm>

namespace kingcuptiller {

namespace {

// Clients hold an address for up to this many times its lifetime.
constexpr int heldLifetimes = 3;
// How long directories may go on naming an entry after it has told control that it leaves.
constexpr milliseconds removalTime{500};
// The process must have ended before it is killed, and the last responses must have been written
// before that. Both take at most a part of a very short limit.
constexpr milliseconds exitReserve{300};
constexpr milliseconds lastResponsesTime{150};
constexpr int shortLimitDivisor = 8;
// Clients that read slowly do not keep out the requests of all others.
constexpr int deliveryDivisor = 4;
constexpr milliseconds minAddressLifetime{100};

milliseconds partOf(milliseconds reserve, milliseconds shutdownLimit)
{
    return std::min(reserve, shutdownLimit / shortLimitDivisor);
}

// From the order to end until the end.
milliseconds timeUntilEnd(milliseconds shutdownLimit)
{
    return shutdownLimit - partOf(exitReserve, shutdownLimit);
}

} // namespace

shutdown_plan planShutdown(instant now, milliseconds shutdownLimit, milliseconds addressLifetime,
                           milliseconds delivery)
{
    const instant end = now + timeUntilEnd(shutdownLimit);
    const milliseconds lastResponses =
        std::max(partOf(lastResponsesTime, shutdownLimit),
                 std::min(delivery, shutdownLimit / deliveryDivisor));
    return {std::min(now + removalTime + heldLifetimes * addressLifetime, end), end - lastResponses,
            end};
}

milliseconds limitAddressLifetime(milliseconds configured, milliseconds shutdownLimit)
{
    const milliseconds longest = (timeUntilEnd(shutdownLimit) - removalTime) / heldLifetimes;
    return std::min(configured, std::max(longest, minAddressLifetime));
}

} // namespace kingcuptiller
