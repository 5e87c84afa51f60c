#pragma once

#include "kingcuptiller/protocol/messages.h"

#include <compare>
#include <string>
#include <variant>
#include <vector>

// What travels through the replicated log. A command is made by the leader, carries the leader's
// wall time and is applied in log order by `control_state` on every control host. A command may be
// applied under a later leader than the one that made it, so `control_state` checks everything that
// can change in between; it trusts nothing but the command's own words about entries.

namespace kingcuptiller {

// One process of an entry host. Shares, leases and claims belong to the process, not to the host.
struct entry_key
{
    host_id host;
    incarnation_id incarnation;

    auto operator<=>(const entry_key &) const = default;
};

enum class entry_state {
    serving,
    // Still takes requests, but new look-up answers leave it out.
    leaving,
    // Its removal is in force everywhere; it may stop.
    released,
    // A newer process of the same host has registered.
    replaced,
};

struct entry_state_change
{
    entry_key entry;
    entry_state state = entry_state::serving;

    auto operator<=>(const entry_state_change &) const = default;
};

// The limit that the planner wants `entry` to have at `upstream`.
struct share_limit
{
    upstream_id upstream;
    entry_key entry;
    std::uint32_t limit = 0;

    auto operator<=>(const share_limit &) const = default;
};

// What an entry said in a sync: it had applied `applied` and had `usage` in flight.
struct share_confirmation
{
    entry_key entry;
    assignment_sequence applied;
    std::vector<upstream_usage> usage;

    auto operator<=>(const share_confirmation &) const = default;
};

// Changes of the fleet that the leader derived from syncs. Applied in the order of the members.
struct fleet_update
{
    std::vector<entry_identity> joined;
    std::vector<entry_state_change> states;
    // Entries whose lease ran out longer ago than the longest deadline: their slots are free again.
    // The leader renews no lease of such an entry until this command was applied.
    std::vector<entry_key> retired;
    // New upstreams, new incarnations of known ones, and upstreams that became leaving.
    std::vector<upstream_announcement> upstreams;
    std::vector<upstream_id> removed;
    std::vector<share_confirmation> confirmed;
    std::vector<share_limit> limits;

    bool operator==(const fleet_update &) const = default;

    [[nodiscard]] bool empty() const { return *this == fleet_update{}; }
};

struct change_command
{
    change_request request;
    // The leader's review of the planned stops; any code but ok refuses the change. It is part of
    // the command because it depends on demand, which is not replicated.
    result_code review = result_code::ok;
    std::string reviewMessage;

    bool operator==(const change_command &) const = default;
};

struct claims_command
{
    std::vector<claim> claims;

    bool operator==(const claims_command &) const = default;
};

struct settlements_command
{
    std::vector<settlement> settlements;

    bool operator==(const settlements_command &) const = default;
};

// Sizes of the request ledger. A new leader proposes its own settings when the state has others.
struct ledger_limits
{
    milliseconds retention{3'600'000};
    std::uint64_t records = 1'000'000;
    std::uint64_t bodyBytes = std::uint64_t{64} * 1024 * 1024;

    auto operator<=>(const ledger_limits &) const = default;
};

using command_body =
    std::variant<change_command, claims_command, settlements_command, fleet_update, ledger_limits>;

struct command
{
    wall_time time;
    command_body body;

    bool operator==(const command &) const = default;
};

// The answer to a claim, and who holds the key when the code is `request_in_progress`: the leader
// turns that code into `outcome_unknown` when the holder's lease has run out.
struct claim_result
{
    claim_answer answer;
    entry_key holder;

    bool operator==(const claim_result &) const = default;
};

// Nothing, the answer to a change, the answers to claims in their order, or the number of
// settlements that the ledger has taken in.
using command_result =
    std::variant<std::monostate, change_answer, std::vector<claim_result>, std::size_t>;

// Text form in the log. `decodeCommand` throws `error` with `message_malformed`.
[[nodiscard]] std::string encodeCommand(const command &value);
[[nodiscard]] command decodeCommand(const std::string &text);

} // namespace kingcuptiller
