#include "kingcuptiller/steering/class_meter.h"

#include <algorithm>
#include <cmath>

namespace kingcuptiller {

namespace {

// Lower bound of the first bucket of the histogram, in microseconds.
constexpr double firstBucketStartUs = 16;
// Number of buckets in which the latency doubles.
constexpr double bucketsPerDoubling = 8;
constexpr std::uint32_t samplesBeforeHalving = 1000;

constexpr double sampleWeight = 0.05;
// Latency assumed before the first answer; about the target latency of typical classes.
constexpr microseconds latencyBeforeAnswers{100'000};

} // namespace

void decaying_latency_histogram::add(microseconds latency)
{
    const double ratio = std::max(1.0, static_cast<double>(latency.count()) / firstBucketStartUs);
    const auto bucket = static_cast<std::size_t>(std::log2(ratio) * bucketsPerDoubling);
    ++m_counts[std::min(bucket, m_counts.size() - 1)];
    ++m_total;
    if (++m_samplesSinceHalving < samplesBeforeHalving)
        return;
    m_samplesSinceHalving = 0;
    m_total = 0;
    for (std::uint32_t &count : m_counts) {
        count /= 2;
        m_total += count;
    }
}

microseconds decaying_latency_histogram::quantileLatency(double quantile) const
{
    if (m_total < minimumSamples)
        return microseconds(0);
    const double wanted = quantile * m_total;
    double sum = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < m_counts.size(); ++bucket) {
        sum += m_counts[bucket];
        if (sum >= wanted)
            break;
    }
    const double bound = firstBucketStartUs * std::exp2(double(bucket + 1) / bucketsPerDoubling);
    return microseconds(static_cast<std::int64_t>(bound));
}

void class_meter::decayAverages(instant now)
{
    if (now <= m_lastDecay)
        return;
    const double decay =
        std::exp(-static_cast<double>((now - m_lastDecay).count()) / timeConstantUs);
    m_averageOutstanding =
        m_averageOutstanding * decay + static_cast<double>(m_outstanding) * (1 - decay);
    m_arrivalRate *= decay;
    m_refusalRate *= decay;
    m_lastDecay = now;
}

void class_meter::recordArrival(instant now)
{
    decayAverages(now);
    m_arrivalRate += 1e6 / timeConstantUs;
}

void class_meter::acquire(instant now)
{
    decayAverages(now);
    ++m_outstanding;
}

void class_meter::release(instant now)
{
    decayAverages(now);
    m_outstanding -= m_outstanding > 0 ? 1 : 0;
}

void class_meter::recordRefusal(instant now)
{
    decayAverages(now);
    m_refusalRate += 1e6 / timeConstantUs;
}

void class_meter::recordAnswer(microseconds latency, std::uint64_t bytes)
{
    const auto sample = static_cast<double>(latency.count());
    if (m_latencyUs <= 0) {
        m_latencyUs = sample;
        m_answerBytes = static_cast<double>(bytes);
        return;
    }
    m_latencyUs += sampleWeight * (sample - m_latencyUs);
    m_answerBytes += sampleWeight * (static_cast<double>(bytes) - m_answerBytes);
}

double class_meter::arrivalsPerSecond(instant now)
{
    decayAverages(now);
    return m_arrivalRate;
}

double class_meter::concurrency(instant now)
{
    decayAverages(now);
    return m_averageOutstanding + m_refusalRate * static_cast<double>(latency().count()) / 1e6;
}

microseconds class_meter::latency() const
{
    return m_latencyUs > 0 ? microseconds(static_cast<std::int64_t>(m_latencyUs))
                           : latencyBeforeAnswers;
}

} // namespace kingcuptiller
