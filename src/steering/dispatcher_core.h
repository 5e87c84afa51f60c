#pragma once

#include "kingcuptiller/steering/admission_limits.h"
#include "kingcuptiller/steering/class_meter.h"
#include "kingcuptiller/steering/class_queue.h"
#include "kingcuptiller/steering/entry_dispatcher.h"
#include "kingcuptiller/steering/link_budget.h"
#include "kingcuptiller/steering/retry_budget.h"
#include "kingcuptiller/steering/shift_limiter.h"
#include "name_table.h"
#include "ticket_table.h"
#include "upstream_table.h"

#include <optional>
#include <vector>

namespace kingcuptiller::internal {

// Settings, queue and statistics of one class of work.
struct class_state
{
    explicit class_state(std::size_t queueLimit)
        : queue(queueLimit)
    {
    }

    work_class settings;
    // False before the class is first configured and after it is removed from the configuration.
    bool active = false;
    class_queue queue;
    // Time at which the queue last changed from empty to non-empty.
    instant queueNonEmptySince;
    retry_budget retries{retryBudgetShare};
    retry_budget hedges{hedgeBudgetShare};
    class_meter meter;
    decaying_latency_histogram latencies;
    // Sum of the slot limits of the upstreams that serve the class, over all regions, for this
    // entry; upstreams that are leaving do not count.
    std::uint64_t totalLimit = 0;
    // Time of the last request that was sent to measure the latency again although its deadline
    // seemed unreachable.
    std::optional<instant> lastDeadlineProbe;
};

// Result of the search for an upstream. Without a `target`, the request may be queued if `canWait`
// is true, because an upstream that could take it has no free slot now; if `canWait` is false, the
// request must be refused with `code`.
struct routing_result
{
    std::optional<picked_upstream> target;
    bool canWait = false;
    result_code code = result_code::no_upstream;
};

// Implementation of entry_dispatcher, which documents the public functions.
class dispatcher_core
{
public:
    explicit dispatcher_core(dispatcher_settings settings);

    void applyConfiguration(const configuration &current);
    void applyAssignments(const std::vector<upstream_assignment> &assignments, instant now);
    void applyLoads(const std::vector<upstream_load> &loads, instant now);
    void applyFlows(const std::vector<region_flow> &flows);
    void setEntriesInRegion(std::size_t count);

    decision submit(const request_attributes &request, instant now);
    void attemptFinished(const attempt_report &report, instant now);
    decision retry(ticket_id ticket, instant now);
    decision hedge(ticket_id ticket, instant now);
    [[nodiscard]] microseconds hedgeDelay(const class_name &workClass) const;
    void abandon(ticket_id ticket, instant now);
    std::vector<ready_ticket> takeReady(instant now);

    [[nodiscard]] std::vector<upstream_usage> usage() const { return m_upstreams.usage(); }
    std::vector<class_demand> demand(instant now);
    std::vector<region_flow> flows(instant now);
    [[nodiscard]] std::size_t queued() const;

private:
    class_index internClass(const class_name &name);

    // Selects an upstream over all regions. This function and the four after it are defined in
    // dispatcher_routing.cpp.
    routing_result findRoute(const ticket_state &ticket, instant now);
    std::optional<picked_upstream> pickInRegion(const ticket_state &ticket, region_index region,
                                                instant now, routing_result &result);
    // Returns the expected time to an answer if the request is queued for a slot in the home
    // region, which is the region of this entry.
    [[nodiscard]] microseconds expectedHomeLatency(const ticket_state &ticket) const;
    // Returns true if the upstream picked in the home region is so slow that waiting for a slot of
    // another upstream in that region is expected to give an earlier answer.
    [[nodiscard]] bool waitingIsFaster(const ticket_state &ticket,
                                       const picked_upstream &picked) const;
    [[nodiscard]] double linkBytes(const ticket_state &ticket, region_index region) const;

    decision decideNewRequest(ticket_state &ticket, instant now);
    decision enqueue(ticket_state &ticket, instant now);
    // Returns whether a request that waits this long can still be answered within the latency
    // target configured for the class. `now` determines for how long the queue has been non-empty,
    // because a queue that persists must be shorter.
    [[nodiscard]] static bool waitMeetsTarget(const class_state &classState, microseconds wait,
                                              instant now);
    bool deadlineReachable(class_state &classState, const ticket_state &ticket,
                           microseconds expected, instant now);
    [[nodiscard]] microseconds expectedWait(const class_state &classState, std::size_t ahead) const;
    forward_decision send(ticket_state &ticket, const picked_upstream &target, instant now);
    decision refuse(ticket_state &ticket, result_code code, instant now);
    // Returns the code with which a queued request must be refused now, or nothing if it may stay
    // queued.
    [[nodiscard]] std::optional<result_code>
    queueRefusal(const class_state &classState, const ticket_state &ticket, instant now) const;
    // Sends queued requests of one class while slots are free, refuses those whose deadline cannot
    // be met, and appends both to `ready`.
    void drainQueue(class_index workClass, instant now, std::vector<ready_ticket> &ready);
    void removeFromQueue(ticket_state &ticket);

    dispatcher_settings m_settings;
    random_engine m_engine;
    name_table<class_name> m_classNames;
    name_table<region_name> m_regionNames;
    // The region of this entry.
    region_index m_homeRegion = 0;
    std::vector<class_state> m_classes;
    upstream_table m_upstreams;
    ticket_table m_tickets;
    admission_limits m_admission;
    shift_limiter m_shift;
    link_budget m_links;
    instant m_latestTime;
};

} // namespace kingcuptiller::internal
