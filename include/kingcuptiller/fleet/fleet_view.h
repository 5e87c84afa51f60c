#pragma once

#include "kingcuptiller/fleet/fleet_state.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// What entries are told of the fleet's state. After the first whole view they get differences: 240
// upstreams that announce themselves one after the other would fill an entry's link with whole
// views.

namespace kingcuptiller {

// The state as an entry uses it: without the memory of former configurations and upstreams.
struct fleet_view
{
    // `fleet_state::appliedCommands` of the state; an entry never goes back to a smaller one.
    std::uint64_t appliedCommands = 0;
    revision_number version;
    // Empty when the entry has this version already.
    std::string document;
    std::set<zone_name> evacuated;
    // Those that serve, by id.
    std::vector<upstream_incarnation> upstreams;
    std::vector<serving_entry> entries;
    // All control hosts, by the IP address at which they are reached.
    std::vector<host_id> controlHosts;

    bool operator==(const fleet_view &) const = default;
};

// What turns one view into a later one.
struct fleet_difference
{
    // `appliedCommands` of the view that it changes; 0 for a whole view.
    std::uint64_t since = 0;
    std::uint64_t appliedCommands = 0;
    revision_number version;
    std::string document;
    std::set<zone_name> evacuated;
    // Those that changed, in any state.
    std::vector<upstream_incarnation> upstreams;
    // Nothing when they did not change.
    std::optional<std::vector<serving_entry>> entries;
    std::vector<host_id> controlHosts;

    bool operator==(const fleet_difference &) const = default;
};

// The view after `difference`, which must be a whole one or build on `known` or an older view.
[[nodiscard]] fleet_view applyDifference(const fleet_view &known, const fleet_difference &difference);

[[nodiscard]] std::string encodeFleetDifference(const fleet_difference &difference);
// Throws `error` with `message_malformed`.
[[nodiscard]] fleet_difference decodeFleetDifference(std::string_view text);

// Remembers on a control host when each part of the state changed last.
class fleet_change_tracker
{
public:
    // A command was applied to `state`.
    void recordCommand(const fleet_command &command, const fleet_state &state);
    // The state was replaced as a whole; entries that are behind it get whole views.
    void reset(const fleet_state &state);

    // What an entry needs that has the view of `since` commands and the configuration `version`.
    // The control hosts are left to the caller.
    [[nodiscard]] fleet_difference differenceSince(std::uint64_t since, revision_number version,
                                                   const fleet_state &state) const;

private:
    std::uint64_t m_trackedSince = 0;
    std::uint64_t m_entriesChangedAt = 0;
    std::map<upstream_id, std::uint64_t> m_upstreamChangedAt;
};

} // namespace kingcuptiller
