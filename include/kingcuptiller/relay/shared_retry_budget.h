#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace kingcuptiller {

// Limits the retries (attempts after the first one of a request) that all entries, the proxies that
// forward requests, may send together to one service in any time span of length `window`:
// `retriesPerRequest` times the number of requests to the service, plus `additionalRetries`.
struct retry_budget_limits
{
    double retriesPerRequest = 0.2;
    double additionalRetries = 64;
    milliseconds window{10'000};

    auto operator<=>(const retry_budget_limits &) const = default;
};

// One entry's share of the retry budget of the whole fleet. Entries enforce their shares without
// communication, so the limit on the sum holds even during a network partition between entries,
// unless there are so many entries that `minimumBucketCapacity` exceeds their shares.
class shared_retry_budget
{
public:
    explicit shared_retry_budget(const retry_budget_limits &limits)
        : m_limits(limits)
    {
    }

    // Sets the number of entries that share `additionalRetries`.
    void setEntryCount(std::size_t entryCount)
    {
        m_entryCount = std::max<std::size_t>(entryCount, 1);
    }

    // Adds a fraction of a token, `retriesPerRequest` scaled by `safetyFactor`, for one request to
    // `service`.
    void recordRequest(const service_name &service, instant now)
    {
        token_bucket &bucket = refillBucket(service, now);
        bucket.tokens =
            std::min(bucket.tokens + m_limits.retriesPerRequest * safetyFactor, bucketCapacity());
    }

    // Takes one retry out of the budget of `service`. Returns false when the budget is exhausted.
    [[nodiscard]] bool takeRetry(const service_name &service, instant now)
    {
        token_bucket &bucket = refillBucket(service, now);
        if (bucket.tokens < 1)
            return false;
        bucket.tokens -= 1;
        return true;
    }

private:
    struct token_bucket
    {
        double tokens = 0;
        instant refilledAt;
    };

    // Fraction of `retriesPerRequest` and of `additionalRetries` that is used; the rest is a safety
    // margin.
    static constexpr double safetyFactor = 0.8;
    // Lets an entry retry once even when its share of `additionalRetries` is smaller.
    static constexpr double minimumBucketCapacity = 1;

    // `refillBucket` adds one capacity per window, and the bucket can be full at the start of the
    // window. A window thus permits two capacities, so the capacity is half of the entry's share of
    // `additionalRetries`.
    [[nodiscard]] double bucketCapacity() const
    {
        return std::max(m_limits.additionalRetries / 2 / static_cast<double>(m_entryCount)
                            * safetyFactor,
                        minimumBucketCapacity);
    }

    token_bucket &refillBucket(const service_name &service, instant now)
    {
        auto [position, added] =
            m_buckets.try_emplace(service, token_bucket{bucketCapacity(), now});
        token_bucket &bucket = position->second;
        const double windows = std::chrono::duration<double>(now - bucket.refilledAt)
            / std::chrono::duration<double>(m_limits.window);
        bucket.tokens =
            std::min(bucket.tokens + std::max(windows, 0.0) * bucketCapacity(), bucketCapacity());
        bucket.refilledAt = now;
        return bucket;
    }

    retry_budget_limits m_limits;
    std::size_t m_entryCount = 1;
    std::map<service_name, token_bucket> m_buckets;
};

} // namespace kingcuptiller
