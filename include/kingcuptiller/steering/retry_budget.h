#pragma once

#include <algorithm>

namespace kingcuptiller {

// Limits additional attempts (retries or hedges) to a share of the requests, so that they do not
// amplify an overload or an outage. Each request adds `share` of an attempt to the budget, which
// holds at most `maxUnspent` attempts. The budget starts empty, so the total number of additional
// attempts never exceeds `share` times the total number of requests.
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
