// Calls of entries and operators to control hosts.

#include "fleet.h"

#include <fmt/format.h>

#include <algorithm>

namespace kingcuptiller::testing {

namespace {

// As in src/entry/sync_loop.cpp and src/entry/ledger_client.cpp.
constexpr milliseconds syncInterval{200};
constexpr milliseconds syncLimit{700};
constexpr milliseconds ledgerCallLimit{800};
constexpr milliseconds pauseAfterFailure{20};
constexpr milliseconds operatorLimit{2000};

work_class makeClass(const std::string &name, std::uint64_t rank, bool idempotent,
                     std::uint32_t worth)
{
    work_class result{class_name(name), rank_number(rank), idempotent, {}, milliseconds(2000)};
    result.target.worth = worth;
    return result;
}

// What leaves a control host: as in control_service::syncEntry, a sync's answer carries the epoch
// and is held back when the host's lease has ended.
template <typename Value>
std::variant<Value, error> asSent(std::variant<Value, error> answer, const control_loop &loop)
{
    if constexpr (std::is_same_v<Value, entry_sync_response>) {
        if (!loop.hasLease())
            return error(result_code::not_leader, "the lease has ended");
        if (auto *response = std::get_if<Value>(&answer))
            response->epoch = loop.status()->term;
    }
    return answer;
}

} // namespace

template <typename Value>
void fleet::callControl(const std::string &caller, std::size_t target, milliseconds limit,
                        const core_action<Value> &action,
                        std::function<void(const std::variant<Value, error> &)> done)
{
    const auto open = std::make_shared<bool>(true);
    const auto finish = [open, done = std::move(done)](const std::variant<Value, error> &answer) {
        if (std::exchange(*open, false))
            done(answer);
    };
    network.at(caller, network.now() + limit,
               [finish] { finish(error(result_code::no_quorum, "no answer in time")); });
    const std::string host = control_hosts::nameOf(target);
    const auto take = [this, caller, target, host, action, finish] {
        control_loop *loop = control.loop(target);
        if (loop == nullptr)
            return;
        loop->post(
            [this, loop, caller, host, action, finish](control_core &core, lease_moment moment) {
                const reply<Value> answer = [this, loop, caller, host,
                                             finish](const std::variant<Value, error> &value) {
                    const auto sent = asSent(value, *loop);
                    network.send(
                        host, caller, [finish, sent] { finish(sent); }, true);
                };
                try {
                    action(core, moment, answer);
                } catch (const error &failure) {
                    answer(failure);
                }
            });
    };
    network.send(caller, host, take, true);
}

template <typename Value>
void fleet::callFrom(entry_process &entry, milliseconds limit, const core_action<Value> &action,
                     const std::function<void(std::optional<Value>)> &done)
{
    const std::size_t target = entry.control;
    callControl<Value>(entry.name, target, limit, action,
                       [&entry, target, done](const std::variant<Value, error> &answer) {
                           if (!entry.alive)
                               return;
                           if (const auto *value = std::get_if<Value>(&answer))
                               return done(*value);
                           if (entry.control == target)
                               entry.control = (target + 1) % control_hosts::count;
                           done(std::nullopt);
                       });
}

void fleet::sync(entry_process &entry)
{
    traffic_report traffic = entry.coordinator->report();
    entry_sync_request request{.entry = entry.identity,
                               .leaving = false,
                               .appliedRevision = entry.snapshot->revision,
                               .appliedAssignment = entry.snapshot->assignment,
                               .usage = std::move(traffic.usage),
                               .demand = std::move(traffic.demand),
                               .flows = std::move(traffic.flows),
                               .service = std::move(traffic.service),
                               .announcements = {},
                               .withdrawals = {}};
    entry.announcements.takeInto(request);
    entry.syncing = true;
    entry.nextSync = network.now() + syncInterval;
    const instant sentAt = clockOf(entry);
    callFrom<entry_sync_response>(
        entry, syncLimit,
        [request](control_core &core, lease_moment moment, const auto &done) {
            done(core.syncEntry(request, moment));
        },
        [this, &entry, request, sentAt](const std::optional<entry_sync_response> &response) {
            entry.syncing = false;
            auto next = response ? applySync(*entry.snapshot, *response, sentAt, clockOf(entry))
                                 : std::nullopt;
            if (!next) {
                entry.announcements.putBack(request);
                entry.nextSync = std::min(entry.nextSync, network.now() + pauseAfterFailure);
                return;
            }
            facts.require(next->revision >= entry.snapshot->revision,
                          fmt::format("entry {} goes back from revision {} to {}", entry.name,
                                      entry.snapshot->revision.number(), next->revision.number()));
            const bool first = !entry.snapshot->synced;
            if (first)
                entry.baseline = response->flows;
            for (const region_flow &each : entry.baseline)
                entry.regions.insert({each.origin, each.destination});
            if (response->newAssignments) {
                for (const upstream_assignment &each : *response->newAssignments)
                    entry.regions.insert(each.region);
            }
            entry.coordinator->apply(*response, first);
            entry.snapshot = std::make_shared<const entry_snapshot>(std::move(*next));
        });
}

void fleet::requestClaim(entry_process &entry, const claim &wanted, instant giveUpAt,
                         const std::function<void(std::optional<claim_answer>)> &done)
{
    if (!entry.alive)
        return;
    if (clockOf(entry) >= giveUpAt)
        return done(std::nullopt);
    const auto limit = std::min<microseconds>(ledgerCallLimit, giveUpAt - clockOf(entry));
    callFrom<std::vector<claim_answer>>(
        entry, std::chrono::ceil<milliseconds>(limit),
        [wanted](control_core &core, lease_moment moment, const auto &answer) {
            core.claimRequests({wanted}, moment, answer);
        },
        [this, &entry, wanted, giveUpAt,
         done](const std::optional<std::vector<claim_answer>> &answers) {
            if (answers && answers->size() == 1)
                return done(answers->front());
            network.at(entry.name, network.now() + pauseAfterFailure,
                       [this, &entry, wanted, giveUpAt, done] {
                           requestClaim(entry, wanted, giveUpAt, done);
                       });
        });
}

void fleet::settle(entry_process &entry, const settlement &settled, instant giveUpAt,
                   const std::function<void(bool)> &done)
{
    if (!entry.alive)
        return;
    if (clockOf(entry) >= giveUpAt)
        return done(false);
    callFrom<std::size_t>(
        entry, ledgerCallLimit,
        [settled](control_core &core, lease_moment moment, const auto &answer) {
            core.settleRequests({settled}, moment, answer);
        },
        [this, &entry, settled, giveUpAt, done](const std::optional<std::size_t> &answer) {
            if (answer) {
                if (settled.kind == settlement_kind::completed)
                    m_committedKeys.insert(settled.key.text());
                else
                    m_releasedAttempts[settled.attempt] = settled.key;
                return done(true);
            }
            network.at(entry.name, network.now() + pauseAfterFailure,
                       [this, &entry, settled, giveUpAt, done] {
                           settle(entry, settled, giveUpAt, done);
                       });
        });
}

void fleet::stepOperator(std::size_t number)
{
    operator_state &own = m_operators.at(number);
    if (own.waiting || own.next > network.now())
        return;
    if (!own.open) {
        // A resend of a change that has its answer must get the same answer.
        if (!operatorsWork)
            return;
        change_request request;
        request.id = change_id(fmt::format("o{}-{}", number, ++own.asked));
        request.base = m_seenRevision;
        const auto worth = static_cast<std::uint32_t>(1 + network.draw(9));
        request.putClasses = {makeClass("posting", 1, false, worth),
                              makeClass("lookup", 2, true, 1 + worth % 3)};
        own.open = request;
    }
    askOperator(number);
}

void fleet::askOperator(std::size_t number)
{
    operator_state &own = m_operators.at(number);
    own.waiting = true;
    callControl<change_answer>(
        "operator", own.control, operatorLimit,
        [request = *own.open](control_core &core, lease_moment moment, const auto &done) {
            core.submitChange(request, moment, done);
        },
        [this, number](const std::variant<change_answer, error> &answer) {
            operator_state &asking = m_operators.at(number);
            asking.waiting = false;
            asking.next = network.now() + milliseconds(50);
            const auto *value = std::get_if<change_answer>(&answer);
            if (value == nullptr || value->code == result_code::change_outcome_unknown) {
                asking.control = (asking.control + 1) % control_hosts::count;
                return;
            }
            facts.changeAnswered(*asking.open, *value);
            m_seenRevision = std::max(m_seenRevision, value->revision);
            if (value->code == result_code::change_not_in_force || network.happens(300))
                return;
            asking.open.reset();
            asking.next = network.now() + milliseconds(200 + network.draw(1000));
        });
}

} // namespace kingcuptiller::testing
