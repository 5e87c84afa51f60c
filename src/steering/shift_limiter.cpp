#include "kingcuptiller/steering/shift_limiter.h"

#include "kingcuptiller/steering/rank_share.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kingcuptiller {

namespace {

// Tolerance for rounding errors in sums of shares, so that a request exactly at the limit is
// allowed.
constexpr double roundingTolerance = 1e-6;

// Refused requests are attributed to several regions in fractions, so flows are reported in
// thousandths of a request.
constexpr double flowUnitsPerRequest = 1000;

template <typename Value>
Value &elementAt(std::vector<Value> &values, std::size_t index)
{
    if (values.size() <= index)
        values.resize(index + 1);
    return values[index];
}

std::uint64_t countAt(const std::vector<std::uint64_t> &counts, std::size_t index)
{
    return index < counts.size() ? counts[index] : 0;
}

} // namespace

shift_limiter::origin_state &shift_limiter::currentState(region_index origin, instant now)
{
    origin_state &state = elementAt(m_origins, origin);
    const std::int64_t present = now.time_since_epoch() / microseconds(interval);
    if (state.interval == present)
        return state;
    state.interval = present;
    for (class_flow &each : state.classFlows)
        closeInterval(each);
    return state;
}

double shift_limiter::shortfall(const class_flow &classFlow, region_index destination)
{
    const double expected = share(classFlow, destination) * static_cast<double>(classFlow.arrivals);
    return std::max(0.0, expected - static_cast<double>(countAt(classFlow.sent, destination)));
}

void shift_limiter::closeInterval(class_flow &classFlow)
{
    const std::uint64_t total =
        std::accumulate(classFlow.sent.begin(), classFlow.sent.end(), std::uint64_t(0));
    if (total > 0) {
        const std::uint64_t refused = classFlow.arrivals - std::min(classFlow.arrivals, total);
        const std::size_t regions = std::max(classFlow.sent.size(), classFlow.previousFlows.size());
        double missing = 0;
        for (region_index to = 0; to < regions; ++to)
            missing += shortfall(classFlow, to);
        // Attributes refused requests to the regions that got less than their previous share.
        // Otherwise, the few requests that the cap let through in one interval would define the
        // baseline, and all requests of the class could move in the next interval.
        for (region_index to = 0; to < regions; ++to) {
            const double attributed =
                missing > 0 ? static_cast<double>(refused) * shortfall(classFlow, to) / missing : 0;
            elementAt(classFlow.nextFlows, to) =
                static_cast<double>(countAt(classFlow.sent, to)) + attributed;
        }
        classFlow.previousFlows.swap(classFlow.nextFlows);
        classFlow.nextFlows.clear();
        classFlow.previousTotal = static_cast<double>(total + refused);
        classFlow.hasOwnBaseline = true;
    }
    std::fill(classFlow.sent.begin(), classFlow.sent.end(), 0);
    classFlow.arrivals = 0;
}

shift_limiter::class_flow &
shift_limiter::findOrAddClassFlow(origin_state &state, class_index workClass, region_index origin)
{
    class_flow &found = elementAt(state.classFlows, workClass);
    if (found.previousTotal == 0) {
        elementAt(found.previousFlows, origin) = 1;
        found.previousTotal = 1;
    }
    return found;
}

double shift_limiter::share(const class_flow &classFlow, region_index destination)
{
    if (classFlow.previousTotal == 0 || destination >= classFlow.previousFlows.size())
        return 0;
    return classFlow.previousFlows[destination] / classFlow.previousTotal;
}

double shift_limiter::excess(const class_flow &classFlow, region_index destination,
                             double extraArrivals, double extraSent)
{
    const double sent = static_cast<double>(countAt(classFlow.sent, destination)) + extraSent;
    const double expected =
        share(classFlow, destination) * (static_cast<double>(classFlow.arrivals) + extraArrivals);
    return std::max(0.0, sent - expected);
}

