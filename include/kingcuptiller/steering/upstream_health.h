#pragma once

#include "kingcuptiller/steering/request.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <optional>

namespace kingcuptiller {

// Default time from the start of an upstream until it may receive requests up to its full limit.
inline constexpr microseconds defaultWarmUp = std::chrono::seconds(10);

// Returns how many slots of an upstream an entry may use while the upstream warms up: a share of
// `limit` that grows linearly with the age of the upstream until `warmUp`, and at least one slot. A
// newly started upstream answers slowly because its caches are empty, and sending it the full load
// would prolong this phase.
[[nodiscard]] std::uint32_t warmUpLimit(std::uint32_t limit, microseconds age,
                                        microseconds warmUp = defaultWarmUp);

// Latency and failure statistics that an entry keeps for one upstream. Latencies that the entry
// measured itself take precedence over the load reports of the upstream, which can be wrong by a
// large factor: a report has its full weight only when there is no measurement from the last 5 s.
//
// An upstream without recent data is never assumed to be idle. The latency estimate stays unchanged
// for 5 s after the last measurement; then it rises, up to twice its value. A reported load stays
// unchanged for 5 s as well, and then rises to 1 (full load).
class upstream_health
{
public:
    // How long an estimate or a load report stays unchanged without new data.
    static constexpr std::chrono::seconds estimateHoldTime{5};
    // Number of consecutive failures after which the upstream should be ejected. Attempts with the
    // outcomes failed, timeout and connect_refused count as failures.
    static constexpr std::uint32_t failuresToEject = 3;
    static constexpr std::chrono::seconds firstEjectionDuration{5};
    static constexpr std::chrono::seconds maxEjectionDuration{60};

    // Updates the statistics with the result of an attempt.
    void recordAttempt(attempt_outcome outcome, microseconds latency, instant now);

    // Records a load report from 0 to 1 that was measured `age` before `now`. Values outside this
    // range are clamped, and NaN counts as full load. A report older than the recorded one is
    // ignored.
    void recordLoadReport(double load, microseconds age, instant now);

    // Returns the expected time from sending a request now to its complete answer, with `inFlight`
    // other requests of this entry at the upstream. `limit` is the maximum number of requests of
    // this entry in flight there. `priorLatency` is used in place of measurements if there are
    // none.
    [[nodiscard]] microseconds expectedLatency(microseconds priorLatency, std::uint32_t inFlight,
                                               std::uint32_t limit, instant now) const;

    // Returns the last reported load, raised towards 1 if the report is more than 5 s old; 1 if
    // there was none.
    [[nodiscard]] double reportedLoad(instant now) const;

    // Returns true if there were enough consecutive failures for an ejection. The caller decides
    // whether enough other upstreams remain available and then calls `eject`.
    [[nodiscard]] bool shouldEject() const { return m_consecutiveFailures >= failuresToEject; }
    // Ejects the upstream for 5 s. Each further ejection without an answer in between lasts twice
    // as long, up to 60 s. After an ejection, a single failure makes `shouldEject` return true
    // again.
    void eject(instant now);
    [[nodiscard]] bool ejected(instant now) const { return now < m_ejectedUntil; }

private:
    void updateLatency(double sampleUs, instant now);
    [[nodiscard]] double stalenessFactor(instant now) const;

    double m_latencyUs = 0;
    std::optional<instant> m_lastObservation;
    double m_load = 0;
    std::optional<instant> m_lastReport;
    // Consecutive attempts with the outcomes shed, failed, timeout or connect_refused.
    std::uint32_t m_consecutiveUnanswered = 0;
    // The attempts among `m_consecutiveUnanswered` that were not shed.
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_ejections = 0;
    instant m_ejectedUntil;
};

} // namespace kingcuptiller
