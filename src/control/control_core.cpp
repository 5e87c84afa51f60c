#include "kingcuptiller/control/control_core.h"

#include "batches.h"

#include "kingcuptiller/telemetry/log.h"

#include <algorithm>
#include <memory>

namespace kingcuptiller {

namespace {

error notLeader()
{
    return {result_code::not_leader, "this control host is not the leader"};
}

error noQuorum()
{
    return {result_code::no_quorum, "the command was not committed in time; send it again"};
}

error changeUnknown()
{
    return {result_code::change_outcome_unknown,
            "whether the change was accepted is not known yet; send it again with the same id"};
}

// Collects the results of the commands that one call was split into, and answers when all are in.
template <typename Value>
struct gathering
{
    std::size_t missing = 0;
    bool failed = false;
    Value value{};
    reply<Value> done;

    void finishOne(bool good)
    {
        failed = failed || !good;
        if (--missing > 0)
            return;
        if (failed)
            done(noQuorum());
        else
            done(value);
    }
};

} // namespace

control_core::control_core(const control_options &options, control_hooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_leases(options.leases)
{
}

void control_core::startLeading(lease_moment moment)
{
    m_leading = true;
    m_now = moment.now;
    m_fleetUpdateInFlight = false;
    m_nextCollect = m_nextPlan = moment.now;
    m_leases.startLeading(m_state, moment.now);
    m_history.clear();
    if (m_state.ledger().limits() != m_options.ledger)
        propose(m_options.ledger, moment, [](const command_result *) {});
}

void control_core::stopLeading()
{
    if (!m_leading)
        return;
    m_leading = false;
    m_leases.stopLeading();
    failAll();
}

void control_core::failAll()
{
    // A reply may start a further call, so the lists are emptied first.
    auto pending = std::move(m_pending);
    auto waiting = std::move(m_waiting);
    m_pending.clear();
    m_waiting.clear();
    m_fleetUpdateInFlight = false;
    for (const auto &each : pending)
        each.second.done(nullptr);
    for (const auto &each : waiting)
        each.done(changeUnknown());
}

void control_core::requireLease() const
{
    if (!m_leading || !m_hooks.hasLease())
        throw notLeader();
}

bool control_core::propose(command_body body, lease_moment moment, completion done)
{
    const command value{std::max(moment.wall, m_state.time()), std::move(body)};
    const auto place = m_hooks.propose(encodeCommand(value));
    if (!place)
        return false;
    m_pending[place->index] = {place->term, moment.now, std::move(done)};
    return true;
}

void control_core::apply(log_place place, const std::string &text)
{
    command_result result;
    try {
        const command value = decodeCommand(text);
        const wall_time time = std::max(value.time, m_state.time());
        if (const auto *update = std::get_if<fleet_update>(&value.body))
            m_events.noteUpdate(*update, m_state.fleet(), time);
        const revision_number before = m_state.currentConfiguration().revision;
        result = m_state.apply(value);
        if (m_state.currentConfiguration().revision != before)
            m_events.add(time, "configuration_changed",
                         "revision "
                             + std::to_string(m_state.currentConfiguration().revision.number()));
    } catch (const error &fault) {
        // Every replica skips the same entry, so the states stay equal.
        log_line(log_level::error, "control", "command_unreadable").field("reason", fault.what());
    }
    const auto found = m_pending.find(place.index);
    if (found == m_pending.end())
        return;
    const pending_command pending = std::move(found->second);
    m_pending.erase(found);
    pending.done(pending.term == place.term ? &result : nullptr);
}

void control_core::restore(const std::string &snapshot)
{
    m_state = control_state::fromSnapshot(snapshot);
}

void control_core::claimRequests(const std::vector<claim> &claims, lease_moment moment,
                                 const reply<std::vector<claim_answer>> &done)
{
    if (!m_leading)
        return done(notLeader());
    if (claims.empty())
        return done(std::vector<claim_answer>{});
    auto all = std::make_shared<gathering<std::vector<claim_answer>>>();
    all->done = done;
    auto batches = internal::splitClaims(claims);
    all->missing = batches.size();
    for (auto &batch : batches) {
        const bool proposed = propose(claims_command{std::move(batch)}, moment,
                                      [this, all](const command_result *result) {
                                          if (result != nullptr)
                                              answerClaims(*result, all->value);
                                          all->finishOne(result != nullptr);
                                      });
        if (!proposed)
            all->finishOne(false);
    }
}

void control_core::answerClaims(const command_result &result,
                                std::vector<claim_answer> &answers) const
{
    const auto *results = std::get_if<std::vector<claim_result>>(&result);
    if (results == nullptr)
        return;
    for (const auto &each : *results) {
        claim_answer answer = each.answer;
        if (answer.code == result_code::request_in_progress
            && !m_leases.holdsLease(each.holder, m_now))
            answer.code = result_code::outcome_unknown;
        answers.push_back(std::move(answer));
    }
}

void control_core::settleRequests(const std::vector<settlement> &settlements, lease_moment moment,
                                  const reply<std::size_t> &done)
{
    if (!m_leading)
        return done(notLeader());
    if (settlements.empty())
        return done(std::size_t{0});
    auto all = std::make_shared<gathering<std::size_t>>();
    all->done = done;
    auto batches = internal::splitSettlements(settlements);
    all->missing = batches.size();
    for (auto &batch : batches) {
        const std::size_t number = batch.size();
        const bool proposed = propose(settlements_command{std::move(batch)}, moment,
                                      [all, number](const command_result *result) {
                                          all->value += number;
                                          all->finishOne(result != nullptr);
                                      });
        if (!proposed)
            all->finishOne(false);
    }
}

void control_core::submitChange(const change_request &request, lease_moment moment,
                                const reply<change_answer> &done)
{
    if (!m_leading || !m_hooks.hasLease())
        return done(notLeader());
    const instant until = moment.now + m_options.answerLimit;
    if (const auto *former = m_state.configurations().findAnswer(request.id))
        return finishChange(*former, until, done);
    const bool proposed =
        propose(review(request, moment), moment, [this, until, done](const command_result *result) {
            const auto *answer = result == nullptr ? nullptr : std::get_if<change_answer>(result);
            if (answer == nullptr)
                done(changeUnknown());
            else
                finishChange(*answer, until, done);
        });
    if (!proposed)
        done(notLeader());
}

change_command control_core::review(const change_request &request, lease_moment moment) const
{
    change_command body{request, result_code::ok, ""};
    // A change that cannot be applied gets its refusal from the state itself.
    if (request.base != m_state.currentConfiguration().revision)
        return body;
    try {
        const wall_time time = std::max(moment.wall, m_state.time());
        const configuration next =
            m_state.configurations().changed(request, time, [this](const class_name &wanted) {
                return m_state.fleet().classInUse(wanted);
            });
        const auto result =
            reviewStops(request, next, m_state.fleet(), m_leases.demand(moment.now), time);
        body.review = result.code;
        body.reviewMessage = result.message;
    } catch (const error &) {
        return body;
    }
    return body;
}

void control_core::finishChange(const change_answer &answer, instant until,
                                const reply<change_answer> &done)
{
    if (answer.code != result_code::ok)
        return done(answer);
    m_waiting.push_back({answer, until, done});
}

entry_sync_response control_core::syncEntry(const entry_sync_request &request, lease_moment moment)
{
    requireLease();
    entry_sync_response response = m_leases.sync(request, m_state, moment);
    if (response.lease > milliseconds{0})
        m_history.note({request.entry.host, request.entry.incarnation}, request.service,
                       moment.wall);
    // The answer gives away a lease, so it must not leave after the end of this host's own.
    requireLease();
    return response;
}

state_report control_core::report(lease_moment moment) const
{
    requireLease();
    state_report report;
    report.current = m_state.currentConfiguration();
    report.entries = m_leases.reportEntries(m_state, moment.now);
    report.upstreams = m_leases.reportUpstreams(m_state, moment.now);
    report.events = m_events.list();
    report.service = m_leases.service();
    return report;
}

burn_report control_core::burn(const host_id &host, lease_moment moment) const
{
    requireLease();
    return m_history.report(m_state.currentConfiguration(), m_events.list(), host, moment.wall);
}

void control_core::tick(lease_moment moment)
{
    m_now = moment.now;
    if (m_state.time() != wall_time{})
        m_events.noteStops(m_state.currentConfiguration(), std::max(moment.wall, m_state.time()));
    if (!m_leading)
        return;
    dropOverdue(moment.now);
    if (!m_hooks.hasLease())
        return;
    answerChangesInForce(moment.now);
    updateFleet(moment);
}

void control_core::dropOverdue(instant now)
{
    std::vector<completion> overdue;
    for (auto &each : m_pending) {
        if (each.second.done && each.second.proposed + m_options.answerLimit <= now)
            overdue.push_back(std::exchange(each.second.done, [](const command_result *) {}));
    }
    for (const auto &each : overdue)
        each(nullptr);
    std::vector<waiting_change> late;
    std::erase_if(m_waiting, [&](const auto &each) {
        if (each.until > now)
            return false;
        late.push_back(each);
        return true;
    });
    for (auto &each : late) {
        each.answer.code = result_code::change_not_in_force;
        each.answer.message = "the change was accepted, but an entry that may still serve has not "
                              "applied it yet; send it again to wait further";
        each.done(each.answer);
    }
}

void control_core::answerChangesInForce(instant now)
{
    std::vector<waiting_change> ready;
    std::erase_if(m_waiting, [&](const auto &each) {
        if (!m_leases.isInForce(each.answer.revision, now))
            return false;
        ready.push_back(each);
        return true;
    });
    for (const auto &each : ready)
        each.done(each.answer);
}

void control_core::limitSize(fleet_update &update)
{
    // A command must fit into one message between control hosts. What is left out is found again by
    // the next comparison.
    constexpr std::size_t most = 300;
    constexpr std::size_t mostConfirmations = 30;
    const auto limit = [](auto &items, std::size_t number) {
        if (items.size() > number)
            items.resize(number);
    };
    limit(update.joined, most);
    limit(update.states, most);
    limit(update.retired, most);
    limit(update.upstreams, most);
    limit(update.removed, most);
    limit(update.confirmed, mostConfirmations);
    limit(update.limits, 4 * most);
}

void control_core::updateFleet(lease_moment moment)
{
    if (m_fleetUpdateInFlight || moment.now < m_nextCollect)
        return;
    m_nextCollect = moment.now + m_options.collectInterval;
    moment.wall = std::max(moment.wall, m_state.time());
    fleet_update update = m_leases.collect(m_state, moment);
    if (moment.now >= m_nextPlan) {
        m_nextPlan = moment.now + m_options.planInterval;
        update.limits = m_leases.planLimits(m_state, moment);
    }
    if (update.empty())
        return;
    limitSize(update);
    for (const auto &each : update.retired)
        m_history.forget(each);
    m_fleetUpdateInFlight = propose(std::move(update), moment, [this](const command_result *) {
        m_fleetUpdateInFlight = false;
    });
}

} // namespace kingcuptiller
