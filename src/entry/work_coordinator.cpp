#include "kingcuptiller/entry/work_coordinator.h"

#include "coordinator_ticket.h"

#include <algorithm>
#include <utility>

namespace kingcuptiller {

namespace {

// Client regions beyond this number are treated as the entry's own, so that clients cannot make the
// dispatcher's tables grow by naming regions.
constexpr std::size_t maximumOrigins = 64;

milliseconds toMilliseconds(microseconds duration)
{
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(duration));
}

} // namespace

work_coordinator::work_coordinator(coordinator_settings settings, entry_dispatcher dispatcher,
                                   coordinator_hooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_dispatcher(std::move(dispatcher))
{
}

work_coordinator::~work_coordinator() = default;

void work_coordinator::handle(const work_request &request, reply_function reply)
{
    const auto snapshot = m_hooks.snapshot();
    const auto refuseAtOnce = [&](result_code code) {
        {
            const std::lock_guard lock(m_mutex);
            if (isNotRun(code) && m_keys.mayRun(request.key, 0))
                code = result_code::outcome_unknown;
        }
        reply({.code = code, .key = request.key, .upstream = {}, .answer = {}, .detail = {}});
    };
    if (const auto refusal = snapshot->workRefusal(m_hooks.now(), m_settings.lookupLifetime))
        return refuseAtOnce(*refusal);
    const work_class *promised = snapshot->current->find(request.workClass);
    if (promised == nullptr)
        return refuseAtOnce(result_code::class_unknown);
    if (!promised->idempotent && (request.key.empty() || !request.issueTime))
        return refuseAtOnce(result_code::key_missing);
    locked([&](action_list &actions, instant now) {
        m_lastTicket = m_lastTicket.next();
        auto &each = *(m_tickets[m_lastTicket] = std::make_unique<ticket>());
        each.id = m_lastTicket;
        each.request = request;
        each.promised = *promised;
        each.key = request.key.empty() ? request_key(m_hooks.randomId()) : request.key;
        each.origin = originOf(request);
        each.arrivedAt = now;
        each.deadline = now
            + std::min(request.deadline.value_or(promised->maximumDeadline),
                       promised->maximumDeadline);
        each.reply = std::move(reply);
        if (!promised->idempotent)
            m_keys.open(each.key);
        m_timers.emplace(each.deadline, timer{each.id, timer_kind::deadline});
        const request_attributes facts{.ticket = each.id,
                                       .workClass = promised->name,
                                       .origin = each.origin,
                                       .requestBytes = request.message.body.size(),
                                       .deadline = each.deadline,
                                       .idempotent = promised->idempotent};
        act(each, m_dispatcher.submit(facts, now), actions, now);
    });
}

void work_coordinator::tick()
{
    locked([this](action_list &actions, instant now) {
        takeReady(actions, now);
        while (!m_timers.empty() && m_timers.begin()->first <= now) {
            const timer fired = m_timers.begin()->second;
            m_timers.erase(m_timers.begin());
            timerFired(fired, actions, now);
        }
    });
}

void work_coordinator::apply(const entry_sync_response &response, bool first)
{
    locked([&](action_list &actions, instant now) {
        if (response.newConfiguration)
            m_dispatcher.applyConfiguration(*response.newConfiguration, now);
        if (response.newAssignments)
            m_dispatcher.applyAssignments(*response.newAssignments, now);
        m_dispatcher.applyLoads(response.loads, now);
        if (first)
            m_dispatcher.applyFlows(response.flows);
        const auto inRegion = std::count_if(
            response.entries.begin(), response.entries.end(), [this](const entry_listing &each) {
                return each.serving && each.entry.region == m_settings.identity.region;
            });
        m_dispatcher.setEntriesInRegion(std::max<std::size_t>(1, inRegion));
        takeReady(actions, now);
    });
}

traffic_report work_coordinator::report()
{
    traffic_report result;
    locked([&](action_list &, instant now) {
        result.usage = m_dispatcher.usage();
        result.demand = m_dispatcher.demand(now);
        result.flows = m_dispatcher.flows(now);
        result.service = m_recorder.counts();
    });
    return result;
}

std::size_t work_coordinator::open() const
{
    const std::lock_guard lock(m_mutex);
    return m_tickets.size();
}

void work_coordinator::locked(const std::function<void(action_list &, instant)> &step)
{
    action_list actions;
    {
        const std::lock_guard lock(m_mutex);
        m_latest = std::max(m_latest, m_hooks.now());
        step(actions, m_latest);
    }
    for (const auto &action : actions)
        action();
}

void work_coordinator::act(ticket &each, const decision &outcome, action_list &actions, instant now)
{
    each.queued = std::holds_alternative<queued_decision>(outcome);
    if (const auto *forward = std::get_if<forward_decision>(&outcome))
        startAttempt(each, *forward, actions, now);
    else if (const auto *refused = std::get_if<refused_decision>(&outcome))
        refuse(each, refused->code, actions, now);
}

void work_coordinator::startAttempt(ticket &each, const forward_decision &forward,
                                    action_list &actions, instant now)
{
    attempt &started = each.attempts[forward.attempt];
    started.number = forward.attempt;
    started.id = attempt_id(m_hooks.randomId());
    started.upstream = forward.upstream;
    started.startedAt = now;
    const auto self = shared_from_this();
    if (each.promised.idempotent) {
        const microseconds delay = m_dispatcher.hedgeDelay(each.promised.name);
        if (each.attempts.size() == 1 && delay.count() > 0 && now + delay < each.deadline)
            m_timers.emplace(now + delay, timer{each.id, timer_kind::hedge});
        started.used = true;
        actions.emplace_back(
            [self, id = each.id, number = started.number] { self->sendIdempotent(id, number); });
        return;
    }
    started.claimedAt = now;
    const claim wanted{.key = each.key,
                       .workClass = each.promised.name,
                       .issueTime = each.request.issueTime.value_or(wall_time{}),
                       .bodyHash = hashOf(each.request),
                       .attempt = started.id,
                       .entry = m_settings.identity.host,
                       .entryIncarnation = m_settings.identity.incarnation,
                       .deadline = toMilliseconds(each.deadline - now)};
    // The last quarter of the time is left for the release of a claim that was not answered.
    const instant giveUpAt = started.claimGivenUpAt =
        now + std::min<microseconds>(m_settings.claimLifetime, (each.deadline - now) * 3 / 4);
    m_timers.emplace(giveUpAt, timer{each.id, timer_kind::claim_end});
    actions.emplace_back([self, id = each.id, number = started.number, wanted, giveUpAt] {
        self->requestClaim(id, number, wanted, giveUpAt);
    });
}

// Runs outside the mutex. The lease is checked right before each sending, because a request may
// have waited in a queue, or for its retry, until the lease was over.
void work_coordinator::sendIdempotent(ticket_id id, std::uint32_t number)
{
    const auto snapshot = m_hooks.snapshot();
    std::optional<result_code> refusal;
    locked([&](action_list &actions, instant now) {
        ticket *each = find(id);
        if (each == nullptr || each->attempts.at(number).ended)
            return;
        refusal = snapshot->refusal(m_hooks.now(), m_settings.lookupLifetime);
        if (!refusal)
            return;
        attempt &unsent = each->attempts.at(number);
        unsent.used = false;
        reportAttempt(*each, unsent, attempt_outcome::not_sent, 0, now);
        const bool othersOpen = std::any_of(each->attempts.begin(), each->attempts.end(),
                                            [](const auto &item) { return !item.second.ended; });
        if (othersOpen && !each->answered)
            return;
        m_dispatcher.abandon(id, now);
        refuse(*each, each->mayHaveRun ? each->lastFailure : *refusal, actions, now);
    });
    if (!refusal)
        send(id, number);
}

void work_coordinator::send(ticket_id id, std::uint32_t number)
{
    forward_request request;
    {
        const std::lock_guard lock(m_mutex);
        const ticket *each = find(id);
        if (each == nullptr || !each->attempts.contains(number))
            return;
        const attempt &sent = each->attempts.at(number);
        const milliseconds left = toMilliseconds(each->deadline - m_hooks.now());
        request.upstream = sent.upstream->address;
        request.message = toUpstreamRequest(each->request, each->key, sent.id, left);
        request.freshConnection = !each->promised.idempotent;
        // The coordinator's own timers end the exchange; this limit only bounds it.
        request.timeout = left + m_settings.lateAnswerGrace;
        request.maximumAnswer = m_settings.maximumAnswer;
    }
    const auto cancel = m_hooks.forward(
        request, [self = shared_from_this(), id, number](const forward_result &result) {
            self->attemptEnded(id, number, result);
        });
    bool abandoned = false;
    {
        const std::lock_guard lock(m_mutex);
        ticket *each = find(id);
        if (each == nullptr || each->attempts.at(number).ended)
            return;
        each->attempts.at(number).cancel = cancel;
        abandoned = each->attempts.at(number).abandoned;
    }
    if (abandoned)
        cancel();
}

void work_coordinator::attemptEnded(ticket_id id, std::uint32_t number,
                                    const forward_result &result)
{
    locked([&](action_list &actions, instant now) {
        ticket *each = find(id);
        if (each == nullptr || !each->attempts.contains(number) || each->attempts.at(number).ended)
            return;
        attempt &ended = each->attempts.at(number);
        const upstream_verdict verdict = judge(result, each->key, ended.id);
        attempt_outcome outcome = attempt_outcome::failed;
        if (verdict == upstream_verdict::ran)
            outcome = attempt_outcome::answered;
        else if (verdict == upstream_verdict::shed)
            outcome = attempt_outcome::shed;
        else if (verdict == upstream_verdict::not_connected)
            outcome = attempt_outcome::connect_refused;
        else if (verdict == upstream_verdict::timed_out)
            outcome = attempt_outcome::timeout;
        else if (verdict == upstream_verdict::cancelled)
            outcome = each->expired ? attempt_outcome::timeout : attempt_outcome::cancelled;
        reportAttempt(*each, ended, outcome, result.answer.body.size(), now);
        if (each->promised.idempotent)
            idempotentEnded(*each, verdict, result, ended, actions, now);
        else
            onceOnlyEnded(*each, verdict, result, ended, actions, now);
        takeReady(actions, now);
        if (ticket *left = find(id))
            forgetIfOver(*left);
    });
}

void work_coordinator::idempotentEnded(ticket &each, upstream_verdict verdict,
                                       const forward_result &result, const attempt &ended,
                                       action_list &actions, instant now)
{
    if (each.answered)
        return;
    if (verdict == upstream_verdict::ran) {
        answer(each,
               {.code = result_code::ok,
                .key = each.key,
                .upstream = ended.upstream->id,
                .answer = result.answer,
                .detail = {}},
               actions, now);
        cancelOpen(each, actions);
        return;
    }
    // What proves that this attempt was not run says nothing about an earlier one.
    if (!each.mayHaveRun || !provesNotRun(verdict))
        each.lastFailure = codeOf(verdict);
    each.mayHaveRun = each.mayHaveRun || !provesNotRun(verdict);
    const bool othersOpen = std::any_of(each.attempts.begin(), each.attempts.end(),
                                        [](const auto &item) { return !item.second.ended; });
    if (!othersOpen)
        retryOrRefuse(each, actions, now);
}

void work_coordinator::retryOrRefuse(ticket &each, action_list &actions, instant now)
{
    const decision outcome = m_dispatcher.retry(each.id, now);
    if (const auto *refused = std::get_if<refused_decision>(&outcome)) {
        const bool open = each.mayHaveRun || !isNotRun(refused->code);
        refuse(each, open ? each.lastFailure : refused->code, actions, now);
        return;
    }
    act(each, outcome, actions, now);
}

void work_coordinator::answer(ticket &each, work_answer answer, action_list &actions, instant now)
{
    if (std::exchange(each.answered, true))
        return;
    if (!each.promised.idempotent) {
        // Another request with this key, such as one that the client's HTTP library sent again, may
        // have been run. One that is still open counts, because it may run yet.
        if (isNotRun(answer.code) && m_keys.mayRun(each.key, 1))
            answer.code = result_code::outcome_unknown;
        m_keys.close(each.key, now);
    }
    m_recorder.record(each.promised.name, each.origin, answer.code, now - each.arrivedAt,
                      each.promised.target);
    actions.emplace_back([reply = std::move(each.reply), answer = std::move(answer)]() mutable {
        reply(std::move(answer));
    });
    each.reply = nullptr;
}

void work_coordinator::refuse(ticket &each, result_code code, action_list &actions, instant now)
{
    answer(each, {.code = code, .key = each.key, .upstream = {}, .answer = {}, .detail = {}},
           actions, now);
    forgetIfOver(each);
}

void work_coordinator::timerFired(const timer &fired, action_list &actions, instant now)
{
    ticket *each = find(fired.ticket);
    if (each == nullptr)
        return;
    switch (fired.kind) {
    case timer_kind::deadline:
        return deadlinePassed(*each, actions, now);
    case timer_kind::hedge:
        return hedge(*each, actions, now);
    case timer_kind::claim_end: {
        // An earlier attempt of the ticket has ended; only the last one can wait for its claim.
        attempt &last = each->attempts.rbegin()->second;
        if (!last.used && !last.ended && now >= last.claimGivenUpAt)
            claimLost(*each, last, actions, now);
        return;
    }
    case timer_kind::late_end:
        return cancelOpen(*each, actions);
    }
}

void work_coordinator::deadlinePassed(ticket &each, action_list &actions, instant now)
{
    if (each.answered)
        return;
    const bool sent = std::any_of(each.attempts.begin(), each.attempts.end(),
                                  [](const auto &item) { return item.second.used; });
    result_code code = result_code::outcome_unknown;
    if (each.queued || each.attempts.empty())
        code = result_code::deadline_unreachable;
    else if (sent && !each.releasing)
        code = result_code::upstream_timeout;
    each.expired = true;
    m_dispatcher.abandon(each.id, now);
    if (each.promised.idempotent)
        cancelOpen(each, actions);
    else
        m_timers.emplace(now + m_settings.lateAnswerGrace, timer{each.id, timer_kind::late_end});
    refuse(each, code, actions, now);
}

void work_coordinator::hedge(ticket &each, action_list &actions, instant now)
{
    const bool waiting = each.attempts.size() == 1 && !each.attempts.begin()->second.ended;
    if (each.answered || !waiting)
        return;
    const decision outcome = m_dispatcher.hedge(each.id, now);
    if (const auto *forward = std::get_if<forward_decision>(&outcome))
        startAttempt(each, *forward, actions, now);
}

void work_coordinator::takeReady(action_list &actions, instant now)
{
    for (const ready_ticket &ready : m_dispatcher.takeReady(now)) {
        if (ticket *each = find(ready.ticket))
            act(*each, ready.outcome, actions, now);
    }
}

void work_coordinator::reportAttempt(const ticket &each, attempt &ended, attempt_outcome outcome,
                                     std::uint64_t bytes, instant now)
{
    ended.ended = true;
    m_dispatcher.attemptFinished({.ticket = each.id,
                                  .attempt = ended.number,
                                  .outcome = outcome,
                                  .latency = now - ended.startedAt,
                                  .answerBytes = bytes},
                                 now);
}

// Erases the ticket, so callers do not use it afterwards.
void work_coordinator::forgetIfOver(ticket &each)
{
    const bool open = std::any_of(each.attempts.begin(), each.attempts.end(),
                                  [](const auto &item) { return !item.second.ended; });
    if (each.answered && !open && !each.releasing)
        m_tickets.erase(each.id);
}

void work_coordinator::cancelOpen(ticket &each, action_list &actions)
{
    for (auto &[number, open] : each.attempts) {
        if (open.ended)
            continue;
        open.abandoned = true;
        if (open.cancel)
            actions.push_back(open.cancel);
    }
}

region_name work_coordinator::originOf(const work_request &request)
{
    if (request.clientRegion.empty())
        return m_settings.identity.region;
    if (m_origins.size() < maximumOrigins)
        m_origins.insert(request.clientRegion);
    return m_origins.contains(request.clientRegion) ? request.clientRegion
                                                    : m_settings.identity.region;
}

work_coordinator::ticket *work_coordinator::find(ticket_id id)
{
    const auto found = m_tickets.find(id);
    return found == m_tickets.end() ? nullptr : found->second.get();
}

} // namespace kingcuptiller
