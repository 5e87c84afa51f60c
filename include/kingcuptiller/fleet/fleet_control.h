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

// Position of a command in the replicated log: its index and the Raft term of the leader that
// proposed it.
struct fleet_log_position
{
    log_index index;
    epoch_number term;

    auto operator<=>(const fleet_log_position &) const = default;
};

struct fleet_control_options
{
    // An upstream without a heartbeat for this long is marked as silent: entries then send requests
    // to it only if no other upstream is available. The timeout is long because heartbeats may
    // arrive seconds late. An upstream that does not respond to requests is avoided much earlier,
    // because each entry observes this by itself.
    milliseconds upstreamHeartbeatTimeout{12'000};
    // An entry (a server that forwards client requests to upstreams) without a heartbeat for this
    // long is marked as absent, so that clients are no longer sent to it.
    milliseconds entryHeartbeatTimeout{2'500};
    // An absent entry is removed after this time. Until then the others leave it its part of what
    // all may send together, because it may be about to return.
    milliseconds entryRemovalTimeout{60'000};
    // Time after which a proposed command that has not been committed is reported to its caller as
    // `change_outcome_unknown`.
    milliseconds commitTimeout{2'500};
    // An upstream is cold while it has just started and its caches are empty. A report that it
    // stays cold for longer than its previous report implies is replicated if the difference
    // exceeds this threshold. Heartbeats arrive with different delays.
    milliseconds coldChangeThreshold{250};
    // An upstream at whose address a later incarnation is registered is itself registered once its
    // heartbeats have continued for this long. Delayed heartbeats of an ended upstream arrive
    // together.
    milliseconds contestedAddressDelay{1'000};

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

// Names one heartbeat of an upstream.
struct heartbeat_number
{
    upstream_id id;
    // As in `upstream_incarnation`.
    std::int64_t startTimeMs = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const heartbeat_number &) const = default;
};

// Receives the result of a command or heartbeat:
// - `ok`: it is committed, or changes nothing and needs no command;
// - `revision_conflict`: the configuration is based on a version that is not the current one;
// - `announcement_superseded`: the heartbeat is not taken, because it seems to be a delayed one;
// - `not_leader`: no command was proposed; the caller may try again, here or at another host;
// - `change_outcome_unknown`: a command was proposed, and may or may not be committed later.
using command_result_callback = std::function<void(result_code)>;

// Control logic of one control host. It holds the replicated state, and on the leader it turns
// requests of operators, heartbeats of upstreams and heartbeats of entries into commands of the
// replicated log. The result of a request or heartbeat is reported when its command is committed.
//
// A result is `ok` as soon as the command is committed, without waiting until the entries have
// received the change. Entries that are connected to a control host are sent it immediately, and a
// control host that cannot reach a majority cannot commit and so never reports `ok` for a command.
// A heartbeat that changes nothing is reported as `ok` without a command.
//
// Heartbeats may arrive late, repeatedly and in a different order. `startTimeMs` and `sequence`
// order those of one upstream. No result is `ok` while the state contradicts the heartbeat, unless
// a later heartbeat of the same incarnation has arrived.
//
// The class uses no threads, sockets or clocks. It is not thread-safe: one thread calls it, passes
// each committed command to `apply` in log order, and calls `tick` several times a second.
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
    // Handles a heartbeat of an upstream. `incarnation.state` is `terminated` if the upstream
    // announces that it ends.
    void announce(const upstream_incarnation &incarnation, instant now,
                  const command_result_callback &done);
    // Whether a heartbeat changes nothing in the replicated state, as this host knows it. Such a
    // heartbeat needs no answer of the leader.
    [[nodiscard]] bool isUnchanged(const upstream_incarnation &incarnation, instant now) const;
    // Handles heartbeats of upstreams and entries that changed nothing, which other hosts have
    // answered.
    void recordUnchangedHeartbeats(const std::vector<heartbeat_number> &upstreams,
                                   const std::vector<endpoint_address> &entries, instant now);
    // Handles the message of an upstream that it ends, which contains only its id: marks the stored
    // incarnation as terminated. `startTimeMs` names the incarnation that was known while the
    // upstream was waiting for the answer; nothing if none was. The result is `revision_conflict`
    // if another incarnation is stored: the message may be a delayed one of an earlier incarnation.
    void withdraw(const upstream_id &id, std::optional<std::int64_t> startTimeMs, instant now,
                  const command_result_callback &done);
    // Handles a heartbeat of an entry, in which it reports its state. Stores the entry if it has
    // changed.
    void recordEntryHeartbeat(const fleet_entry &entry, instant now);

    // Checks the timeouts of pending commands, upstreams and entries.
    void tick(instant now);
    // Applies a committed command in the encoding of `encodeFleetCommand`, and reports the result
    // if this host proposed it. Throws `error` with `message_malformed`.
    void apply(fleet_log_position position, const std::string &text, instant now);

    [[nodiscard]] const fleet_state &state() const { return m_state; }
    // Replaces the state by a snapshot. Throws `error` with `message_malformed`.
    void restore(const std::string &snapshot);
    // See `fleet_change_tracker::differenceSince`. `version` is the configuration version that the
    // entry already has.
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

    // The latest heartbeat of an upstream that changed nothing or registered the upstream.
    struct heartbeat_record
    {
        instant receivedAt;
        std::int64_t startTimeMs = 0;
        std::uint64_t sequence = 0;
    };

    // The first heartbeat of an upstream whose address a later incarnation has.
    struct contested_upstream
    {
        std::int64_t startTimeMs = 0;
        std::uint64_t sequence = 0;
        instant firstHeartbeat;
    };

    // The last proposed change of an entry whose command is not yet committed.
    struct pending_entry_change
    {
        // Number of the proposal, so that only the result of this proposal removes the record.
        std::uint64_t proposalNumber = 0;
        // The stored entry; nothing if the entry is removed.
        std::optional<fleet_entry> entry;
    };

    // Return whether the log has taken the command.
    bool propose(const fleet_command &command, instant now, const command_result_callback &done);
    bool proposeRegistration(const registration_command &command, instant now);
    // The entry as it will be if all pending commands are committed.
    [[nodiscard]] std::optional<fleet_entry> expectedEntry(const endpoint_address &address) const;
    // Whether the heartbeat is not outdated and changes the stored incarnation in more than its
    // sequence number. A change of the remaining cold time counts only if the time exceeds the
    // expected one by more than `coldChangeThreshold` or decreases to 0.
    [[nodiscard]] bool needsReplication(const upstream_incarnation &incarnation, instant now) const;
    // How long the stored incarnation is still cold according to its last replicated report. 0 if
    // the time of that report is unknown.
    [[nodiscard]] milliseconds expectedColdTime(const upstream_incarnation &stored,
                                                instant now) const;
    // Whether an incarnation that started later, under another id, has the address.
    [[nodiscard]] bool isAddressContested(const upstream_incarnation &incarnation) const;
    // Records the heartbeat of an upstream whose address is contested. Returns whether its
    // heartbeats have continued for `contestedAddressDelay`.
    [[nodiscard]] bool continuesToAnnounce(const upstream_incarnation &incarnation, instant now);
    // Whether the heartbeat belongs to an incarnation that a later one has replaced, or seems to.
    [[nodiscard]] bool isSuperseded(const upstream_incarnation &incarnation, instant now);
    // Adds to `command` the entries whose timeouts have passed.
    void addSilentEntries(registration_command &command, instant now) const;
    // The upstreams whose heartbeat timeout has passed, as they are to be stored.
    [[nodiscard]] std::vector<upstream_incarnation> newlySilentUpstreams(instant now) const;
    void recordColdReports(const registration_command &command, instant now);
    // Restarts the heartbeat timeout, unless the heartbeat is a copy or an earlier one.
    void recordHeartbeat(const heartbeat_number &heartbeat, instant now);

    fleet_control_options m_options;
    fleet_control_callbacks m_callbacks;
    fleet_state m_state;
    fleet_change_tracker m_changes;
    bool m_leading = false;
    std::map<upstream_id, heartbeat_record> m_upstreamHeartbeats;
    std::map<upstream_id, contested_upstream> m_contestedUpstreams;
    // When this host applied the last report that an upstream is cold.
    std::map<upstream_id, instant> m_coldReportedAt;
    std::map<endpoint_address, instant> m_entryLastHeartbeat;
    std::map<log_index, pending_command> m_pendingCommands;
    std::map<endpoint_address, pending_entry_change> m_pendingEntryChanges;
    std::uint64_t m_lastProposalNumber = 0;
};

} // namespace kingcuptiller
