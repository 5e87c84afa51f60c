#pragma once

#include <compare>
#include <cstdint>

namespace kingcuptiller {

// The number of requests at an upstream, as the upstream reports it in the headers of a response.
struct upstream_load_report
{
    std::uint32_t running = 0;
    // Requests in the upstream's queue.
    std::uint32_t waiting = 0;
    // The largest number of requests that the upstream runs concurrently.
    std::uint32_t slots = 0;
    // How long work takes on the upstream's machine at present, in percent of the usual time. It
    // changes several times a second, as other work on the machine comes and goes.
    std::uint32_t workTimePercent = 100;

    auto operator<=>(const upstream_load_report &) const = default;
};

} // namespace kingcuptiller
