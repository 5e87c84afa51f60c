#pragma once

#include "kingcuptiller/steering/request.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <optional>

namespace kingcuptiller {

// How long a new upstream takes to get its full limit, unless the settings say otherwise.
inline constexpr microseconds defaultWarmUp = std::chrono::seconds(10);

// How many of an upstream's slots an entry may use while the upstream warms up: a share of the
// limit that grows linearly over 10 s, and at least one. Cold caches make early requests slow, and
// a full load of them would keep the upstream slow for longer.
[[nodiscard]] std::uint32_t warmUpLimit(std::uint32_t limit, microseconds age,
                                        microseconds warmUp = defaultWarmUp);

// What an entry knows about one upstream: how fast it answers and whether it fails. Own
// observations take precedence over the upstream's reports, which may be wrong by a large factor:
// a report counts in full only when there is no observation that is still held.
//
// Silence is never read as idleness. An estimate is held for 5 s after the last observation; then
// it is widened, up to twice its value. A report that does not arrive any more is held likewise and
// then moves towards a full load.
class upstream_health
{
public:
    static constexpr std::chrono::seconds estimateHoldTime{5};
    // Failures in a row after which the upstream should be ejected.
    static constexpr std::uint32_t failuresToEject = 3;
    static constexpr std::chrono::seconds firstEjectionDuration{5};
    static constexpr std::chrono::seconds maxEjectionDuration{60};

    // Takes in the end of an attempt.
    void recordAttempt(attempt_outcome outcome, microseconds latency, instant now);

    // Takes in a load report, 0 to 1, that is `age` old. Values outside are clamped.
    void recordLoadReport(double load, microseconds age, instant now);

    // Network and service time of a request sent now beside `inFlight` own requests.
    // `priorLatency` stands in for an upstream without observations.
    [[nodiscard]] microseconds expectedLatency(microseconds priorLatency, std::uint32_t inFlight,
                                               std::uint32_t limit, instant now) const;

    // The last report, moved towards 1 when it is stale.
    [[nodiscard]] double reportedLoad(instant now) const;

    // True when failures in a row call for an ejection. The caller decides whether the upstream's
    // group can spare it and then calls `eject`.
    [[nodiscard]] bool shouldEject() const { return m_consecutiveFailures >= failuresToEject; }
    // Each ejection without an answer in between doubles the next one. The first failure after
    // an ejection calls for another one.
    void eject(instant now);
    [[nodiscard]] bool ejected(instant now) const { return now < m_ejectedUntil; }

private:
    void updateLatency(double sampleUs, instant now);
    [[nodiscard]] double stalenessFactor(instant now) const;

    double m_latencyUs = 0;
    std::optional<instant> m_lastObservation;
    double m_load = 0;
    std::optional<instant> m_lastReport;
    // Attempts in a row that were shed or failed.
    std::uint32_t m_consecutiveUnanswered = 0;
    // Those of them that failed.
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_ejections = 0;
    instant m_ejectedUntil;
};

} // namespace kingcuptiller
