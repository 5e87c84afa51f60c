#include "kingcuptiller/relay/upstream_choice.h"

#include <algorithm>
#include <chrono>
#include <cmath>

// What the choice of upstreams knows of their queues. Of many entries each gets few of the reports
// that come beside answers, so that most of what it knows of one upstream is what the others of its
// region report.

namespace kingcuptiller {

namespace {

// A report of other entries' requests loses its meaning with the time that such a request takes.
constexpr double reportDecayMs = 1'000;
// Where no upstream of a region reports any more, the region is tried again after about this time.
constexpr double averageLoadDecayMs = 3'000;
// Weight of the newest report in the usual load.
constexpr double averageLoadWeight = 0.05;

double ageMs(instant earlier, instant now)
{
    return std::max(std::chrono::duration<double, std::milli>(now - earlier).count(), 0.0);
}

} // namespace

double upstream_choice::average_load::at(instant now) const
{
    return requestsPerSlot * std::exp(-ageMs(lastReport, now) / averageLoadDecayMs);
}

void upstream_choice::average_load::add(double load, instant now)
{
    requestsPerSlot += (load - requestsPerSlot) * averageLoadWeight;
    lastReport = now;
}

void upstream_choice::recordLoadReport(upstream_record &upstream, const upstream_load_report &load,
                                       instant now)
{
    const double requests = static_cast<double>(load.running) + load.waiting;
    upstream.otherRequests = std::max(requests - upstream.inFlight, 0.0);
    upstream.lastReport = now;
    upstream.averageLoad->add(requests / std::max<double>(upstream.incarnation.slots, 1), now);
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

double upstream_choice::queueRounds(const upstream_record &upstream, instant now)
{
    const double slots = std::max<double>(upstream.incarnation.slots, 1);
    return std::max(estimatedLoad(upstream, now) + 1 - slots, 0.0) / slots;
}

double upstream_choice::expectedQueueMs(const upstream_record &upstream,
                                        const service_record &service, double slowness, instant now)
{
    return queueRounds(upstream, now) * service.queuedRequestMs * slowness;
}

} // namespace kingcuptiller
