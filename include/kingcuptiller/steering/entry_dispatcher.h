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

// Settings of an entry_dispatcher that do not change after construction.
struct dispatcher_settings
{
    // Region and availability zone in which this entry runs.
    region_name region;
    zone_name zone;
    // Maximum number of requests in flight, over all classes.
    std::uint32_t concurrency = 512;
    // Maximum number of queued requests of each class.
    std::uint32_t queueLimit = 256;
    // Capacity of the link between two regions in bytes per second, in each direction. The default
    // corresponds to 4,000 Mbit/s.
    double linkBytesPerSecond = 500e6;
    // Cap on traffic shift: the maximum share of the requests of an interval of 1 s that may go to
    // another region than in the previous interval. See shift_limiter.
    double shiftCap = 0.2;
    // Time from the start of an upstream until it may receive requests up to its full limit.
    microseconds warmUp = std::chrono::seconds(10);
    // Load-balancing policy; if empty, leastExpectedLatency() is used.
    choice_policy policy;
    // Seed of the random engine used by the policy and for sampling candidates.
    std::uint64_t seed = 1;
};

// Makes all routing decisions of one entry, which is a proxy process that forwards client requests
// to upstreams: which upstream receives a request, and whether the request is sent, queued or
// refused. The class does no input or output and does not read a clock, so the same calls with the
// same times and the same seed produce the same decisions. It is not thread-safe: the caller must
// serialize calls, for example with a mutex. `now` must not decrease from one call to the next. An
// entry may forward requests only while it holds a lease from the control plane; the caller must
// check this before `submit` and again before sending.
//
// Usage: pass the data of each synchronization with the control plane to `applyConfiguration`,
// `applyAssignments`, `applyLoads`, `applyFlows` and `setEntriesInRegion`, then for each client
// request:
//
//     decision first = dispatcher.submit(attributes, now);
//     // forward_decision: send the request; when the attempt has ended, call
//     // dispatcher.attemptFinished(report, now), and
//     //   - answered: the request is done. Cancel other attempts of the ticket and report each as
//     //     cancelled.
//     //   - any other outcome after which the request may be sent again: call
//     //     dispatcher.retry(ticket, now), otherwise dispatcher.abandon(ticket, now).
//     //   - no answer after hedgeDelay(class): call dispatcher.hedge(ticket, now), once.
//     // queued_decision: keep the request; takeReady returns its ticket later.
//     // refused_decision: answer the client; the ticket has ended.
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

    // Replaces the classes of work. Requests in flight or queued keep the settings of their class;
    // a queued request whose class was removed is refused by the next `takeReady`.
    void applyConfiguration(const configuration &current, instant now);

    // Replaces the list of upstreams. An upstream that is no longer listed gets no new requests,
    // and `usage` reports it until its last request has ended.
    void applyAssignments(const std::vector<upstream_assignment> &assignments, instant now);

    // Records load reports of upstreams; an upstream that `loads` does not contain keeps its
    // previous report.
    void applyLoads(const std::vector<upstream_load> &loads, instant now);

    // Sets the baseline of the traffic shift cap for an entry that has just started: to which
    // regions the requests of the whole fleet were sent. Has no effect for a class and origin
    // region for which this entry has already forwarded or refused requests.
    void applyFlows(const std::vector<region_flow> &flows);

    // Sets the number of live entries in this entry's region, including itself; they share the
    // links to other regions. 0 is treated as 1.
    void setEntriesInRegion(std::size_t count);

    // Decides whether to send, queue or refuse a new request. Throws `error` with internal_fault if
    // the ticket is already in use.
    [[nodiscard]] decision submit(const request_attributes &request, instant now);

    // Ends an attempt and frees its slot. A report for an unknown ticket or attempt, such as a late
    // report, is ignored.
    void attemptFinished(const attempt_report &report, instant now);

    // Decides whether to send a request again after all its attempts have ended without an answer.
    // A retry is allowed if the request is idempotent or if the outcome of every attempt proves
    // that the request did not run (shed, connect_refused or not_sent). Otherwise the refusal code
    // is outcome_unknown. The retry can also be refused with retry_budget_spent or with a code that
    // `submit` uses. A retry is never queued, and a refusal ends the ticket.
    [[nodiscard]] decision retry(ticket_id ticket, instant now);

    // Decides whether to send a second attempt to another upstream while the first one is in
    // flight. Refused if the request is not idempotent or if the hedging budget is spent, among
    // other reasons; the refusal does not change the ticket.
    [[nodiscard]] decision hedge(ticket_id ticket, instant now);

    // Returns how long to wait for an answer before calling `hedge`: the 95th percentile of the
    // latency of the class. Zero means that requests of the class must not be hedged.
    [[nodiscard]] microseconds hedgeDelay(const class_name &workClass) const;

    // Ends a ticket without an answer and removes it from its queue. Attempts in flight keep their
    // slots until they are reported with `attemptFinished`.
    void abandon(ticket_id ticket, instant now);

    // Returns the queued tickets that can now be sent or must be refused, in the order of the
    // decisions. Also drops each ticket that has no open attempt and was neither retried nor
    // abandoned by its deadline.
    [[nodiscard]] std::vector<ready_ticket> takeReady(instant now);

    // Returns the number of requests in flight at each upstream that is listed or still has
    // requests in flight, sorted by upstream id.
    [[nodiscard]] std::vector<upstream_usage> usage() const;

    // Returns the smoothed demand of each class, sorted by class name. Refused requests are
    // included, so that the allocation of slots follows what clients request.
    [[nodiscard]] std::vector<class_demand> demand(instant now);

    // Returns the number of requests by class, origin region and destination region, in thousandths
    // of a request and sorted, for the last complete interval in which any were sent.
    [[nodiscard]] std::vector<region_flow> flows(instant now);

    // Returns the number of queued requests over all classes.
    [[nodiscard]] std::size_t queued() const;

private:
    std::unique_ptr<internal::dispatcher_core> m_core;
};

} // namespace kingcuptiller
