#pragma once

#include "kingcuptiller/values/time.h"

#include <array>
#include <cstdint>

namespace kingcuptiller {

// Estimates quantiles of recent latencies from a histogram with logarithmic buckets, each about 9%
// wide, from 16 microseconds to 60 s. All counts are halved after every 1,000 samples, so that
// recent samples weigh more than old ones.
class decaying_latency_histogram
{
public:
    // With fewer samples in the histogram, `quantileLatency` returns zero, because an estimate of a
    // quantile such as the 95th percentile would be unreliable.
    static constexpr std::uint32_t minimumSamples = 50;

    void add(microseconds latency);
    // Returns the upper bound of the bucket that contains the quantile (0 to 1), or zero with fewer
    // than `minimumSamples` samples.
    [[nodiscard]] microseconds quantileLatency(double quantile) const;

private:
    std::array<std::uint32_t, 176> m_counts{};
    std::uint32_t m_total = 0;
    std::uint32_t m_samplesSinceHalving = 0;
};

// Measures the demand for one class of work: the arrival rate in requests per second and the
// concurrency, which is the number of requests in flight or queued. Both are exponentially smoothed
// with a time constant of 1 s. Refused requests add to the concurrency as if each had been served
// with the smoothed latency of the class; otherwise the measured demand of an overloaded class
// would not exceed its slots.
class class_meter
{
public:
    static constexpr double timeConstantUs = 1e6;

    void recordArrival(instant now);
    // Called when an attempt is sent or a request is queued.
    void acquire(instant now);
    // Called when an attempt has ended or a queued request leaves its queue.
    void release(instant now);
    void recordRefusal(instant now);
    void recordAnswer(microseconds latency, std::uint64_t bytes);

    [[nodiscard]] double arrivalsPerSecond(instant now);
    [[nodiscard]] double concurrency(instant now);
    // Smoothed latency from sending a request to the end of its answer; 100 ms before the first
    // answer.
    [[nodiscard]] microseconds latency() const;
    [[nodiscard]] double answerBytes() const { return m_answerBytes; }

private:
    void decayAverages(instant now);

    instant m_lastDecay;
    std::uint64_t m_outstanding = 0;
    double m_averageOutstanding = 0;
    double m_arrivalRate = 0;
    double m_refusalRate = 0;
    double m_latencyUs = 0;
    // Initial value until the first answer: 4 KiB, about one page of text.
    double m_answerBytes = 4096;
};

} // namespace kingcuptiller
