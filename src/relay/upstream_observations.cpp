#include "kingcuptiller/relay/upstream_choice.h"

#include "durations.h"
#include "kingcuptiller/telemetry/log.h"

#include <algorithm>
#include <chrono>
#include <cmath>

// Updates the estimates of `upstream_choice` from the results of attempts.

namespace kingcuptiller {

namespace {

using internal::toMs;

// Weights of the newest observation in the moving averages.
constexpr double slownessWeight = 0.15;
constexpr double failureWeight = 0.1;
// Limits of an upstream's service time relative to the average of its route and cache state.
constexpr double minSlowness = 0.7;
constexpr double maxSlowness = 12;
// An upstream that fails gets no requests for the backoff time, which doubles with each further
// failure. One that sheds load gets none for `shedBackoff`.
constexpr milliseconds initialBackoff{500};
constexpr milliseconds maxBackoff{8'000};
constexpr milliseconds shedBackoff{100};
// Consecutive failures before the backoff starts; it starts at once if the upstream is unreachable.
constexpr std::uint32_t failuresBeforeBackoff = 3;
// The statistics of an upstream lose half of their weight after this time without an observation.
constexpr milliseconds observationHalfLife{4'000};

} // namespace

void upstream_choice::rememberObject(upstream_record &upstream, const std::string &object) const
{
    if (object.empty())
        return;
    auto &[order, positions] = upstream.objects;
    const auto known = positions.find(object);
    if (known != positions.end()) {
        order.splice(order.begin(), order, known->second);
        return;
    }
    order.push_front(object);
    positions[object] = order.begin();
    if (order.size() > m_settings.cachedObjectsPerUpstream) {
        positions.erase(order.back());
        order.pop_back();
    }
}

upstream_choice::answer_statistics upstream_choice::statisticsOf(const upstream_record &upstream,
                                                                 instant now)
{
    const double ageMs = std::max(toMs(now - upstream.lastObserved), 0.0);
    const double weight = std::exp2(-ageMs / static_cast<double>(observationHalfLife.count()));
    return {1 + (upstream.statistics.slowness - 1) * weight,
            upstream.statistics.failureRate * weight};
}

void upstream_choice::decayStatistics(upstream_record &upstream, instant now)
{
    upstream.statistics = statisticsOf(upstream, now);
    upstream.lastObserved = now;
}

void upstream_choice::recordFailure(upstream_record &upstream, upstream_attempt_outcome outcome,
                                    instant now)
{
    if (outcome == upstream_attempt_outcome::shed) {
        upstream.backoffUntil = std::max(upstream.backoffUntil, now + shedBackoff);
        return;
    }
    if (outcome == upstream_attempt_outcome::replaced) {
        // The next update of the fleet view tells which incarnation now runs at the address.
        upstream.backoffUntil = now + maxBackoff;
        upstream.capacityLostUntil = upstream.backoffUntil;
        return;
    }
    upstream.statistics.failureRate += (1 - upstream.statistics.failureRate) * failureWeight;
    ++upstream.consecutiveFailures;
    if (outcome != upstream_attempt_outcome::unreachable
        && upstream.consecutiveFailures < failuresBeforeBackoff)
        return;
    upstream.lastBackoff = std::clamp(upstream.lastBackoff * 2, initialBackoff, maxBackoff);
    upstream.backoffUntil = now + upstream.lastBackoff;
    // A timeout shows a slow upstream, but no loss of slots.
    if (outcome != upstream_attempt_outcome::timed_out)
        upstream.capacityLostUntil = upstream.backoffUntil;
}

void upstream_choice::recordQueueTime(const upstream_record &upstream,
                                      const upstream_attempt_record &attempt, microseconds elapsed,
                                      instant now)
{
    if (now < upstream.coldUntil)
        return;
    service_record &service = m_services.at(upstream.incarnation.service);
    const double perRequestMs = (toMs(elapsed) - roundTripMs(upstream)) / (1 + attempt.queueRounds);
    service.times.recordSlotTime(std::max(perRequestMs, 1.0));
}

void upstream_choice::recordServiceTime(upstream_record &upstream,
                                        const upstream_attempt_record &attempt,
                                        microseconds elapsed, instant now)
{
    service_record &service = m_services.at(upstream.incarnation.service);
    // The elapsed time would include queue time if all slots were busy.
    if (estimatedLoad(upstream, now) + 1 > upstream.incarnation.slots || now < upstream.coldUntil)
        return;
    // What the upstream's machine did to this response says nothing about the next one.
    const double serviceMs =
        std::max(toMs(elapsed) - roundTripMs(upstream), 1.0) / relativeWorkTime(upstream, now);
    const time_estimate expected =
        service.times.serviceTime(attempt.route, attempt.cacheState, milliseconds(0));
    double &slowness = upstream.statistics.slowness;
    if (expected.isMeasured) {
        const double relative = std::clamp(serviceMs / expected.ms, minSlowness, maxSlowness);
        slowness += (relative - slowness) * slownessWeight;
        slowness = std::clamp(slowness, minSlowness, maxSlowness);
    }
    service.times.recordServiceTime(attempt.route, attempt.cacheState, serviceMs,
                                    1 / std::max(slowness, 1.0));
}

void upstream_choice::attemptFinished(const upstream_id &id, const upstream_attempt_record &attempt,
                                      upstream_attempt_outcome outcome, microseconds elapsed,
                                      const std::optional<upstream_load_report> &load, instant now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    upstream_record &upstream = found->second;
    if (upstream.inFlight > 0)
        --upstream.inFlight;
    if (load)
        recordLoadReport(upstream, *load, now);
    if (outcome == upstream_attempt_outcome::abandoned)
        return;
    decayStatistics(upstream, now);
    if (outcome == upstream_attempt_outcome::answered
        || outcome == upstream_attempt_outcome::timed_out)
        recordQueueTime(upstream, attempt, elapsed, now);
    if (outcome != upstream_attempt_outcome::answered) {
        recordFailure(upstream, outcome, now);
        return;
    }
    upstream.consecutiveFailures = 0;
    upstream.lastBackoff = milliseconds(0);
    upstream.statistics.failureRate *= 1 - failureWeight;
    recordServiceTime(upstream, attempt, elapsed, now);
}

void upstream_choice::recordBytes(const service_name &service, const std::string &route,
                                  std::size_t bytes)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
        found->second.routes[route].traffic.recordBytes(bytes);
}

void upstream_choice::recordRoundTripTime(const zone_name &zone, microseconds elapsed)
{
    const auto region = m_settings.regions.find(zone);
    if (region == m_settings.regions.end())
        return;
    const auto known = m_roundTripMs.find(region->second);
    if (known == m_roundTripMs.end())
        m_roundTripMs[region->second] = toMs(elapsed);
    else
        known->second = std::min(known->second * 1.05, std::max(toMs(elapsed), 0.1));
}

void upstream_choice::reportColdUpstream(const upstream_id &id, milliseconds remaining, instant now)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end())
        recordColdStart(found->second, remaining, now);
}

void upstream_choice::applySignals(const upstream_id &id, const upstream_signals &signals,
                                   instant now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    upstream_record &upstream = found->second;
    const upstream_signals news = upstream.availability.apply(signals, now);
    if (news.leaving)
        log_line(log_level::info, "relay", "upstream_leaving")
            .field("upstream", id.text())
            .field("service", upstream.incarnation.service.text());
    if (news.backoff)
        log_line(log_level::info, "relay", "upstream_backoff")
            .field("upstream", id.text())
            .field("service", upstream.incarnation.service.text())
            .field("for_ms", std::int64_t(news.backoff->count()));
}

} // namespace kingcuptiller
