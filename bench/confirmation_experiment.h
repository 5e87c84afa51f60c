#pragma once

#include <cstdint>
#include <vector>

// Compares two ways to learn that a change is in force on every node: each node tells control
// (flat), or a relay in each region collects its nodes' confirmations and sends one for a stated
// number of nodes (aggregated). The second follows the aggregated confirmation of "E-MQTT:
// End-to-End Synchronous and Asynchronous Communication Mechanisms in MQTT Protocol".

namespace kingcuptiller::experiments {

struct confirmation_setup
{
    std::uint32_t nodes = 7;
    std::uint32_t regions = 3;
    // Between two syncs of one node, and of one relay.
    double syncIntervalMs = 200;
    // One-way delays.
    double delayWithinRegionMs = 1;
    double delayBetweenRegionsMs = 55;
    // Share of the syncs that are lost; the next sync makes up for it.
    double lossRate = 0.01;
    std::uint32_t changes = 200;
    std::uint64_t seed = 42;
};

struct confirmation_result
{
    // From commit to the leader's knowledge that every node has applied the change.
    double medianMs = 0;
    double p99Ms = 0;
    double longestMs = 0;
    // What the leader receives, and what the whole fleet sends, without regard to changes.
    double leaderMessagesPerSecond = 0;
    double fleetMessagesPerSecond = 0;
    // Confirmations that the leader has to look at for one change.
    double confirmationsPerChange = 0;
};

[[nodiscard]] confirmation_result confirmFlat(const confirmation_setup &setup);
[[nodiscard]] confirmation_result confirmAggregated(const confirmation_setup &setup);

} // namespace kingcuptiller::experiments
