#include "kingcuptiller/accounts/account_credits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcuptiller {

namespace {

constexpr milliseconds initialInterval{100};
// While a request waits for a credit, messages are this far apart.
constexpr milliseconds urgentInterval{40};
// While so many messages are not answered, the next one is sent only after this time. A leader that
// cannot keep up would otherwise get ever more of them.
constexpr std::size_t mostUnanswered = 2;
constexpr milliseconds unansweredInterval{400};
// Time constant of the average demand.
constexpr double demandDecayMs = 500;
// Credits are asked for ahead for the interval between messages and this time, which covers the
// round trip to a leader in another region.
constexpr double requestLeadMs = 250;
// Credits are asked for ahead after more recent requests than this. A single request says little
// about the next one, and credits that nobody uses are missing at other entries.
constexpr double fewestRecentRequests = 1.2;
// Without a reply for so long, the state of all accounts is unknown. Several messages may be lost.
constexpr milliseconds replyTimeout{1'500};
// What all entries together serve at once, at the most, when they lose the leader at one moment.
constexpr double initialFallbackRequests = 10;
// A reply shows that an account has room for requests ahead of a grant for so long, beyond the
// interval between messages.
constexpr milliseconds replyFreshness{400};
// Requests that were sent and not answered for so long are taken as lost.
constexpr milliseconds requestTimeout{1'000};
// Requests of one account that are served ahead of a grant and not reported.
constexpr std::uint32_t maxOwed = 1;
constexpr milliseconds retryAfterUnknown{200};
constexpr milliseconds leastRetryAfter{50};
// Accounts without requests for so long are forgotten.
constexpr milliseconds forgetAccountAfter{10'000};
// The lifetime of a credit that is given back.
constexpr milliseconds returnedLifetime{500};

double toMs(microseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

account_credits::account_credits(endpoint_address entry, std::uint64_t run)
    : m_entry(std::move(entry))
    , m_run(run)
    , m_interval(initialInterval)
{
}

std::uint32_t account_credits::creditsOf(const account_record &record)
{
    std::uint32_t credits = 0;
    for (const credit_batch &batch : record.batches)
        credits += batch.credits;
    return credits;
}

account_credits::account_record &account_credits::recordOf(const account_name &account, instant now)
{
    account_record &record = m_accounts[account];
    std::erase_if(record.batches, [&](const credit_batch &batch) {
        if (batch.expiry > now)
            return false;
        record.returned += batch.credits;
        return true;
    });
    return record;
}

void account_credits::countDemand(account_record &record, instant now)
{
    const double elapsedMs = std::max(toMs(now - record.lastDemand), 0.0);
    record.demandPerSecond =
        record.demandPerSecond * std::exp(-elapsedMs / demandDecayMs) + 1'000 / demandDecayMs;
    record.lastDemand = now;
}

bool account_credits::isReplyFresh(instant now) const
{
    return m_lastReply && now - *m_lastReply < m_interval + replyFreshness;
}

credit_answer account_credits::takeWithoutLeader(const client_account &account,
                                                 account_record &record, instant now) const
{
    const auto entries = static_cast<double>(std::max<std::size_t>(m_entryCount, 1));
    const double rate = account.limit.requestsPerSecond / entries;
    if (!record.fallback)
        record.fallback = fallback_bucket{std::min(initialFallbackRequests / entries, 1.0), now};
    fallback_bucket &bucket = *record.fallback;
    const double elapsedSeconds = std::max(toMs(now - bucket.refilledAt) / 1'000, 0.0);
    bucket.tokens = std::min(bucket.tokens + elapsedSeconds * rate,
                             std::max(account.limit.burst / entries, 1.0));
    bucket.refilledAt = now;
    if (bucket.tokens < 1)
        return {credit_decision::unknown, retryAfterUnknown};
    bucket.tokens -= 1;
    return {};
}

credit_answer account_credits::take(const client_account &account, instant now, bool isRepeated)
{
    if (account.limit.requestsPerSecond <= 0)
        return {};
    account_record &record = recordOf(account.name, now);
    if (!isRepeated)
        countDemand(record, now);
    if (!record.batches.empty()) {
        credit_batch &oldest = record.batches.front();
        ++record.spent;
        if (--oldest.credits == 0)
            record.batches.pop_front();
        return {};
    }
    if (!m_lastReply || now - *m_lastReply > replyTimeout)
        return takeWithoutLeader(account, record, now);
    record.fallback.reset();
    const auto constrained = m_constrained.find(account.name);
    if (constrained == m_constrained.end()) {
        if (isReplyFresh(now) && record.owed < maxOwed) {
            ++record.owed;
            return {};
        }
    } else if (constrained->second.untilRoom > milliseconds(0)) {
        const instant end = constrained->second.since + constrained->second.untilRoom;
        const auto remaining = std::chrono::ceil<milliseconds>(end - now);
        return {credit_decision::limited, std::max(remaining, leastRetryAfter)};
    }
    // What the last message asked for may not have been granted in full.
    if (!isRepeated || record.requested == 0) {
        ++record.waiting;
        m_isShort = true;
    }
    return {credit_decision::wait, retryAfterUnknown};
}

void account_credits::giveBack(const client_account &account, instant now)
{
    if (account.limit.requestsPerSecond <= 0)
        return;
    account_record &record = recordOf(account.name, now);
    if (record.owed > 0) {
        --record.owed;
        return;
    }
    if (record.spent > 0)
        --record.spent;
    record.batches.push_front({1, now + returnedLifetime});
}

bool account_credits::isRequestDue(instant now) const
{
    if (!m_lastSent)
        return true;
    if (m_sent.size() >= mostUnanswered)
        return now - *m_lastSent >= std::max(unansweredInterval, m_interval);
    return now - *m_lastSent >= (m_isShort ? std::min(urgentInterval, m_interval) : m_interval);
}

std::uint32_t account_credits::wantedCredits(const account_record &record, instant now) const
{
    const double demand =
        record.demandPerSecond * std::exp(-toMs(now - record.lastDemand) / demandDecayMs);
    const double recentRequests = demand * demandDecayMs / 1'000;
    const double ahead = recentRequests < fewestRecentRequests
        ? 0
        : std::ceil(demand * (toMs(m_interval) + requestLeadMs) / 1'000);
    const double wanted = ahead + record.waiting;
    const double available = static_cast<double>(creditsOf(record)) + record.requested;
    return static_cast<std::uint32_t>(std::max(wanted - available, 0.0));
}

credit_request account_credits::makeRequest(instant now)
{
    for (auto each = m_sent.begin(); each != m_sent.end();) {
        const bool isLost = now - each->second.sentAt > requestTimeout;
        if (isLost)
            settle(each->second);
        each = isLost ? m_sent.erase(each) : std::next(each);
    }
    sent_request sent{now, {}};
    credit_request request{m_entry, m_run, ++m_sequence, {}};
    for (auto each = m_accounts.begin(); each != m_accounts.end();) {
        account_record &record = recordOf(each->first, now);
        const std::uint32_t wanted = wantedCredits(record, now);
        const credit_usage usage{each->first, record.spent, record.returned, record.owed, wanted};
        if (usage != credit_usage{each->first, 0, 0, 0, 0})
            request.accounts.push_back(usage);
        record.spent = 0;
        record.returned = 0;
        record.owed = 0;
        record.waiting = 0;
        if (wanted > 0) {
            record.requested += wanted;
            sent.requested.emplace(each->first, wanted);
        }
        const bool isForgotten =
            record.batches.empty() && now - record.lastDemand > forgetAccountAfter;
        each = isForgotten ? m_accounts.erase(each) : std::next(each);
    }
    m_sent.emplace(request.sequence, std::move(sent));
    m_lastSent = now;
    m_isShort = false;
    return request;
}

void account_credits::applyReply(const credit_reply &reply, instant now)
{
    const auto sent = m_sent.find(reply.sequence);
    if (sent == m_sent.end())
        return;
    // The leader granted the credits later than the request was sent, so its time ends later.
    const instant expiry = sent->second.sentAt + reply.lifetime;
    settle(sent->second);
    m_sent.erase(sent);
    m_lastReply = now;
    m_interval = std::max(reply.interval, urgentInterval);
    for (const credit_grant &grant : reply.grants) {
        account_record &record = recordOf(grant.account, now);
        if (expiry > now && grant.credits > 0)
            record.batches.push_back({grant.credits, expiry});
    }
    m_constrained.clear();
    for (const constrained_account &each : reply.constrained)
        m_constrained[each.account] = {each.untilRoom, now};
}

void account_credits::settle(const sent_request &sent)
{
    for (const auto &[account, requested] : sent.requested) {
        const auto found = m_accounts.find(account);
        if (found != m_accounts.end())
            found->second.requested -= std::min(found->second.requested, requested);
    }
}

} // namespace kingcuptiller