double shift_limiter::movedRequests(const class_flow &classFlow, double extraArrivals)
{
    double sum = 0;
    for (region_index destination = 0; destination < classFlow.sent.size(); ++destination) {
        if (classFlow.sent[destination] > 0)
            sum += excess(classFlow, destination, extraArrivals, 0);
    }
    return sum;
}

bool shift_limiter::mayForward(const flow_source &source, region_index destination,
                               rank_number rank, bool alreadyCounted, instant now)
{
    origin_state &state = currentState(source.origin, now);
    const class_flow &classFlow = findOrAddClassFlow(state, source.workClass, source.origin);
    const double extra = alreadyCounted ? 0 : 1;
    const double added =
        excess(classFlow, destination, extra, 1) - excess(classFlow, destination, extra, 0);
    if (added <= roundingTolerance)
        return true;
    double moved = added;
    double total = extra;
    for (const class_flow &each : state.classFlows) {
        moved += movedRequests(each, &each == &classFlow ? extra : 0);
        total += static_cast<double>(each.arrivals);
    }
    return moved <= std::max(1.0, crossRegionShare(rank) * m_capShare * total) + roundingTolerance;
}

void shift_limiter::recordForward(const flow_source &source, region_index destination,
                                  bool alreadyCounted, instant now)
{
    class_flow &classFlow =
        findOrAddClassFlow(currentState(source.origin, now), source.workClass, source.origin);
    classFlow.hasCountedRequests = true;
    classFlow.arrivals += alreadyCounted ? 0 : 1;
    ++elementAt(classFlow.sent, destination);
}

void shift_limiter::recordRefusal(const flow_source &source, instant now)
{
    class_flow &classFlow =
        findOrAddClassFlow(currentState(source.origin, now), source.workClass, source.origin);
    classFlow.hasCountedRequests = true;
    ++classFlow.arrivals;
}

void shift_limiter::setBaseline(const std::vector<counted_flow> &flows)
{
    for (const counted_flow &flow : flows) {
        class_flow &classFlow =
            elementAt(elementAt(m_origins, flow.source.origin).classFlows, flow.source.workClass);
        if (!classFlow.hasCountedRequests) {
            classFlow.previousFlows.clear();
            classFlow.previousTotal = 0;
        }
    }
    for (const counted_flow &flow : flows) {
        class_flow &classFlow = m_origins[flow.source.origin].classFlows[flow.source.workClass];
        if (!classFlow.hasCountedRequests && flow.forwarded > 0) {
            elementAt(classFlow.previousFlows, flow.destination) +=
                static_cast<double>(flow.forwarded);
            classFlow.previousTotal += static_cast<double>(flow.forwarded);
        }
    }
}

std::vector<counted_flow> shift_limiter::flows(instant now)
{
    std::vector<counted_flow> result;
    for (region_index origin = 0; origin < m_origins.size(); ++origin) {
        const origin_state &state = currentState(origin, now);
        for (class_index workClass = 0; workClass < state.classFlows.size(); ++workClass) {
            const class_flow &each = state.classFlows[workClass];
            for (region_index to = 0; each.hasOwnBaseline && to < each.previousFlows.size(); ++to) {
                const auto count = static_cast<std::uint64_t>(
                    std::llround(each.previousFlows[to] * flowUnitsPerRequest));
                if (count > 0)
                    result.push_back({{workClass, origin}, to, count});
            }
        }
    }
    return result;
}

double shift_limiter::moved(region_index origin) const
{
    double sum = 0;
    if (origin < m_origins.size()) {
        for (const class_flow &each : m_origins[origin].classFlows)
            sum += movedRequests(each, 0);
    }
    return sum;
}

std::uint64_t shift_limiter::arrivals(region_index origin) const
{
    std::uint64_t sum = 0;
    if (origin < m_origins.size()) {
        for (const class_flow &each : m_origins[origin].classFlows)
            sum += each.arrivals;
    }
    return sum;
}

} // namespace kingcuptiller
