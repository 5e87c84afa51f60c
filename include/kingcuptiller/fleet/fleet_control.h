#pragma once

#include "kingcuptiller/fleet/fleet_state.h"
#include "kingcuptiller/fleet/fleet_view.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcuptiller {

// Position of a command in the replicated Raft log.
struct fleet_log_position
{
    log_index index;
    epoch_number term;

    auto operator<=>(const fleet_log_position &) const = default;
};

struct fleet_control_options
{
    // An upstream whose last heartbeat is this old is marked as silent. The timeout is long because
    // heartbeats may arrive seconds late, and because entries stop using an upstream that does not
    // respond much earlier, by their own observations.
    milliseconds upstreamHeartbeatTimeout{12'000};
    // An entry whose last heartbeat is this old is removed, so that clients are no longer sent to
    // it.
    milliseconds entryHeartbeatTimeout{2'500};
    // Time after which a proposed command that has not been committed is reported to its caller as
    // `change_outcome_unknown`.
    milliseconds commitTimeout{2'500};
    // An increase of an upstream's remaining cold time by no more than this is not replicated. An
    // upstream is cold while it has just started and its caches are empty.
    milliseconds coldChangeThreshold{1'000};

    bool operator==(const fleet_control_options &) const = default;
};

struct fleet_control_callbacks
{
    // Appends an encoded command to the replicated log. Returns nothing when this host is not the
    // leader or is overloaded.
    std::function<std::optional<fleet_log_position>(const std::string &)> propose;
    // Whether this host holds a valid leader lease according to the current clock. While it does,
    // no other host can be the leader.
    std::function<bool()> hasLease;
};

// Receives the result of a command:
// - `ok`: the command is committed, or had no effect to replicate;
// - `revision_conflict`: the configuration is based on a version that is not the current one;
// - `not_leader`: the command was not proposed, and may be sent again;
// - `change_outcome_unknown`: the command was proposed, and may or may not become committed.
using command_result_callback = std::function<void(result_code)>;

// Replicated state machine of a control host, and the leader's logic that feeds it. The leader
// turns requests of operators, heartbeats of upstreams and heartbeats of entries into commands of
// the replicated log, and reports the result when a command is committed. The class uses no
// threads, sockets or clocks. It is not thread-safe: one thread calls it, passes each committed log
// record to `apply` in log order, and calls `tick` several times a second.
//
// A command is reported as `ok` as soon as it is committed, without waiting for the entries: those
// that are connected receive the change immediately, and a control host that cannot reach a
// majority cannot commit. A heartbeat that changes nothing in the state is reported as `ok` without
// a command.
class fleet_control
{
public:
    fleet_control(const fleet_control_options &options, fleet_control_callbacks callbacks);

    // Restarts all heartbeat timeouts at `now`.
    void startLeading(instant now);
    // Reports all pending commands as `change_outcome_unknown`.
    void stopLeading();
    [[nodiscard]] bool isLeading() const { return m_leading; }

    // Proposes a command of an operator.
    void submitCommand(const fleet_command &command, instant now,
                       const command_result_callback &done);
    // Handles a heartbeat of an upstream. Its state is `terminated` when the upstream reports its
    // own end.
    void announce(const upstream_incarnation &incarnation, instant now,
                  const command_result_callback &done);
    // Marks the known incarnation of an upstream as terminated.
    void withdraw(const upstream_id &id, instant now, const command_result_callback &done);
    // Handles a heartbeat of an entry that accepts client requests. Adds the entry to the state if
    // it is not there.
    void recordEntryHeartbeat(const serving_entry &entry, instant now);
    void removeEntry(const endpoint_address &address, instant now);

    // Checks the timeouts of pending commands, upstreams and entries.
    void tick(instant now);
    // Applies the committed command `text` and reports its result to the caller who proposed it.
    // Throws `error` with `message_malformed`.
    void apply(fleet_log_position position, const std::string &text);

    [[nodiscard]] const fleet_state &state() const { return m_state; }
    // Replaces the state by a snapshot. Throws `error` with `message_malformed`.
    void restore(const std::string &snapshot);
    // See `fleet_change_tracker::differenceSince`.
    [[nodiscard]] fleet_difference differenceSince(std::uint64_t baseAppliedCommands,
                                                   revision_number version) const
    {
        return m_changes.differenceSince(baseAppliedCommands, version, m_state);
    }

private:
    struct pending_command
    {
        epoch_number term;
        instant proposedAt;
        command_result_callback done;
    };

    // The state of an entry after the last proposed command about it, which is not yet committed.
    struct pending_entry_change
    {
        // Identifies the proposal, so that only its own result clears this record.
        std::uint64_t proposalNumber = 0;
        // Empty when the command removes the entry.
        std::optional<serving_entry> entry;
    };

    void propose(const fleet_command &command, instant now, const command_result_callback &done);
    void proposeRegistration(const registration_command &command, instant now);
    // The entry after all pending commands; the committed one when no command about it is pending.
    [[nodiscard]] std::optional<serving_entry> expectedEntry(const endpoint_address &address) const;
    // Whether the heartbeat differs from the state enough to be replicated.
    [[nodiscard]] bool needsReplication(const upstream_incarnation &incarnation) const;
    // Whether an incarnation that started later, under another id, has taken over the address.
    [[nodiscard]] bool isSuperseded(const upstream_incarnation &incarnation) const;

    fleet_control_options m_options;
    fleet_control_callbacks m_callbacks;
    fleet_state m_state;
    fleet_change_tracker m_changes;
    bool m_leading = false;
    std::map<upstream_id, instant> m_upstreamLastHeartbeat;
    std::map<endpoint_address, instant> m_entryLastHeartbeat;
    std::map<log_index, pending_command> m_pendingCommands;
    std::map<endpoint_address, pending_entry_change> m_pendingEntryChanges;
    std::uint64_t m_lastProposalNumber = 0;
};

} // namespace kingcuptiller
