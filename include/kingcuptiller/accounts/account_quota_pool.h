#pragma once

#include "kingcuptiller/accounts/client_account.h"
#include "kingcuptiller/accounts/quota_messages.h"
#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace kingcuptiller {

// What is promised about the rate limits of accounts. In any time span of length `window`, at most
// (rate x window + burst) x (1 + overage) + slack requests of an account may run.
struct quota_tolerance
{
    milliseconds window{5'000};
    double overage = 0.1;
    double slack = 20;

    bool operator==(const quota_tolerance &) const = default;
};

// The rate limits of client accounts on the leading control host: a token bucket for each account,
// out of which entries get credits. Load to which it responds: accounts that send more than their
// limit, spread over entries that do not see each other's requests.
//
// Entries that are cut off spend at most the credits that they hold, and those are no longer in the
// bucket. The tokens of a bucket and the credits that entries may still hold never exceed the
// burst and half of the permitted excess; the other half is left for requests that entries serve
// ahead of a grant. A new leader starts with empty buckets, because entries may hold credits of
// the previous one.
//
// Entries of which the leader hears nothing serve their part of the limit alone, and the buckets
// fill so much more slowly.
//
// Not thread-safe.
class account_quota_pool
{
public:
    explicit account_quota_pool(const quota_tolerance &tolerance);

    // Empties all buckets, at the begin of a term as the leader.
    void restart(instant now);
    // Sets the limits. Accounts that are not named have none.
    void setAccounts(const std::vector<client_account> &accounts, instant now);
    // Handles a request of an entry. `entryCount` is the number of all entries.
    [[nodiscard]] credit_reply handle(const credit_request &request, std::size_t entryCount,
                                      instant now);

    // The tokens left in an account's bucket, negative while it owes; for tests and metrics.
    [[nodiscard]] double tokensOf(const account_name &account, instant now);

private:
    // Credits that an entry may still hold for one account.
    struct entry_credits
    {
        double held = 0;
        instant expiry;
    };

    struct account_bucket
    {
        account_rate_limit limit;
        double tokens = 0;
        instant refilledAt;
        // Credits that could not be granted, decayed with `unmetDecayMs`.
        double unmet = 0;
        instant unmetAt;
        bool isExhausted = false;
        std::map<endpoint_address, entry_credits> holders;
    };

    struct entry_run
    {
        std::uint64_t run = 0;
        std::uint64_t sequence = 0;
        instant heardAt;
    };

    // Whether the request is neither repeated nor overtaken by a later one.
    [[nodiscard]] bool isNew(const credit_request &request, instant now);
    // Sets the part of the entries of which the leader has heard lately.
    void updateHeardShare(std::size_t entryCount, instant now);
    [[nodiscard]] double capacityOf(const account_bucket &bucket) const;
    // Removes expired credits and refills the bucket.
    void refill(account_bucket &bucket, instant now) const;
    void settle(account_bucket &bucket, const endpoint_address &entry,
                const credit_usage &usage) const;
    [[nodiscard]] static std::uint32_t grant(account_bucket &bucket, const endpoint_address &entry,
                                             std::uint32_t requested, instant now);
    // Brings `m_constrained` up to date, unless that was done a moment ago.
    void updateConstrained(instant now);
    static void noteExhaustion(const account_name &account, account_bucket &bucket);

    quota_tolerance m_tolerance;
    std::map<account_name, account_bucket> m_buckets;
    std::map<endpoint_address, entry_run> m_entries;
    double m_heardShare = 0;
    std::vector<constrained_account> m_constrained;
    std::optional<instant> m_constrainedAt;
};

} // namespace kingcuptiller
