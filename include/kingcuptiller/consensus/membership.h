#pragma once

#include "kingcuptiller/storage/replica_identity.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuptiller {

// The replicas whose votes and acknowledgements count, sorted by host. A membership takes effect
// when its entry is appended, and consecutive memberships differ by one replica, so that any two
// majorities of neighbouring memberships overlap.
struct membership
{
    std::vector<replica_identity> voters;

    bool operator==(const membership &) const = default;

    [[nodiscard]] bool contains(const replica_identity &replica) const;
    // The voter on `host`, or nullptr. The pointer is valid as long as this value.
    [[nodiscard]] const replica_identity *findVoterOnHost(const host_id &host) const;
    [[nodiscard]] std::size_t majority() const { return voters.size() / 2 + 1; }

    [[nodiscard]] membership with(const replica_identity &replica) const;
    [[nodiscard]] membership without(const replica_identity &replica) const;
};

// The form that membership entries and snapshots hold.
[[nodiscard]] std::string encodeMembership(const membership &value);
// Throws `error` with `message_malformed`.
[[nodiscard]] membership decodeMembership(std::string_view text);

} // namespace kingcuptiller
