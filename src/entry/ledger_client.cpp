#include "kingcuptiller/entry/ledger_client.h"

#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/transport/control_calls.h"

#include <algorithm>
#include <map>
#include <thread>
#include <utility>

namespace kingcuptiller {

namespace {

constexpr std::size_t maximumBatch = 1000;
// Half of the limit of a message, so that the JSON around the items never matters.
constexpr std::size_t maximumBatchBytes = std::size_t(512) * 1024;
// A claim or a settlement without its answer body, as JSON.
constexpr std::size_t itemBytes = 512;
// Covers two round trips between regions (up to 110 ms each) and a commit several times. A silent
// leader holds up a batch for this long.
constexpr milliseconds callLimit{800};
// Between two tries while no leader answers.
constexpr milliseconds pauseAfterFailure{20};

std::size_t bytesOf(const settlement &settled)
{
    // The body is base64 in JSON.
    return itemBytes + (settled.answer ? settled.answer->body.size() * 4 / 3 : 0);
}

// Time for one call: no longer than the most patient item of the batch waits.
template <typename Entry>
milliseconds limitOf(const std::vector<Entry> &batch, instant now)
{
    instant last = now;
    for (const Entry &each : batch)
        last = std::max(last, each.giveUpAt);
    return std::clamp(std::chrono::duration_cast<milliseconds>(last - now), milliseconds(1),
                      callLimit);
}

// Ends the items whose time is over with `result` and returns the others.
template <typename Entry, typename Result>
std::vector<Entry> endExpired(std::vector<Entry> batch, instant now, const Result &result)
{
    std::vector<Entry> left;
    for (Entry &each : batch) {
        if (each.giveUpAt <= now)
            each.done(result);
        else
            left.push_back(std::move(each));
    }
    return left;
}

void logFailure(std::string_view method, const std::exception &failure)
{
    log_line(log_level::warning, "ledger_client", "call_failed")
        .field("method", method)
        .field("reason", failure.what());
}

} // namespace

ledger_client::ledger_client(std::function<control_link()> openLink, std::function<instant()> now,
                             counter_registry &counters)
    : m_openLink(std::move(openLink))
    , m_now(std::move(now))
    , m_claimCalls(counters.get("kct_claim_calls_total"))
    , m_claims(counters.get("kct_claims_total"))
    , m_failedCalls(counters.get("kct_ledger_calls_failed_total"))
{
}

void ledger_client::requestClaim(const claim &wanted, instant giveUpAt,
                                 std::function<void(std::optional<claim_answer>)> done)
{
    ++m_open;
    m_claimQueue.push({.item = wanted,
                       .giveUpAt = giveUpAt,
                       .bytes = itemBytes,
                       .done = [this, done = std::move(done)](std::optional<claim_answer> answer) {
                           --m_open;
                           done(std::move(answer));
                       }});
}

void ledger_client::settle(const settlement &settled, instant giveUpAt,
                           std::function<void(bool)> done)
{
    ++m_open;
    m_settlementQueue.push({.item = settled,
                            .giveUpAt = giveUpAt,
                            .bytes = bytesOf(settled),
                            .done = [this, done = std::move(done)](bool committed) {
                                --m_open;
                                done(committed);
                            }});
}

void ledger_client::runClaims(const std::stop_token &stop)
{
    control_link link = m_openLink();
    while (!stop.stop_requested()) {
        auto batch = endExpired(m_claimQueue.take(stop, maximumBatch, maximumBatchBytes), m_now(),
                                std::optional<claim_answer>());
        if (!batch.empty())
            sendClaims(link, std::move(batch));
    }
}

void ledger_client::runSettlements(const std::stop_token &stop)
{
    control_link link = m_openLink();
    while (!stop.stop_requested()) {
        auto batch = endExpired(m_settlementQueue.take(stop, maximumBatch, maximumBatchBytes),
                                m_now(), false);
        if (!batch.empty())
            sendSettlements(link, std::move(batch));
    }
}

void ledger_client::sendClaims(control_link &link, std::vector<claim_queue::entry> batch)
{
    std::vector<claim> claims;
    claims.reserve(batch.size());
    for (const auto &each : batch)
        claims.push_back(each.item);
    m_claimCalls.add();
    m_claims.add(claims.size());
    std::map<attempt_id, claim_answer> answers;
    try {
        const auto answer =
            link.call(claimRequestsMethod, claimsToJson(claims), limitOf(batch, m_now()));
        for (claim_answer &each : claimAnswersFromJson(answer.result)) {
            const attempt_id attempt = each.attempt;
            answers.emplace(attempt, std::move(each));
        }
    } catch (const std::exception &failure) {
        m_failedCalls.add();
        logFailure(claimRequestsMethod, failure);
        std::this_thread::sleep_for(pauseAfterFailure);
    }
    std::vector<claim_queue::entry> unanswered;
    for (auto &each : batch) {
        const auto found = answers.find(each.item.attempt);
        if (found != answers.end())
            each.done(found->second);
        else
            unanswered.push_back(std::move(each));
    }
    unanswered = endExpired(std::move(unanswered), m_now(), std::optional<claim_answer>());
    if (!unanswered.empty())
        m_claimQueue.putBack(std::move(unanswered));
}

void ledger_client::sendSettlements(control_link &link, std::vector<settlement_queue::entry> batch)
{
    std::vector<settlement> settlements;
    settlements.reserve(batch.size());
    for (const auto &each : batch)
        settlements.push_back(each.item);
    try {
        link.call(settleRequestsMethod, settlementsToJson(settlements), limitOf(batch, m_now()));
    } catch (const std::exception &failure) {
        m_failedCalls.add();
        logFailure(settleRequestsMethod, failure);
        std::this_thread::sleep_for(pauseAfterFailure);
        auto unanswered = endExpired(std::move(batch), m_now(), false);
        if (!unanswered.empty())
            m_settlementQueue.putBack(std::move(unanswered));
        return;
    }
    for (const auto &each : batch)
        each.done(true);
}

} // namespace kingcuptiller
