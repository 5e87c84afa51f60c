#include "kingcuptiller/node/process_capacity.h"

#include <sys/resource.h>

#include <algorithm>

namespace kingcuptiller {

namespace {

// Shares of the memory. Bodies of requests are copied once for the upstream; responses have as much
// again as the bodies.
constexpr std::uint64_t bodiesDivisor = 4;
constexpr std::uint64_t headsDivisor = 16;
constexpr std::uint64_t framesDivisor = 4;
constexpr std::uint64_t smallServerDivisor = 64;
// What a connection takes beside the requests that are counted, in bytes.
constexpr std::uint64_t bytesPerConnection = 32'768;
constexpr std::uint64_t connectionsMemoryDivisor = 2;
// Shares of the descriptors. An entry needs about as many for upstreams as for clients.
constexpr double requestsShare = 0.4;
constexpr double directoryShare = 0.1;
constexpr double pagesShare = 0.03;
constexpr double framesShare = 0.4;
constexpr std::size_t leastConnections = 16;

std::size_t connections(std::uint64_t memoryBytes, std::size_t descriptors, double share)
{
    const auto byDescriptors = static_cast<std::size_t>(static_cast<double>(descriptors) * share);
    const auto byMemory =
        static_cast<std::size_t>(memoryBytes / connectionsMemoryDivisor / bytesPerConnection);
    return std::max(std::min(byDescriptors, byMemory), leastConnections);
}

} // namespace

process_capacity divideCapacity(std::uint64_t memoryBytes, std::size_t descriptors)
{
    process_capacity capacity;
    capacity.requests = {memoryBytes / bodiesDivisor, memoryBytes / headsDivisor,
                         connections(memoryBytes, descriptors, requestsShare)};
    const std::uint64_t smallServerBytes = memoryBytes / smallServerDivisor;
    capacity.directory = {smallServerBytes, smallServerBytes,
                          connections(memoryBytes, descriptors, directoryShare)};
    capacity.pages = {smallServerBytes, smallServerBytes,
                      connections(memoryBytes, descriptors, pagesShare)};
    capacity.frameBytes = memoryBytes / framesDivisor;
    capacity.frameConnections = connections(memoryBytes, descriptors, framesShare);
    return capacity;
}

std::size_t availableDescriptors(std::size_t chosen)
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return chosen;
    const auto available = static_cast<std::size_t>(limit.rlim_cur);
    return chosen == 0 ? available : std::min(chosen, available);
}

} // namespace kingcuptiller
