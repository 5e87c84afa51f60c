#include "kingcuptiller/steering/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace kingcuptiller {

namespace {

// Weight of a new sample in the moving average of the latency. After ten samples, the previous
// estimate weighs 20%. At usual request rates the estimate follows a change of the latency within
// one second and still averages out variation between single requests.
constexpr double sampleWeight = 0.15;

// Relative increase of the latency estimate when all slots of this entry are in use, and when the
// upstream reports full load.
constexpr double ownConcurrencyWeight = 0.3;
constexpr double reportWeight = 0.5;
// Weight of the reported load when the entry has measured the latency recently. Small, so that a
// report that is wrong by a factor of 5 only affects the selection among upstreams of about equal
// latency.
constexpr double reportWeightWithRecentMeasurement = 0.05;

// Each consecutive attempt that was shed, failed, timed out or refused a connection adds the
// measured latency to the estimate once more, up to this many times. The limit keeps the estimate
// from exceeding all deadlines, which would prevent the upstream from being tried again.
constexpr std::uint32_t maxCountedUnanswered = 3;

double microsecondsSince(instant then, instant now)
{
    return static_cast<double>((now - then).count());
}

} // namespace

std::uint32_t warmUpLimit(std::uint32_t limit, microseconds age, microseconds warmUp)
{
    if (limit == 0 || age >= warmUp)
        return limit;
    const double share =
        static_cast<double>(std::max<std::int64_t>(age.count(), 0)) / double(warmUp.count());
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(share * limit));
}

void upstream_health::updateLatency(double sampleUs, instant now)
{
    // After failures, the first answer replaces the estimate, because earlier samples were measured
    // while the upstream was failing.
    const bool restartEstimate = !m_lastObservation || m_consecutiveUnanswered > 0;
    m_latencyUs =
        restartEstimate ? sampleUs : m_latencyUs + sampleWeight * (sampleUs - m_latencyUs);
    m_lastObservation = now;
}

void upstream_health::recordAttempt(attempt_outcome outcome, microseconds latency, instant now)
{
    const auto sample = static_cast<double>(latency.count());
    switch (outcome) {
    case attempt_outcome::answered:
        updateLatency(sample, now);
        m_consecutiveUnanswered = 0;
        m_consecutiveFailures = 0;
        m_ejections = 0;
        return;
    case attempt_outcome::shed:
        ++m_consecutiveUnanswered;
        return;
    case attempt_outcome::timeout:
    case attempt_outcome::cancelled:
        // The answer would have taken at least this long. The time counts as one ordinary sample,
        // and only if it raises the estimate, because one slow request is no reason to avoid the
        // upstream.
        m_latencyUs += sampleWeight * std::max(0.0, sample - m_latencyUs);
        if (outcome == attempt_outcome::cancelled)
            return;
        ++m_consecutiveUnanswered;
        ++m_consecutiveFailures;
        return;
    case attempt_outcome::connect_refused:
    case attempt_outcome::failed:
        ++m_consecutiveUnanswered;
        ++m_consecutiveFailures;
        return;
    case attempt_outcome::not_sent:
        return;
    }
}

void upstream_health::recordLoadReport(double load, microseconds age, instant now)
{
    const instant measured = now - age;
    if (m_lastReport && measured < *m_lastReport)
        return;
    // NaN carries no information and counts as full load, because missing data must never make an
    // upstream look idle.
    m_load = std::isnan(load) ? 1 : std::clamp(load, 0.0, 1.0);
    m_lastReport = measured;
}

double upstream_health::reportedLoad(instant now) const
{
    if (!m_lastReport)
        return 1;
    const double overdueUs =
        microsecondsSince(*m_lastReport, now) - double(microseconds(estimateHoldTime).count());
    const double riseToFullLoad =
        std::clamp(overdueUs / double(microseconds(estimateHoldTime).count()), 0.0, 1.0);
    return m_load + (1 - m_load) * riseToFullLoad;
}

double upstream_health::stalenessFactor(instant now) const
{
    if (!m_lastObservation)
        return 1;
    const double overdueUs =
        microsecondsSince(*m_lastObservation, now) - double(microseconds(estimateHoldTime).count());
    return 1 + std::clamp(overdueUs / double(microseconds(maxEjectionDuration).count()), 0.0, 1.0);
}

microseconds upstream_health::expectedLatency(microseconds priorLatency, std::uint32_t inFlight,
                                              std::uint32_t limit, instant now) const
{
    const bool hasRecentMeasurement =
        m_lastObservation && now - *m_lastObservation <= microseconds(estimateHoldTime);
    const double measuredUs =
        m_lastObservation ? m_latencyUs : std::max(m_latencyUs, double(priorLatency.count()));
    // Increase the estimate after fast rejections and failures; they must not make an upstream look
    // fast.
    const double base = measuredUs * (1 + std::min(m_consecutiveUnanswered, maxCountedUnanswered));
    const double concurrencyShare = limit == 0 ? 1 : std::min(1.0, double(inFlight) / limit);
    const double load = (hasRecentMeasurement ? reportWeightWithRecentMeasurement : reportWeight)
        * reportedLoad(now);
    const double estimate =
        base * stalenessFactor(now) * (1 + ownConcurrencyWeight * concurrencyShare + load);
    return microseconds(static_cast<std::int64_t>(estimate));
}

void upstream_health::eject(instant now)
{
    const auto longest = microseconds(maxEjectionDuration);
    const auto length = microseconds(firstEjectionDuration) * (1 << std::min(m_ejections, 4U));
    m_ejectedUntil = now + std::min(length, longest);
    ++m_ejections;
    // The next failure after this ejection calls for another one.
    m_consecutiveFailures = failuresToEject - 1;
}

} // namespace kingcuptiller
