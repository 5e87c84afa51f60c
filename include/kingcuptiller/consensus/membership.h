#pragma once

#include "kingcuptiller/storage/replica_identity.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuptiller {

// The voting replicas (voters) of a fleet, sorted by host. A fleet is a Raft cluster: the control
// hosts that replicate one log. Only votes and acknowledgements of voters count towards a majority.
// As in Raft's single-server membership changes, a membership takes effect as soon as its log entry
// is appended, and consecutive memberships differ by one replica, so that any majority of the old
// one overlaps any majority of the new one.
struct membership
{
    std::vector<replica_identity> voters;

    bool operator==(const membership &) const = default;

    [[nodiscard]] bool contains(const replica_identity &replica) const;
    // Returns the voter on `host`, or nullptr when no voter runs there. The pointer is valid until
    // `voters` is modified or destroyed.
    [[nodiscard]] const replica_identity *findVoterOnHost(const host_id &host) const;
    [[nodiscard]] std::size_t majority() const { return voters.size() / 2 + 1; }

    // Returns a membership that includes `replica`, which is not added twice.
    [[nodiscard]] membership with(const replica_identity &replica) const;
    // Returns a membership that excludes `replica`; no change if it is not a voter.
    [[nodiscard]] membership without(const replica_identity &replica) const;
};

// Serializes a membership to the JSON text that membership log entries and snapshots store.
[[nodiscard]] std::string encodeMembership(const membership &value);
// Parses the output of `encodeMembership`. Throws `error` with `message_malformed` when the text is
// not valid JSON, a field is missing or the voters are not sorted.
[[nodiscard]] membership decodeMembership(std::string_view text);

} // namespace kingcuptiller
