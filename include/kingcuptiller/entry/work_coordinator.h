#pragma once

#include "kingcuptiller/entry/entry_snapshot.h"
#include "kingcuptiller/entry/key_memory.h"
#include "kingcuptiller/entry/work_message.h"
#include "kingcuptiller/protocol/messages.h"
#include "kingcuptiller/report/service_recorder.h"
#include "kingcuptiller/steering/entry_dispatcher.h"
#include "kingcuptiller/transport/http_forwarder.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuptiller {

// What a work_coordinator needs from outside. All hooks return soon and may call their completion
// at once or later, from any thread, but exactly once.
struct coordinator_hooks
{
    // The monotonic clock that includes suspended time. It is a hook and no parameter because the
    // checks before a sending must read it at that moment.
    std::function<instant()> now;
    std::function<std::shared_ptr<const entry_snapshot>()> snapshot;
    // A text that no process has drawn before.
    std::function<std::string()> randomId;
    std::function<cancel_function(const forward_request &, std::function<void(forward_result)>)>
        forward;
    // Asks control for the claim until `giveUpAt`; nothing means that no answer came.
    std::function<void(const claim &, instant giveUpAt,
                       std::function<void(std::optional<claim_answer>)>)>
        requestClaim;
    // Sends the settlement until `giveUpAt`; true means that it is committed.
    std::function<void(const settlement &, instant giveUpAt, std::function<void(bool)>)> settle;
};

struct coordinator_settings
{
    entry_identity identity;
    std::size_t maximumAnswer = std::size_t(8) * 1024 * 1024;
    milliseconds lookupLifetime = entryListLifetime;
    // How long a claim may be used, from the time at which it was requested.
    milliseconds claimLifetime{2000};
    // How long an attempt is kept after the client was told that its outcome is unknown, so that a
    // late answer is still recorded for a resent request.
    milliseconds lateAnswerGrace{1000};
};

// What the sync reports of the traffic.
struct traffic_report
{
    std::vector<upstream_usage> usage;
    std::vector<class_demand> demand;
    std::vector<region_flow> flows;
    std::vector<service_counts> service;
};

// Carries each client request to its end: dispatching, claims, sending, matching of answers,
// retries, hedging, releases and settlements. Independent of HTTP libraries, threads and clocks;
// everything outside is a hook, so its failures can be tested one by one. Thread-safe.
//
//     auto coordinator = std::make_shared<work_coordinator>(settings, std::move(dispatcher),
//     hooks); coordinator->handle(parseWorkRequest(request), reply); coordinator->tick(); // every
//     few milliseconds
//
// Non-idempotent requests: a claim is granted before anything is sent, each attempt is sent at most
// once over a connection of its own, and a client is told "not run" after a claim only when the
// attempt's release is committed. Every open end is told as unknown, and so is a refusal of a key
// that this entry carried before without proof that it was not run.
class work_coordinator : public std::enable_shared_from_this<work_coordinator>
{
public:
    using reply_function = std::function<void(work_answer)>;

    work_coordinator(coordinator_settings settings, entry_dispatcher dispatcher,
                     coordinator_hooks hooks);
    ~work_coordinator();
    work_coordinator(const work_coordinator &) = delete;
    work_coordinator &operator=(const work_coordinator &) = delete;

    // Starts a request; `reply` is called exactly once, at the deadline at the latest.
    void handle(const work_request &request, reply_function reply);

    // Sends what left the queues, starts hedges and ends what is past its deadline.
    void tick();

    // Hands a sync answer that `applySync` accepted to the dispatcher. `first` says that it is the
    // first one since the start, whose region flows become the baseline.
    void apply(const entry_sync_response &response, bool first);

    [[nodiscard]] traffic_report report();

    // Requests that are not yet answered, or whose last attempt is not yet over.
    [[nodiscard]] std::size_t open() const;

private:
    struct attempt;
    struct ticket;
    // Calls of hooks that are collected under the mutex and made after it is released.
    using action_list = std::vector<std::function<void()>>;
    enum class timer_kind { deadline, hedge, claim_end, late_end };
    struct timer
    {
        ticket_id ticket;
        timer_kind kind;
    };

    void locked(const std::function<void(action_list &, instant)> &step);
    void act(ticket &each, const decision &outcome, action_list &actions, instant now);
    void startAttempt(ticket &each, const forward_decision &forward, action_list &actions,
                      instant now);
    void requestClaim(ticket_id id, std::uint32_t number, const claim &wanted, instant giveUpAt);
    void claimAnswered(ticket_id id, std::uint32_t number,
                       const std::optional<claim_answer> &answer);
    void claimLost(ticket &each, attempt &claimed, action_list &actions, instant now);
    void claimRefused(ticket &each, attempt &failed, const claim_answer &answer,
                      action_list &actions, instant now);
    void sendClaimed(ticket_id id, std::uint32_t number);
    void sendIdempotent(ticket_id id, std::uint32_t number);
    void send(ticket_id id, std::uint32_t number);
    void attemptEnded(ticket_id id, std::uint32_t number, const forward_result &result);
    void idempotentEnded(ticket &each, upstream_verdict verdict, const forward_result &result,
                         const attempt &ended, action_list &actions, instant now);
    void onceOnlyEnded(ticket &each, upstream_verdict verdict, const forward_result &result,
                       const attempt &ended, action_list &actions, instant now);
    void release(ticket &each, const attempt &unused, result_code code, bool mayRetry,
                 action_list &actions, instant now);
    void released(ticket_id id, bool committed, result_code code, bool mayRetry);
    void retryOrRefuse(ticket &each, action_list &actions, instant now);
    void answer(ticket &each, work_answer answer, action_list &actions, instant now);
    void refuse(ticket &each, result_code code, action_list &actions, instant now);
    void timerFired(const timer &fired, action_list &actions, instant now);
    void deadlinePassed(ticket &each, action_list &actions, instant now);
    void hedge(ticket &each, action_list &actions, instant now);
    void takeReady(action_list &actions, instant now);
    void reportAttempt(const ticket &each, attempt &ended, attempt_outcome outcome,
                       std::uint64_t bytes, instant now);
    void forgetIfOver(ticket &each);
    void cancelOpen(ticket &each, action_list &actions);
    [[nodiscard]] region_name originOf(const work_request &request);
    [[nodiscard]] ticket *find(ticket_id id);

    const coordinator_settings m_settings;
    const coordinator_hooks m_hooks;
    mutable std::mutex m_mutex;
    entry_dispatcher m_dispatcher;
    service_recorder m_recorder;
    key_memory m_keys;
    std::map<ticket_id, std::unique_ptr<ticket>> m_tickets;
    std::multimap<instant, timer> m_timers;
    std::set<region_name> m_origins;
    ticket_id m_lastTicket;
    // The dispatcher's time never goes backwards, while threads reach the mutex in any order.
    instant m_latest{};
};

} // namespace kingcuptiller
