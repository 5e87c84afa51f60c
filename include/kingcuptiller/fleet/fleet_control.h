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

// A command's place in the replicated log.
struct fleet_log_position
{
    log_index index;
    epoch_number term;

    auto operator<=>(const fleet_log_position &) const = default;
};

struct fleet_control_options
{
    // An upstream that was not heard for this long is marked as silent. Announcements may come
    // seconds late, and entries avoid an upstream that does not answer long before.
    milliseconds upstreamHeartbeatTimeout{12'000};
    // An entry that was not heard for this long is no longer named to clients.
    milliseconds entryHeartbeatTimeout{2'500};
    // How long an order may wait for its place in the log.
    milliseconds commitTimeout{2'500};
    // A change of the remaining cold time below this is not worth a command.
    milliseconds coldChangeThreshold{1'000};

    bool operator==(const fleet_control_options &) const = default;
};

struct fleet_control_callbacks
{
    // Appends to the replicated log; nothing when this host is not the leader or is overloaded.
    std::function<std::optional<fleet_log_position>(const std::string &)> propose;
    // Reads the clock and tells whether this host is certainly the leader now.
    std::function<bool()> hasLease;
};

// `ok`, `revision_conflict`, `not_leader` (nothing may have happened; ask again) or
// `change_outcome_unknown`.
using command_result_callback = std::function<void(result_code)>;

// The leader's part of a fleet without threads, sockets and clocks: turns what operators, upstreams
// and entries say into commands, and answers when these are committed. One thread owns it, calls
// `apply` for each committed entry in order and `tick` some times a second.
//
// An order is answered `ok` when it is committed: entries in touch are told at once, and a control
// host that cannot reach a majority cannot commit. An announcement that changes nothing is answered
// without a command.
class fleet_control
{
public:
    fleet_control(const fleet_control_options &options, fleet_control_callbacks hooks);

    void startLeading(instant now);
    void stopLeading();
    [[nodiscard]] bool isLeading() const { return m_leading; }

    void submitCommand(const fleet_command &command, instant now, const command_result_callback &done);
    // An announcement of an upstream; `gone` when it says that it ends.
    void announce(const upstream_incarnation &incarnation, instant now, const command_result_callback &done);
    // The end of an upstream that names only its id.
    void withdraw(const upstream_id &id, instant now, const command_result_callback &done);
    // A sign of life of an entry that takes requests.
    void recordEntryHeartbeat(const serving_entry &entry, instant now);
    void removeEntry(const endpoint_address &address, instant now);

    void tick(instant now);
    // A committed command.
    void apply(fleet_log_position place, const std::string &text);

    [[nodiscard]] const fleet_state &state() const { return m_state; }
    void restore(const std::string &snapshot);
    // See `fleet_change_tracker`.
    [[nodiscard]] fleet_difference differenceSince(std::uint64_t since,
                                                   revision_number version) const
    {
        return m_changes.differenceSince(since, version, m_state);
    }

private:
    struct pending_command
    {
        epoch_number term;
        instant proposed;
        command_result_callback done;
    };

    // What the roster will say of an entry once the last proposal about it is committed.
    struct pending_registration
    {
        std::uint64_t number = 0;
        // Nothing when the entry leaves.
        std::optional<serving_entry> entry;
    };

    void propose(const fleet_command &command, instant now, const command_result_callback &done);
    void proposeRegistration(const registration_command &command, instant now);
    // The entry as proposed, or as committed when no proposal is on its way.
    [[nodiscard]] std::optional<serving_entry> expectedEntry(const endpoint_address &address) const;
    [[nodiscard]] bool changesRegistration(const upstream_incarnation &incarnation) const;
    [[nodiscard]] bool isSuperseded(const upstream_incarnation &incarnation) const;

    fleet_control_options m_options;
    fleet_control_callbacks m_callbacks;
    fleet_state m_state;
    fleet_change_tracker m_changes;
    bool m_leading = false;
    std::map<upstream_id, instant> m_upstreamLastHeartbeat;
    std::map<endpoint_address, instant> m_entryLastHeartbeat;
    std::map<log_index, pending_command> m_pending;
    std::map<endpoint_address, pending_registration> m_pendingRegistrations;
    std::uint64_t m_lastProposalNumber = 0;
};

} // namespace kingcuptiller
