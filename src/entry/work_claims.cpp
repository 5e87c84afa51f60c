// The part of work_coordinator that keeps non-idempotent work from running twice.

#include "kingcuptiller/entry/work_coordinator.h"

#include "coordinator_ticket.h"

namespace kingcuptiller {

namespace {

// Larger answers are settled without their body.
constexpr std::size_t maximumRecordedBody = std::size_t(64) * 1024;

// How long a settlement is sent again after the client has its answer.
constexpr milliseconds settleLimit{30'000};

recorded_answer toRecord(const http_answer &answer)
{
    const bool tooLarge = answer.body.size() > maximumRecordedBody;
    return {.status = answer.status,
            .contentType = headerValue(answer.headers, "Content-Type"),
            .body = tooLarge ? std::string() : answer.body,
            .bodyDropped = tooLarge};
}

http_answer fromRecord(const recorded_answer &record)
{
    http_answer answer{.status = record.status, .headers = {}, .body = record.body};
    if (!record.contentType.empty())
        answer.headers["Content-Type"] = record.contentType;
    // The client must not take the empty body for the recorded one.
    if (record.bodyDropped)
        answer.headers["X-Recorded-Body"] = "dropped";
    return answer;
}

} // namespace

void work_coordinator::requestClaim(ticket_id id, std::uint32_t number, const claim &wanted,
                                    instant giveUpAt)
{
    m_hooks.requestClaim(
        wanted, giveUpAt,
        [self = shared_from_this(), id, number](const std::optional<claim_answer> &answer) {
            self->claimAnswered(id, number, answer);
        });
}

void work_coordinator::claimAnswered(ticket_id id, std::uint32_t number,
                                     const std::optional<claim_answer> &answer)
{
    locked([&](action_list &actions, instant now) {
        ticket *each = find(id);
        if (each == nullptr || !each->attempts.contains(number))
            return;
        attempt &claimed = each->attempts.at(number);
        if (claimed.used || claimed.ended)
            return;
        const bool belongs = answer && answer->attempt == claimed.id;
        if (belongs && answer->code != result_code::ok)
            return claimRefused(*each, claimed, *answer, actions, now);
        if (belongs && !each->answered) {
            claimed.used = true;
            actions.emplace_back(
                [self = shared_from_this(), id, number] { self->sendClaimed(id, number); });
            return;
        }
        claimLost(*each, claimed, actions, now);
    });
}

// The claim may be committed although no answer came, so it is released.
void work_coordinator::claimLost(ticket &each, attempt &claimed, action_list &actions, instant now)
{
    reportAttempt(each, claimed, attempt_outcome::not_sent, 0, now);
    release(each, claimed, result_code::claim_not_committed, false, actions, now);
    takeReady(actions, now);
}

void work_coordinator::claimRefused(ticket &each, attempt &failed, const claim_answer &answer,
                                    action_list &actions, instant now)
{
    reportAttempt(each, failed, attempt_outcome::not_sent, 0, now);
    m_dispatcher.abandon(each.id, now);
    work_answer told{
        .code = answer.code, .key = each.key, .upstream = {}, .answer = {}, .detail = {}};
    if (answer.code == result_code::already_run && answer.answer)
        told.answer = fromRecord(*answer.answer);
    this->answer(each, std::move(told), actions, now);
    forgetIfOver(each);
    takeReady(actions, now);
}

// Runs outside the mutex. The clock is read here, right before the sending, because the process may
// have been stopped since the claim was answered.
void work_coordinator::sendClaimed(ticket_id id, std::uint32_t number)
{
    const auto snapshot = m_hooks.snapshot();
    std::optional<result_code> refusal;
    locked([&](action_list &actions, instant) {
        ticket *each = find(id);
        if (each == nullptr)
            return;
        attempt &claimed = each->attempts.at(number);
        const instant now = m_hooks.now();
        refusal = snapshot->refusal(now, m_settings.lookupLifetime);
        if (!refusal && now >= claimed.claimedAt + m_settings.claimLifetime)
            refusal = result_code::claim_not_committed;
        if (!refusal && (now >= each->deadline || each->answered))
            refusal = result_code::deadline_unreachable;
        if (!refusal) {
            claimed.startedAt = m_latest;
            m_keys.sent(each->key);
            return;
        }
        claimed.used = false;
        reportAttempt(*each, claimed, attempt_outcome::not_sent, 0, m_latest);
        release(*each, claimed, *refusal, false, actions, m_latest);
        takeReady(actions, m_latest);
    });
    if (!refusal)
        send(id, number);
}

void work_coordinator::onceOnlyEnded(ticket &each, upstream_verdict verdict,
                                     const forward_result &result, const attempt &ended,
                                     action_list &actions, instant now)
{
    if (verdict == upstream_verdict::ran) {
        const settlement completed{.key = each.key,
                                   .attempt = ended.id,
                                   .kind = settlement_kind::completed,
                                   .answer = toRecord(result.answer)};
        answer(each,
               {.code = result_code::ok,
                .key = each.key,
                .upstream = ended.upstream->id,
                .answer = result.answer,
                .detail = {}},
               actions, now);
        actions.emplace_back([this, self = shared_from_this(), completed, now] {
            m_hooks.settle(completed, now + settleLimit, [](bool) {});
        });
        return;
    }
    if (provesNotRun(verdict)) {
        m_keys.provedNotRun(each.key);
        return release(each, ended, codeOf(verdict), true, actions, now);
    }
    if (!each.answered) {
        m_dispatcher.abandon(each.id, now);
        answer(each,
               {.code = codeOf(verdict),
                .key = each.key,
                .upstream = ended.upstream->id,
                .answer = {},
                .detail = {}},
               actions, now);
    }
}

// Fences an attempt that was not run. The client is told so only when the release is committed:
// until then a resent request could be told that its outcome is unknown.
void work_coordinator::release(ticket &each, const attempt &unused, result_code code, bool mayRetry,
                               action_list &actions, instant now)
{
    each.releasing = true;
    each.lastFailure = code;
    const settlement fence{.key = each.key,
                           .attempt = unused.id,
                           .kind = settlement_kind::released,
                           .answer = std::nullopt};
    actions.emplace_back(
        [this, self = shared_from_this(), fence, id = each.id, code, mayRetry, now] {
            m_hooks.settle(fence, now + settleLimit, [self, id, code, mayRetry](bool committed) {
                self->released(id, committed, code, mayRetry);
            });
        });
}

void work_coordinator::released(ticket_id id, bool committed, result_code code, bool mayRetry)
{
    locked([&](action_list &actions, instant now) {
        ticket *each = find(id);
        if (each == nullptr)
            return;
        each->releasing = false;
        if (each->answered)
            return forgetIfOver(*each);
        if (committed && mayRetry)
            return retryOrRefuse(*each, actions, now);
        m_dispatcher.abandon(id, now);
        refuse(*each, committed ? code : result_code::outcome_unknown, actions, now);
    });
}

} // namespace kingcuptiller
