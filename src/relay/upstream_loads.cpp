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
constexpr double reportMemoryMs = 1'000;
// Where no upstream of a region reports any more, the region is tried again after about this time.
constexpr double usualLoadMemoryMs = 3'000;
// Weight of the newest report in the usual load.
constexpr double usualLoadWeight = 0.05;

double ageMs(instant then, instant now)
{
    return std::max(std::chrono::duration<double, std::milli>(now - then).count(), 0.0);
}

} // namespace

double upstream_choice::usual_load::at(instant now) const
{
    return forEachSlot * std::exp(-ageMs(reported, now) / usualLoadMemoryMs);
}

void upstream_choice::usual_load::note(double load, instant now)
{
    forEachSlot += (load - forEachSlot) * usualLoadWeight;
    reported = now;
}

void upstream_choice::noteReport(upstream_record &upstream, const upstream_load &load, instant now)
{
    const double requests = static_cast<double>(load.running) + load.waiting;
    upstream.others = std::max(requests - upstream.inFlight, 0.0);
    upstream.reported = now;
    upstream.usualLoad->note(requests / std::max<double>(upstream.life.slots, 1), now);
}

double upstream_choice::loadOf(const upstream_record &upstream, instant now)
{
    const double usualOthers =
        std::max(upstream.usualLoad->at(now) * upstream.life.slots - upstream.inFlight, 0.0);
    if (!upstream.reported)
        return upstream.inFlight + usualOthers;
    const double weight = std::exp(-ageMs(*upstream.reported, now) / reportMemoryMs);
    return upstream.inFlight + usualOthers + (upstream.others - usualOthers) * weight;
}

double upstream_choice::queueRounds(const upstream_record &upstream, instant now)
{
    const double slots = std::max<double>(upstream.life.slots, 1);
    return std::max(loadOf(upstream, now) + 1 - slots, 0.0) / slots;
}

double upstream_choice::queueMs(const upstream_record &upstream, const service_record &service,
                                double slowness, instant now)
{
    return queueRounds(upstream, now) * service.queuedMs * slowness;
}

} // namespace kingcuptiller
