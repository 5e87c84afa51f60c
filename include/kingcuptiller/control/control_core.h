#pragma once

#include "kingcuptiller/control/control_state.h"
#include "kingcuptiller/control/event_list.h"
#include "kingcuptiller/control/lease_table.h"
#include "kingcuptiller/control/service_history.h"
#include "kingcuptiller/values/error.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kingcuptiller {

struct control_options
{
    lease_options leases;
    ledger_limits ledger;
    // How often slot shares are planned anew.
    milliseconds planInterval{500};
    // How often the fleet is compared with the replicated state.
    milliseconds collectInterval{50};
    // A call is answered within this time, whatever happens. Below the 2 s limit of a call, so that
    // the caller learns the reason instead of running into its own limit.
    milliseconds answerLimit{1800};

    bool operator==(const control_options &) const = default;
};

// Receives the answer of a call, once: the value, or the error to send back.
template <typename Value>
using reply = std::function<void(const std::variant<Value, error> &)>;

// A command's place in the log. It is committed when an entry with this index and term is applied.
struct log_place
{
    log_index index;
    epoch_number term;

    auto operator<=>(const log_place &) const = default;
};

struct control_hooks
{
    // Appends to the replicated log; nothing when this host is not the leader or is overloaded.
    std::function<std::optional<log_place>(const std::string &)> propose;
    // Reads the clock and tells whether this host is certainly the leader now.
    std::function<bool()> hasLease;
};

// The control service without threads, sockets and clocks: matches calls with the commands they
// become, and keeps the fleet and the replicated state in step. Owned by one thread, which calls
// `tick` at least every 10 ms and `apply` for every committed entry in order.
//
// Calls are answered through their reply: claims and settlements when their commands are committed,
// changes when they are in force everywhere or after `answerLimit` with `change_not_in_force`. A
// reply that is not given when the leadership ends is `not_leader`, and `change_outcome_unknown`
// for a change; all calls are safe to repeat.
class control_core
{
public:
    control_core(const control_options &options, control_hooks hooks);

    // The leadership starts when this host holds a lease and has applied all of its log.
    void startLeading(lease_moment moment);
    void stopLeading();
    [[nodiscard]] bool isLeading() const { return m_leading; }

    void tick(lease_moment moment);
    // A committed entry.
    void apply(log_place place, const std::string &text);

    void claimRequests(const std::vector<claim> &claims, lease_moment moment,
                       const reply<std::vector<claim_answer>> &done);
    void settleRequests(const std::vector<settlement> &settlements, lease_moment moment,
                        const reply<std::size_t> &done);
    void submitChange(const change_request &request, lease_moment moment,
                      const reply<change_answer> &done);
    // Answers at once. Throws `error` with `not_leader` without a lease.
    entry_sync_response syncEntry(const entry_sync_request &request, lease_moment moment);
    // Everything but the replicas. Throws as above.
    [[nodiscard]] state_report report(lease_moment moment) const;

    // The burn report of the fleet, made on `host`. Throws as above.
    [[nodiscard]] burn_report burn(const host_id &host, lease_moment moment) const;

    [[nodiscard]] const control_state &state() const { return m_state; }
    // Replaces the state by that of a snapshot.
    void restore(const std::string &snapshot);
    [[nodiscard]] event_list &events() { return m_events; }

private:
    // What waits for a command: the result, or nothing when it will not come.
    using completion = std::function<void(const command_result *)>;

    struct pending_command
    {
        epoch_number term;
        instant proposed;
        completion done;
    };
    struct waiting_change
    {
        change_answer answer;
        instant until;
        reply<change_answer> done;
    };

    void requireLease() const;
    bool propose(command_body body, lease_moment moment, completion done);
    void finishChange(const change_answer &answer, instant until, const reply<change_answer> &done);
    change_command review(const change_request &request, lease_moment moment) const;
    void answerClaims(const command_result &result, std::vector<claim_answer> &answers) const;
    void updateFleet(lease_moment moment);
    static void limitSize(fleet_update &update);
    void answerChangesInForce(instant now);
    void dropOverdue(instant now);
    void failAll();

    control_options m_options;
    control_hooks m_hooks;
    control_state m_state;
    lease_table m_leases;
    event_list m_events;
    service_history m_history;
    bool m_leading = false;
    bool m_fleetUpdateInFlight = false;
    instant m_now;
    instant m_nextCollect;
    instant m_nextPlan;
    std::map<log_index, pending_command> m_pending;
    std::vector<waiting_change> m_waiting;
};

} // namespace kingcuptiller
