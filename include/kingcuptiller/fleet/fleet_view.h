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

// Views of the replicated state that control hosts send to entries. An entry receives one full view
// and then differences: full views would saturate its network link when, for example, 240 upstreams
// register one after the other.

namespace kingcuptiller {

// The part of the replicated state that entries need: without the digests of previous
// configurations and without upstreams that are draining or terminated. An entry is a server that
// forwards client requests to upstreams.
struct fleet_view
{
    // `fleet_state::appliedCommands` of the state. An entry never replaces its view by one with a
    // lower number.
    std::uint64_t appliedCommands = 0;
    revision_number version;
    // The configuration document; empty if the receiving entry already has `version`.
    std::string document;
    // Availability zones that are evacuated.
    std::set<zone_name> evacuated;
    // Upstreams in the state `serving`, in order of their ids.
    std::vector<upstream_incarnation> upstreams;
    std::vector<fleet_entry> entries;
    // All control hosts. The id of a host is the IP address at which it is reached.
    std::vector<host_id> controlHosts;

    bool operator==(const fleet_view &) const = default;
};

// The change from one view to a later one. A full view is sent as a difference to an empty view.
struct fleet_difference
{
    // `appliedCommands` of the view to which the difference applies; 0 for a full view.
    std::uint64_t baseAppliedCommands = 0;
    // `appliedCommands` of the resulting view.
    std::uint64_t appliedCommands = 0;
    revision_number version;
    // The configuration document; empty if the receiving entry already has `version`.
    std::string document;
    // All availability zones that are evacuated.
    std::set<zone_name> evacuated;
    // Changed upstreams in any state. `applyDifference` removes those that are not `serving`.
    std::vector<upstream_incarnation> upstreams;
    // All entries; nothing if none has changed.
    std::optional<std::vector<fleet_entry>> entries;
    // All control hosts, as in `fleet_view`.
    std::vector<host_id> controlHosts;

    bool operator==(const fleet_difference &) const = default;
};

// Returns the view that results from applying `difference` to `known`. The base of the difference
// may be older than `known` but not newer: all values in a difference are absolute, so that
// applying changes again is harmless.
[[nodiscard]] fleet_view applyDifference(const fleet_view &known,
                                         const fleet_difference &difference);

// JSON encoding of a difference.
[[nodiscard]] std::string encodeFleetDifference(const fleet_difference &difference);
// Throws `error` with `message_malformed`.
[[nodiscard]] fleet_difference decodeFleetDifference(std::string_view text);

// Records, on a control host, which command last changed the entries and each upstream. A command
// is identified by its number, which is the value of `fleet_state::appliedCommands` after applying
// it.
class fleet_change_tracker
{
public:
    // Must be called after each command with the state to which it has been applied.
    void recordCommand(const fleet_command &command, const fleet_state &state);
    // Must be called when the whole state has been replaced, for example by a snapshot. Entries
    // with an older view then receive a full view.
    void reset(const fleet_state &state);

    // Returns the difference for an entry whose view has `baseAppliedCommands` and whose
    // configuration has `version`. Returns a full view if `baseAppliedCommands` is 0 or lower than
    // at the last call of `reset`. The caller fills in `controlHosts`.
    [[nodiscard]] fleet_difference differenceSince(std::uint64_t baseAppliedCommands,
                                                   revision_number version,
                                                   const fleet_state &state) const;

private:
    // Value of `appliedCommands` at the last reset; no earlier changes are recorded.
    std::uint64_t m_appliedCommandsAtReset = 0;
    std::uint64_t m_entriesChangedAt = 0;
    std::map<upstream_id, std::uint64_t> m_upstreamChangedAt;
};

} // namespace kingcuptiller
