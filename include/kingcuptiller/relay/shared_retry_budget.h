#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace kingcuptiller {

// What all entries together may send beyond the first sending of each request, to one service in
// any window: `retriesPerRequest` of its requests plus `additionalRetries`.
struct retry_budget_limits
{
    double retriesPerRequest = 0.2;
    double additionalRetries = 64;
    milliseconds window{10'000};

    auto operator<=>(const retry_budget_limits &) const = default;
};

// One entry's part of the fleet's retry budget. It keeps to its part without asking anyone, so the
// sum holds while entries are cut off from each other.
class shared_retry_budget
{
public:
    explicit shared_retry_budget(const retry_budget_limits &limits)
        : m_limits(limits)
    {
    }

    // Entries that share the slack.
    void setEntryCount(std::size_t entryCount)
    {
        m_entryCount = std::max<std::size_t>(entryCount, 1);
    }

    void recordRequest(const service_name &service, instant now)
    {
        token_bucket &bucket = refillBucket(service, now);
        bucket.tokens =
            std::min(bucket.tokens + m_limits.retriesPerRequest * safetyFactor, bucketCapacity());
    }

    // Takes one repeat out of the budget; false when none is left.
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

    // A window may begin with a full reserve and refill meanwhile, so each is half of the slack.
    static constexpr double safetyFactor = 0.8;
    static constexpr double minimumBucketCapacity = 1;

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
