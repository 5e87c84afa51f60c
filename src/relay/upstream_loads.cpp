#include "kingcuptiller/relay/upstream_choice.h"

#include "durations.h"

#include <algorithm>
#include <cmath>
#include <numbers>

// Load estimates of `upstream_choice`. Upstreams report their load with each answer. With many
// entries, each entry gets few reports of any one upstream, so the estimates rely mostly on the
// average load of the upstreams in the same region.

namespace kingcuptiller {

namespace {

// Time constant for the decay of a load report, about the duration of the requests that it counted.
constexpr double reportDecayMs = 1'000;
// Time constant for the decay of a reported work time.
constexpr double workTimeDecayMs = 300;
// Time constant for the decay of the average load of a region. A region that gets no more requests,
// and thus sends no reports, is tried again after about this time.
constexpr double averageLoadDecayMs = 3'000;
// Weight of the newest report in the average load.
constexpr double averageLoadWeight = 0.05;

// Reports of a work time further than this from the usual one count as this.
constexpr double maxWorkTimeRatio = 10;

double ageMs(instant earlier, instant now)
{
    return std::max(internal::toMs(now - earlier), 0.0);
}

// The mean of the positive values, with 0 for the others, of a normal distribution.
double meanOfPositivePart(double mean, double deviation)
{
    if (deviation <= 0)
        return std::max(mean, 0.0);
    const double ratio = mean / deviation;
    const double density =
        std::exp(-ratio * ratio / 2) * std::numbers::inv_sqrtpi / std::numbers::sqrt2;
    const double probability = std::erfc(-ratio / std::numbers::sqrt2) / 2;
    return std::max(mean * probability + deviation * density, 0.0);
}

} // namespace

double upstream_choice::average_load::at(instant now) const
{
    return requestsPerSlot * std::exp(-ageMs(lastReport, now) / averageLoadDecayMs);
}

double upstream_choice::average_load::deviationAt(instant now) const
{
    return std::sqrt(variance) * std::exp(-ageMs(lastReport, now) / averageLoadDecayMs);
}

void upstream_choice::average_load::add(double load, instant now)
{
    const double difference = load - requestsPerSlot;
    requestsPerSlot += difference * averageLoadWeight;
    variance = (1 - averageLoadWeight) * (variance + difference * difference * averageLoadWeight);
    lastReport = now;
}

void upstream_choice::recordLoadReport(upstream_record &upstream, const upstream_load_report &load,
                                       instant receivedAt)
{
    const double requests = static_cast<double>(load.running) + load.waiting;
    upstream.otherRequests = std::max(requests - upstream.inFlight, 0.0);
    upstream.lastReport = receivedAt;
    upstream.reportedWorkTime =
        std::clamp(load.workTimePercent / 100.0, 1 / maxWorkTimeRatio, maxWorkTimeRatio);
    upstream.averageLoad->add(requests / std::max<double>(upstream.incarnation.slots, 1),
                              receivedAt);
}

void upstream_choice::applySharedReports(const std::vector<shared_load_report> &reports,
                                         instant now)
{
    for (const shared_load_report &report : reports) {
        const auto id = m_upstreamsByFingerprint.find(static_cast<std::uint64_t>(report.upstream));
        if (id == m_upstreamsByFingerprint.end())
            continue;
        upstream_record &upstream = m_upstreams.at(id->second);
        const instant receivedAt = now - report.age;
        if (!upstream.lastReport || *upstream.lastReport < receivedAt)
            recordLoadReport(upstream, report.load, receivedAt);
    }
}

double upstream_choice::estimatedLoad(const upstream_record &upstream, instant now)
{
    const double averageOtherRequests = std::max(
        upstream.averageLoad->at(now) * upstream.incarnation.slots - upstream.inFlight, 0.0);
    if (!upstream.lastReport)
        return upstream.inFlight + averageOtherRequests;
    const double weight = std::exp(-ageMs(*upstream.lastReport, now) / reportDecayMs);
    return upstream.inFlight + averageOtherRequests
        + (upstream.otherRequests - averageOtherRequests) * weight;
}

double upstream_choice::relativeWorkTime(const upstream_record &upstream, instant now)
{
    if (!upstream.lastReport)
        return 1;
    const double weight = std::exp(-ageMs(*upstream.lastReport, now) / workTimeDecayMs);
    return 1 + (upstream.reportedWorkTime - 1) * weight;
}

double upstream_choice::loadDeviation(const upstream_record &upstream, instant now)
{
    const double deviation = upstream.averageLoad->deviationAt(now) * upstream.incarnation.slots;
    if (!upstream.lastReport)
        return deviation;
    const double weight = std::exp(-ageMs(*upstream.lastReport, now) / reportDecayMs);
    return deviation * std::sqrt(1 - weight * weight);
}

double upstream_choice::queueRounds(const upstream_record &upstream, instant now)
{
    const double slots = std::max<double>(upstream.incarnation.slots, 1);
    const double excess = estimatedLoad(upstream, now) + 1 - slots;
    return meanOfPositivePart(excess, loadDeviation(upstream, now)) / slots;
}

time_estimate upstream_choice::expectedQueueTime(const upstream_record &upstream,
                                                 const service_record &service,
                                                 const upstream_choice_request &request,
                                                 double slowness, instant now)
{
    time_estimate result = service.times.slotTime(request.latencyTarget);
    result.ms *= queueRounds(upstream, now) * slowness * relativeWorkTime(upstream, now);
    return result;
}

} // namespace kingcuptiller
