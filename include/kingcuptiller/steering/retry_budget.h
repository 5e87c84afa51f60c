#pragma once

#include <algorithm>

namespace kingcuptiller {

// Limits additional attempts (retries, hedges) to a share of the requests, so that they never
// amplify a flood or an outage. Each request earns `share` of an attempt; unused earnings are kept
// up to `maxUnspent` attempts. It starts empty: over its life, attempts never exceed share x
// requests.
class retry_budget
{
public:
    explicit retry_budget(double share, double maxUnspent = 20)
        : m_share(share)
        , m_maxUnspent(maxUnspent)
    {
    }

    void recordRequest() { m_level = std::min(m_level + m_share, m_maxUnspent); }
    [[nodiscard]] bool maySpend() const { return m_level >= 1; }
    void spend() { m_level -= 1; }

private:
    double m_share;
    double m_maxUnspent;
    double m_level = 0;
};

constexpr double retryBudgetShare = 0.1;
constexpr double hedgeBudgetShare = 0.02;

} // namespace kingcuptiller
