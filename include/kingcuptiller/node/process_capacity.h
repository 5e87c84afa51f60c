#pragma once

#include "kingcuptiller/relay/traffic_server.h"

#include <cstddef>
#include <cstdint>

namespace kingcuptiller {

// How the memory and the file descriptors of a process are divided among the addresses on which it
// serves, so that clients of one cannot take all that the others need.
struct process_capacity
{
    // Requests of clients at an entry, and calls of operators and upstreams at a control host.
    server_capacity requests;
    server_capacity directory;
    // The readiness and the metrics address.
    server_capacity pages;
    // Frames from other hosts that have arrived in part, in bytes, and connections of other hosts.
    std::uint64_t frameBytes = std::uint64_t{64} * 1024 * 1024;
    std::size_t frameConnections = 4'096;

    bool operator==(const process_capacity &) const = default;
};

[[nodiscard]] process_capacity divideCapacity(std::uint64_t memoryBytes, std::size_t descriptors);

// The number of files that this process may open: `chosen`, unless that is 0 or above the limit of
// the operating system.
[[nodiscard]] std::size_t availableDescriptors(std::size_t chosen);

} // namespace kingcuptiller
