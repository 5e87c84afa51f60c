#pragma once

#include "kingcuptiller/values/time.h"

#include <array>
#include <cstdint>

namespace kingcuptiller {

// A quantile of the latest latencies, from a histogram with buckets of about 9% width between 16
// microseconds and 60 s. Old samples lose weight: after 1,000 samples all counts are halved.
class decaying_latency_histogram
{
public:
    // Fewer samples than this say nothing about a high quantile.
    static constexpr std::uint32_t minimumSamples = 50;

    void add(microseconds latency);
    // The upper bound of the bucket with the quantile, zero with fewer than `minimumSamples`
    // samples.
    [[nodiscard]] microseconds value(double quantile) const;

private:
    std::array<std::uint32_t, 176> m_counts{};
    std::uint32_t m_total = 0;
    std::uint32_t m_samplesSinceHalving = 0;
};

// Measures what clients ask of one class: requests a second and requests in flight or waiting at
// once, each smoothed with a time constant of 1 s. Requests that are refused for want of capacity
// count as if they had been served for the usual time, otherwise the demand of a class in overload
// would look no larger than its slots.
class class_meter
{
public:
    static constexpr double timeConstantUs = 1e6;

    void recordArrival(instant now);
    void acquire(instant now);
    void release(instant now);
    void recordRefusal(instant now);
    void recordAnswer(microseconds latency, std::uint64_t bytes);

    [[nodiscard]] double arrivalsPerSecond(instant now);
    [[nodiscard]] double concurrency(instant now);
    // Smoothed time from sending to the answer, and size of an answer.
    [[nodiscard]] microseconds latency() const;
    [[nodiscard]] double answerBytes() const { return m_answerBytes; }

private:
    void advance(instant now);

    instant m_updated;
    std::uint64_t m_outstanding = 0;
    double m_averageOutstanding = 0;
    double m_arrivalRate = 0;
    double m_refusalRate = 0;
    double m_latencyUs = 0;
    // Until the first answer: a page of text.
    double m_answerBytes = 4096;
};

} // namespace kingcuptiller
