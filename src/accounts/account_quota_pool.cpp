#include "kingcuptiller/accounts/account_quota_pool.h"

#include "kingcuptiller/telemetry/log.h"

#include <algorithm>
#include <cmath>

namespace kingcuptiller {

namespace {

// How long credits are valid. Entries that are cut off go on for so long.
constexpr milliseconds creditLifetime{1'000};
// The share of the permitted excess that a bucket may hold beyond the burst.
constexpr double pooledExcessShare = 0.5;
// An account is constrained while its bucket holds less than this share of its capacity.
constexpr double constrainedShare = 0.3;
// The most of a bucket that one request takes, so that the entry that asks first leaves some.
constexpr double largestGrantShare = 0.5;
// Requests that could not be served are counted against the time until there is room for this long.
constexpr double unmetDecayMs = 300;
// Entries send their requests this far apart. All of them together send at most some 600 a second.
constexpr milliseconds shortestInterval{100};
constexpr milliseconds longestInterval{1'000};
constexpr milliseconds intervalPerEntry{2};
// An entry that is silent for so long is taken to serve its part of the limits alone. Shorter than
// the time after which entries do so.
constexpr milliseconds silenceLimit{1'200};
// The list of constrained accounts, which all entries get, is made at most so often.
constexpr milliseconds constrainedInterval{40};
constexpr double maxTimeUntilRoomMs = 10'000;

double toMs(microseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

account_quota_pool::account_quota_pool(const quota_tolerance &tolerance)
    : m_tolerance(tolerance)
{
}

void account_quota_pool::restart(instant now)
{
    m_entries.clear();
    m_heardShare = 0;
    m_constrainedAt.reset();
    for (auto &[account, bucket] : m_buckets) {
        const account_rate_limit limit = bucket.limit;
        bucket = {};
        bucket.limit = limit;
        bucket.refilledAt = now;
    }
}

void account_quota_pool::setAccounts(const std::vector<client_account> &accounts, instant now)
{
    std::map<account_name, account_bucket> previous;
    previous.swap(m_buckets);
    for (const client_account &account : accounts) {
        if (account.limit.requestsPerSecond <= 0)
            continue;
        account_bucket bucket;
        const auto known = previous.find(account.name);
        if (known != previous.end()) {
            bucket = std::move(known->second);
            refill(bucket, now);
        } else {
            bucket.refilledAt = now;
        }
        bucket.limit = account.limit;
        m_buckets.emplace(account.name, std::move(bucket));
    }
}

double account_quota_pool::capacityOf(const account_bucket &bucket) const
{
    const double windowSeconds = toMs(m_tolerance.window) / 1'000;
    const double permitted = bucket.limit.requestsPerSecond * windowSeconds + bucket.limit.burst;
    const double excess = permitted * m_tolerance.overage + m_tolerance.slack;
    return bucket.limit.burst + excess * pooledExcessShare;
}

void account_quota_pool::refill(account_bucket &bucket, instant now) const
{
    std::erase_if(bucket.holders, [&](const auto &each) { return each.second.expiry <= now; });
    double held = 0;
    for (const auto &[entry, credits] : bucket.holders)
        held += credits.held;
    const double seconds = std::max(toMs(now - bucket.refilledAt) / 1'000, 0.0);
    bucket.refilledAt = now;
    bucket.tokens =
        std::min(bucket.tokens + seconds * bucket.limit.requestsPerSecond * m_heardShare,
                 capacityOf(bucket) - held);
    bucket.unmet *= std::exp(-toMs(now - bucket.unmetAt) / unmetDecayMs);
    bucket.unmetAt = now;
}

void account_quota_pool::settle(account_bucket &bucket, const endpoint_address &entry,
                                const credit_usage &usage) const
{
    const auto holder = bucket.holders.find(entry);
    if (holder != bucket.holders.end()) {
        const double returned = std::min<double>(usage.returned, holder->second.held);
        bucket.tokens += returned;
        holder->second.held = std::max(holder->second.held - returned - usage.spent, 0.0);
    }
    bucket.tokens -= usage.owed;
}

std::uint32_t account_quota_pool::grant(account_bucket &bucket, const endpoint_address &entry,
                                        std::uint32_t requested, instant now)
{
    if (requested == 0)
        return 0;
    const double available =
        bucket.tokens < 1 ? 0 : std::max(std::floor(bucket.tokens * largestGrantShare), 1.0);
    const auto credits = static_cast<std::uint32_t>(std::min<double>(requested, available));
    bucket.unmet += requested - credits;
    if (credits == 0)
        return 0;
    bucket.tokens -= credits;
    entry_credits &holder = bucket.holders[entry];
    holder.held += credits;
    holder.expiry = now + creditLifetime;
    return credits;
}

void account_quota_pool::updateHeardShare(std::size_t entryCount, instant now)
{
    std::erase_if(m_entries,
                  [&](const auto &each) { return now - each.second.heardAt > silenceLimit; });
    m_heardShare = std::min(static_cast<double>(m_entries.size())
                                / static_cast<double>(std::max<std::size_t>(entryCount, 1)),
                            1.0);
}

bool account_quota_pool::isNew(const credit_request &request, instant now)
{
    entry_run &known = m_entries[request.entry];
    known.heardAt = now;
    if (known.run == request.run && request.sequence <= known.sequence)
        return false;
    known = {request.run, request.sequence, now};
    return true;
}

void account_quota_pool::noteExhaustion(const account_name &account, account_bucket &bucket)
{
    const bool isExhausted = bucket.tokens < 1 && bucket.unmet >= 1;
    if (isExhausted == bucket.isExhausted)
        return;
    bucket.isExhausted = isExhausted;
    log_line(log_level::info, "accounts", isExhausted ? "account_limited" : "account_within_limit")
        .field("account", account.text())
        .field("rate", bucket.limit.requestsPerSecond)
        .field("burst", bucket.limit.burst)
        .field("unmet", std::int64_t(std::llround(bucket.unmet)))
        .field("entries_with_credits", std::uint64_t(bucket.holders.size()));
}

void account_quota_pool::updateConstrained(instant now)
{
    if (m_constrainedAt && now - *m_constrainedAt < constrainedInterval)
        return;
    m_constrainedAt = now;
    m_constrained.clear();
    for (auto &[account, bucket] : m_buckets) {
        refill(bucket, now);
        noteExhaustion(account, bucket);
        if (bucket.tokens >= capacityOf(bucket) * constrainedShare)
            continue;
        const double missing = bucket.tokens < 1 ? 1 - bucket.tokens + bucket.unmet : 0;
        const double untilRoomMs = missing / bucket.limit.requestsPerSecond * 1'000;
        m_constrained.push_back(
            {account, milliseconds(std::llround(std::min(untilRoomMs, maxTimeUntilRoomMs)))});
    }
}

credit_reply account_quota_pool::handle(const credit_request &request, std::size_t entryCount,
                                        instant now)
{
    credit_reply reply;
    reply.sequence = request.sequence;
    reply.lifetime = creditLifetime;
    reply.interval = std::clamp(intervalPerEntry * static_cast<milliseconds::rep>(entryCount),
                                shortestInterval, longestInterval);
    const bool isNewRequest = isNew(request, now);
    updateHeardShare(entryCount, now);
    if (isNewRequest) {
        for (const credit_usage &usage : request.accounts) {
            const auto found = m_buckets.find(usage.account);
            if (found == m_buckets.end())
                continue;
            account_bucket &bucket = found->second;
            refill(bucket, now);
            settle(bucket, request.entry, usage);
            const std::uint32_t credits = grant(bucket, request.entry, usage.requested, now);
            if (credits > 0)
                reply.grants.push_back({usage.account, credits});
        }
    }
    updateConstrained(now);
    reply.constrained = m_constrained;
    return reply;
}

double account_quota_pool::tokensOf(const account_name &account, instant now)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return 0;
    refill(found->second, now);
    return found->second.tokens;
}

} // namespace kingcuptiller
