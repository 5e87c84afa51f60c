#include "dispatcher_core.h"

#include "kingcuptiller/values/error.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace kingcuptiller::internal {

namespace {

// Expected wait of a class that has no slots: the time until the control plane allocates slots to
// it, which takes one synchronization and one planning round.
constexpr microseconds slotAllocationWait{500'000};

// Maximum wait of a queued request, as a share of its spare time, which is the target latency of
// the class minus its smoothed latency. The remaining spare time covers delays that the entry
// cannot measure. The burst share applies until the queue has been non-empty for
// `maxBurstDuration`. A queue that stays non-empty for longer indicates overload, during which a
// long wait does not increase throughput and only delays every request; the lower share then
// applies, and accepted requests are answered in time.
constexpr double burstQueueShareOfSpareTime = 0.75;
constexpr double standingQueueShareOfSpareTime = 0.4;
constexpr std::chrono::seconds maxBurstDuration{1};

// Interval at which one request of a class is sent although its deadline seems unreachable. Without
// such probes, a latency estimate that was once too high would never be corrected.
constexpr std::chrono::seconds deadlineProbeInterval{1};

// Maximum number of queued requests of a class that one call of `takeReady` skips because they
// cannot be sent now. Later requests are examined because they may have another origin region, for
// which the traffic shift cap still allows a destination.
constexpr std::size_t maxBlockedRequests = 32;

constexpr double hedgeQuantile = 0.95;

// Returns whether the outcome proves that the upstream did not run the request.
bool provesNotRun(attempt_outcome outcome)
{
    return outcome == attempt_outcome::shed || outcome == attempt_outcome::connect_refused
        || outcome == attempt_outcome::not_sent;
}

} // namespace

dispatcher_core::dispatcher_core(dispatcher_settings settings)
    : m_settings(std::move(settings))
    , m_engine(m_settings.seed)
    , m_upstreams(m_settings.warmUp)
    , m_admission(m_settings.concurrency)
    , m_shift(m_settings.shiftCap)
    , m_links(m_settings.linkBytesPerSecond)
{
    if (!m_settings.policy)
        m_settings.policy = leastExpectedLatency();
    m_homeRegion = m_regionNames.intern(m_settings.region);
}

class_index dispatcher_core::internClass(const class_name &name)
{
    const class_index index = m_classNames.intern(name);
    while (m_classes.size() <= index)
        m_classes.emplace_back(m_settings.queueLimit);
    return index;
}

void dispatcher_core::applyConfiguration(const configuration &current)
{
    for (class_state &each : m_classes)
        each.active = false;
    for (const work_class &each : current.classes) {
        class_state &to = m_classes[internClass(each.name)];
        to.settings = each;
        to.active = true;
    }
    std::vector<admission_class> classParameters;
    classParameters.reserve(m_classes.size());
    for (const class_state &each : m_classes)
        classParameters.push_back({each.settings.rank, each.settings.target.worth, each.active});
    m_admission.setClasses(classParameters);
}

void dispatcher_core::applyAssignments(const std::vector<upstream_assignment> &assignments,
                                       instant now)
{
    std::vector<upstream_group_key> groupKeys;
    groupKeys.reserve(assignments.size());
    for (const upstream_assignment &each : assignments)
        groupKeys.push_back({internClass(each.workClass), m_regionNames.intern(each.region)});
    for (class_state &each : m_classes)
        each.totalLimit = 0;
    for (std::size_t index = 0; index < assignments.size(); ++index) {
        if (!assignments[index].leaving)
            m_classes[groupKeys[index].workClass].totalLimit += assignments[index].limit;
    }
    m_upstreams.apply(assignments, groupKeys, now);
}

void dispatcher_core::applyLoads(const std::vector<upstream_load> &loads, instant now)
{
    m_upstreams.applyLoads(loads, now);
}

void dispatcher_core::applyFlows(const std::vector<region_flow> &flows)
{
    std::vector<counted_flow> counted;
    counted.reserve(flows.size());
    for (const region_flow &each : flows) {
        counted.push_back({{internClass(each.workClass), m_regionNames.intern(each.origin)},
                           m_regionNames.intern(each.destination),
                           each.forwarded});
    }
    m_shift.setBaseline(counted);
}

void dispatcher_core::setEntriesInRegion(std::size_t count)
{
    m_links.setEntriesInRegion(count, m_latestTime);
}

decision dispatcher_core::submit(const request_attributes &request, instant now)
{
    m_latestTime = now;
    const auto index = m_classNames.find(request.workClass);
    if (!index || !m_classes[*index].active)
        return refused_decision{result_code::class_unknown};
    class_state &classState = m_classes[*index];
    ticket_state state;
    state.ticket = request.ticket;
    state.workClass = *index;
    // Clients supply region names. Unknown names are treated as the home region: indexing arbitrary
    // names would let clients exhaust memory and evade the traffic shift cap, which applies per
    // origin region.
    state.origin = m_regionNames.find(request.origin).value_or(m_homeRegion);
    state.requestBytes = request.requestBytes;
    state.deadline = request.deadline;
    state.idempotent = request.idempotent && classState.settings.idempotent;
    ticket_state *ticket = m_tickets.add(state);
    if (ticket == nullptr) {
        throw error(result_code::internal_fault,
                    "ticket " + std::to_string(request.ticket.number()) + " is already in use");
    }
    classState.meter.recordArrival(now);
    classState.retries.recordRequest();
    classState.hedges.recordRequest();
    return decideNewRequest(*ticket, now);
}

decision dispatcher_core::decideNewRequest(ticket_state &ticket, instant now)
{
    class_state &classState = m_classes[ticket.workClass];
    if (ticket.deadline <= now)
        return refuse(ticket, result_code::deadline_unreachable, now);
    if (!m_admission.mayTake(ticket.workClass))
        return refuse(ticket, result_code::class_limit, now);
    if (classState.queue.countAhead(ticket.queueItem()) > 0)
        return enqueue(ticket, now);
    const routing_result found = findRoute(ticket, now);
    if (found.target) {
        if (!deadlineReachable(classState, ticket, found.target->expectedLatency, now))
            return refuse(ticket, result_code::deadline_unreachable, now);
        return send(ticket, *found.target, now);
    }
    return found.canWait ? enqueue(ticket, now) : refuse(ticket, found.code, now);
}

microseconds dispatcher_core::expectedWait(const class_state &classState, std::size_t ahead) const
{
    if (classState.totalLimit == 0)
        return slotAllocationWait;
    return classState.meter.latency() * (ahead + 1) / classState.totalLimit;
}

bool dispatcher_core::waitMeetsTarget(const class_state &classState, microseconds wait, instant now)
{
    const microseconds target = classState.settings.target.latency;
    const microseconds spareTime = std::max(target - classState.meter.latency(), target / 10);
    const bool isStandingQueue =
        !classState.queue.empty() && now - classState.queueNonEmptySince > maxBurstDuration;
    const double shareOfSpareTime =
        isStandingQueue ? standingQueueShareOfSpareTime : burstQueueShareOfSpareTime;
    return classState.totalLimit == 0
        || static_cast<double>(wait.count())
        <= shareOfSpareTime * static_cast<double>(spareTime.count());
}

decision dispatcher_core::enqueue(ticket_state &ticket, instant now)
{
    class_state &classState = m_classes[ticket.workClass];
    if (classState.queue.full())
        return refuse(ticket, result_code::queue_full, now);
    const microseconds wait =
        expectedWait(classState, classState.queue.countAhead(ticket.queueItem()));
    if (now + wait + classState.meter.latency() > ticket.deadline) {
        return refuse(ticket,
                      classState.totalLimit == 0 ? result_code::slots_exhausted
                                                 : result_code::deadline_unreachable,
                      now);
    }
    if (!waitMeetsTarget(classState, wait, now))
        return refuse(ticket, result_code::queue_full, now);
    if (classState.queue.empty())
        classState.queueNonEmptySince = now;
    classState.queue.insert(ticket.queueItem());
    ticket.queued = true;
    classState.meter.acquire(now);
    return queued_decision();
}

bool dispatcher_core::deadlineReachable(class_state &classState, const ticket_state &ticket,
                                        microseconds expected, instant now)
{
    if (now + expected <= ticket.deadline)
        return true;
    if (classState.lastDeadlineProbe && now - *classState.lastDeadlineProbe < deadlineProbeInterval)
        return false;
    classState.lastDeadlineProbe = now;
    return true;
}

forward_decision dispatcher_core::send(ticket_state &ticket, const picked_upstream &target,
                                       instant now)
{
    const region_index region = m_upstreams.groupKey(target.upstream).region;
    if (!ticket.wasSentTo(region)) {
        m_shift.recordForward({ticket.workClass, ticket.origin}, region, ticket.attempts > 0, now);
        ticket.triedRegions.push_back(region);
    }
    const double bytes = linkBytes(ticket, region);
    if (region != m_homeRegion)
        m_links.take(region, bytes, now);
    m_upstreams.take(target.upstream, now);
    m_admission.take(ticket.workClass);
    m_classes[ticket.workClass].meter.acquire(now);
    ++ticket.attempts;
    ticket.openAttempts.push_back({ticket.attempts, target.upstream, bytes});
    return {m_upstreams.assignment(target.upstream), ticket.attempts};
}

decision dispatcher_core::refuse(ticket_state &ticket, result_code code, instant now)
{
    if (ticket.attempts == 0) {
        m_shift.recordRefusal({ticket.workClass, ticket.origin}, now);
        m_classes[ticket.workClass].meter.recordRefusal(now);
    }
    m_tickets.erase(ticket.ticket);
    return refused_decision{code};
}

void dispatcher_core::attemptFinished(const attempt_report &report, instant now)
{
    m_latestTime = now;
    ticket_state *ticket = m_tickets.find(report.ticket);
    if (ticket == nullptr)
        return;
    const auto attempt =
        std::find_if(ticket->openAttempts.begin(), ticket->openAttempts.end(),
                     [&report](const open_attempt &each) { return each.number == report.attempt; });
    if (attempt == ticket->openAttempts.end())
        return;
    class_state &classState = m_classes[ticket->workClass];
    const region_index region = m_upstreams.groupKey(attempt->upstream).region;
    if (region != m_homeRegion) {
        const std::uint64_t sent =
            report.outcome == attempt_outcome::not_sent ? 0 : ticket->requestBytes;
        m_links.adjust(region, static_cast<double>(sent + report.answerBytes) - attempt->linkBytes);
    }
    m_upstreams.release(attempt->upstream, report, now);
    m_admission.release(ticket->workClass);
    classState.meter.release(now);
    ticket->lastUpstream = attempt->upstream;
    ticket->openAttempts.erase(attempt);
    ticket->mayHaveRun |= !provesNotRun(report.outcome);
    if (report.outcome == attempt_outcome::answered) {
        classState.meter.recordAnswer(report.latency, report.answerBytes);
        classState.latencies.add(report.latency);
        ticket->ended = true;
    } else if (!ticket->ended && ticket->openAttempts.empty()) {
        m_tickets.awaitRetryOrAbandon(*ticket);
    }
    m_tickets.eraseIfDone(*ticket);
}

decision dispatcher_core::retry(ticket_id id, instant now)
{
    m_latestTime = now;
    ticket_state *ticket = m_tickets.find(id);
    if (ticket == nullptr || ticket->ended || ticket->queued || !ticket->openAttempts.empty())
        return refused_decision{result_code::retry_budget_spent};
    class_state &classState = m_classes[ticket->workClass];
    if (!ticket->idempotent && ticket->mayHaveRun)
        return refuse(*ticket, result_code::outcome_unknown, now);
    if (!classState.retries.maySpend())
        return refuse(*ticket, result_code::retry_budget_spent, now);
    if (!m_admission.mayTake(ticket->workClass))
        return refuse(*ticket, result_code::class_limit, now);
    const routing_result found = findRoute(*ticket, now);
    if (!found.target)
        return refuse(*ticket, found.canWait ? result_code::slots_exhausted : found.code, now);
    if (now + found.target->expectedLatency > ticket->deadline)
        return refuse(*ticket, result_code::deadline_unreachable, now);
    classState.retries.spend();
    return send(*ticket, *found.target, now);
}

decision dispatcher_core::hedge(ticket_id id, instant now)
{
    m_latestTime = now;
    const refused_decision refused{result_code::retry_budget_spent};
    ticket_state *ticket = m_tickets.find(id);
    if (ticket == nullptr || ticket->ended || !ticket->idempotent
        || ticket->openAttempts.size() != 1)
        return refused;
    class_state &classState = m_classes[ticket->workClass];
    if (!classState.hedges.maySpend() || !m_admission.mayTake(ticket->workClass))
        return refused;
    const routing_result found = findRoute(*ticket, now);
    if (!found.target || now + found.target->expectedLatency > ticket->deadline)
        return refused;
    classState.hedges.spend();
    return send(*ticket, *found.target, now);
}

microseconds dispatcher_core::hedgeDelay(const class_name &workClass) const
{
    const auto index = m_classNames.find(workClass);
    if (!index || !m_classes[*index].settings.idempotent)
        return microseconds(0);
    return m_classes[*index].latencies.quantileLatency(hedgeQuantile);
}

void dispatcher_core::abandon(ticket_id id, instant now)
{
    m_latestTime = now;
    ticket_state *ticket = m_tickets.find(id);
    if (ticket == nullptr)
        return;
    if (ticket->queued) {
        removeFromQueue(*ticket);
        m_classes[ticket->workClass].meter.release(now);
        m_shift.recordRefusal({ticket->workClass, ticket->origin}, now);
    }
    ticket->ended = true;
    m_tickets.eraseIfDone(*ticket);
}

void dispatcher_core::removeFromQueue(ticket_state &ticket)
{
    m_classes[ticket.workClass].queue.remove(ticket.queueItem());
    ticket.queued = false;
}

std::vector<ready_ticket> dispatcher_core::takeReady(instant now)
{
    m_latestTime = now;
    m_tickets.expire(now);
    std::vector<class_index> order;
    for (class_index index = 0; index < m_classes.size(); ++index) {
        if (!m_classes[index].queue.empty())
            order.push_back(index);
    }
    // More urgent classes get the traffic shift cap, the links and the concurrency first.
    std::sort(order.begin(), order.end(), [this](class_index left, class_index right) {
        return m_classes[left].settings.rank.number() < m_classes[right].settings.rank.number();
    });
    std::vector<ready_ticket> ready;
    for (const class_index index : order)
        drainQueue(index, now, ready);
    return ready;
}

std::optional<result_code> dispatcher_core::queueRefusal(const class_state &classState,
                                                         const ticket_state &ticket,
                                                         instant now) const
{
    if (!classState.active)
        return result_code::class_unknown;
    if (now + classState.meter.latency() <= ticket.deadline)
        return std::nullopt;
    return classState.totalLimit == 0 ? result_code::slots_exhausted
                                      : result_code::deadline_unreachable;
}

void dispatcher_core::drainQueue(class_index workClass, instant now,
                                 std::vector<ready_ticket> &ready)
{
    class_state &classState = m_classes[workClass];
    std::size_t position = 0;
    while (position < classState.queue.size() && position < maxBlockedRequests) {
        ticket_state &ticket = *m_tickets.find(classState.queue.items()[position].ticket);
        const ticket_id id = ticket.ticket;
        std::optional<result_code> refusal = queueRefusal(classState, ticket, now);
        routing_result found;
        if (!refusal) {
            const bool anyFree = m_upstreams.hasFreeSlot(workClass) || classState.totalLimit == 0;
            if (!anyFree || !m_admission.mayTake(workClass))
                return;
            found = findRoute(ticket, now);
            if (!found.target && found.canWait) {
                ++position;
                continue;
            }
            if (!found.target)
                refusal = found.code;
        }
        removeFromQueue(ticket);
        classState.meter.release(now);
        if (refusal)
            ready.push_back({id, refuse(ticket, *refusal, now)});
        else
            ready.push_back({id, send(ticket, *found.target, now)});
    }
}

std::vector<class_demand> dispatcher_core::demand(instant now)
{
    std::vector<class_demand> result;
    for (class_index index = 0; index < m_classes.size(); ++index) {
        class_state &classState = m_classes[index];
        if (classState.active) {
            result.push_back({m_classNames.name(index), classState.meter.concurrency(now),
                              classState.meter.arrivalsPerSecond(now)});
        }
    }
    std::sort(result.begin(), result.end(), [](const auto &left, const auto &right) {
        return left.workClass.text() < right.workClass.text();
    });
    return result;
}

std::vector<region_flow> dispatcher_core::flows(instant now)
{
    std::vector<region_flow> result;
    for (const counted_flow &each : m_shift.flows(now)) {
        result.push_back({m_classNames.name(each.source.workClass),
                          m_regionNames.name(each.source.origin),
                          m_regionNames.name(each.destination), each.forwarded});
    }
    std::sort(result.begin(), result.end(), [](const auto &left, const auto &right) {
        return std::tie(left.workClass.text(), left.origin.text(), left.destination.text())
            < std::tie(right.workClass.text(), right.origin.text(), right.destination.text());
    });
    return result;
}

std::size_t dispatcher_core::queued() const
{
    std::size_t sum = 0;
    for (const class_state &each : m_classes)
        sum += each.queue.size();
    return sum;
}

} // namespace kingcuptiller::internal
