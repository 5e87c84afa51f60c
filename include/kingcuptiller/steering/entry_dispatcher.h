#pragma once

#include "kingcuptiller/protocol/messages.h"
#include "kingcuptiller/steering/choice_policy.h"
#include "kingcuptiller/steering/request.h"
#include "kingcuptiller/values/configuration.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace kingcuptiller {

namespace internal {
class dispatcher_core;
} // namespace internal

// The fixed facts and hooks of an entry's decisions.
struct dispatcher_settings
{
    // Where this entry runs.
    region_name region;
    zone_name zone;
    // Requests that the entry may have in flight over all classes.
    std::uint32_t concurrency = 512;
    // Requests that may wait for each class.
    std::uint32_t queueLimit = 256;
    // Bytes a second on the link between two regions, in each direction (4,000 Mbit/s).
    double linkBytesPerSecond = 500e6;
    // The most that may move to other regions in a second, as a share of the arrivals.
    double shiftCap = 0.2;
    // How long a new upstream takes to get its full limit.
    microseconds warmUp = std::chrono::seconds(10);
    // How upstreams are chosen; empty means leastExpectedLatency().
    choice_policy policy;
    // Seed of the engine that the policy and the sampling draw from.
    std::uint64_t seed = 1;
};

// All steering decisions of one entry host: which upstream takes a request, and whether it is sent,
// queued or refused. The class reads no clock and does no input or output; the same calls with the
// same times and the same seed make the same decisions. Not thread-safe: the caller holds a mutex.
// `now` never goes backwards between two calls. Whether the entry holds its lease is the caller's
// check, made before `submit` and again before sending.
//
// Use: apply what each sync answer brought, then for each client request
//
//     decision first = dispatcher.submit(facts, now);
//     // forward_decision: send; when the attempt has ended, dispatcher.finished(report, now), and
//     //   - answered: done. Cancel other attempts of the ticket and report each as cancelled.
//     //   - any other outcome that may be sent again: dispatcher.retry(ticket, now), otherwise
//     //     dispatcher.abandon(ticket, now).
//     //   - no answer after hedgeDelay(class): dispatcher.hedge(ticket, now), once.
//     // queued_decision: takeReady returns the ticket later.
//     // refused_decision: answer the client; the ticket is over.
//
// Call `takeReady` after every `attemptFinished` and at least every 10 ms while requests are
// queued.
class entry_dispatcher
{
public:
    explicit entry_dispatcher(dispatcher_settings settings);
    ~entry_dispatcher();
    entry_dispatcher(entry_dispatcher &&) noexcept;
    entry_dispatcher &operator=(entry_dispatcher &&) noexcept;

    // Replaces the classes of work. Requests in flight or queued keep the rules of their class; a
    // queued request whose class is gone is refused by the next `takeReady`.
    void applyConfiguration(const configuration &current, instant now);

    // Replaces the list of upstreams. Upstreams that are no longer listed get no new work, and are
    // still reported by `usage` until their last request has ended.
    void applyAssignments(const std::vector<upstream_assignment> &assignments, instant now);

    // Takes over load reports; upstreams that are not listed keep their last one.
    void applyLoads(const std::vector<upstream_load> &loads, instant now);

    // The baseline of the shift cap for an entry that has just started: where the fleet's requests
    // went. Has no effect for a class and origin that this entry has already forwarded itself.
    void applyFlows(const std::vector<region_flow> &flows);

    // Live entries in this entry's region, itself included; they share the links. At least 1.
    void setEntriesInRegion(std::size_t count);

    // Decides on a new request. Throws `error` with internal_fault if the ticket is in use.
    [[nodiscard]] decision submit(const request_attributes &request, instant now);

    // Ends an attempt and frees its slot. An unknown ticket or attempt is ignored, so a late report
    // does no harm.
    void attemptFinished(const attempt_report &report, instant now);

    // Decides on sending a request again after all its attempts have ended without an answer.
    // Allowed when the request is idempotent, or when the last outcome was shed, connect_refused or
    // not_sent. For a non-idempotent request whose outcome is open the refusal is outcome_unknown;
    // the other refusals are retry_budget_spent and those of `submit`. Never queues. A refusal ends
    // the ticket.
    [[nodiscard]] decision retry(ticket_id ticket, instant now);

    // Decides on a second attempt, at another upstream, beside the one in flight. Refused for a
    // request that is not idempotent and when the hedging budget is spent; a refusal leaves the
    // ticket as it is.
    [[nodiscard]] decision hedge(ticket_id ticket, instant now);

    // How long to wait for an answer before `hedge`: the 95th percentile of the class. Zero means
    // that the class is not to be hedged.
    [[nodiscard]] microseconds hedgeDelay(const class_name &workClass) const;

    // Ends a ticket without an answer, also while it is queued. Attempts in flight still hold their
    // slots until they are reported.
    void abandon(ticket_id ticket, instant now);

    // Queued tickets that may now be sent or must be refused, in the order of the decisions. Also
    // forgets tickets that were neither retried nor abandoned by their deadline.
    [[nodiscard]] std::vector<ready_ticket> takeReady(instant now);

    // In-flight requests of each upstream that is assigned or still has requests, sorted by id.
    [[nodiscard]] std::vector<upstream_usage> usage() const;

    // Smoothed demand of each class, sorted by name: refused requests are part of it, so that slot
    // shares follow what clients ask for.
    [[nodiscard]] std::vector<class_demand> demand(instant now);

    // Requests of the last whole interval by class, origin and destination, sorted.
    [[nodiscard]] std::vector<region_flow> flows(instant now);

    // Requests that wait in the queues.
    [[nodiscard]] std::size_t queued() const;

private:
    std::unique_ptr<internal::dispatcher_core> m_core;
};

} // namespace kingcuptiller
