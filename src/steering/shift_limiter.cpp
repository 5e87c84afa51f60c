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
    for (source_state &each : state.sourcesByClass)
        closeInterval(each);
    return state;
}

double shift_limiter::shortfall(const source_state &sourceState, region_index destination)
{
    const double expected =
        previousShare(sourceState, destination) * static_cast<double>(sourceState.arrivals);
    return std::max(0.0, expected - static_cast<double>(countAt(sourceState.sent, destination)));
}

void shift_limiter::closeInterval(source_state &sourceState)
{
    const std::uint64_t total =
        std::accumulate(sourceState.sent.begin(), sourceState.sent.end(), std::uint64_t(0));
    if (total > 0) {
        const std::uint64_t refused = sourceState.arrivals - std::min(sourceState.arrivals, total);
        const std::size_t regions =
            std::max(sourceState.sent.size(), sourceState.previousSent.size());
        double totalShortfall = 0;
        for (region_index region = 0; region < regions; ++region)
            totalShortfall += shortfall(sourceState, region);
        // Attributes refused requests to the regions that got less than their previous share.
        // Otherwise, the few requests that the cap allowed in one interval would determine the
        // shares for the next one, and all requests of the class could move then.
        for (region_index region = 0; region < regions; ++region) {
            const double attributed = totalShortfall > 0
                ? static_cast<double>(refused) * shortfall(sourceState, region) / totalShortfall
                : 0;
            elementAt(sourceState.nextSent, region) =
                static_cast<double>(countAt(sourceState.sent, region)) + attributed;
        }
        sourceState.previousSent.swap(sourceState.nextSent);
        sourceState.nextSent.clear();
        sourceState.previousTotal = static_cast<double>(total + refused);
        sourceState.hasMeasuredShares = true;
    }
    std::fill(sourceState.sent.begin(), sourceState.sent.end(), 0);
    sourceState.arrivals = 0;
}

shift_limiter::source_state &
shift_limiter::findOrAddSource(origin_state &state, class_index workClass, region_index origin)
{
    source_state &found = elementAt(state.sourcesByClass, workClass);
    if (found.previousTotal == 0) {
        elementAt(found.previousSent, origin) = 1;
        found.previousTotal = 1;
    }
    return found;
}

double shift_limiter::previousShare(const source_state &sourceState, region_index destination)
{
    if (sourceState.previousTotal == 0 || destination >= sourceState.previousSent.size())
        return 0;
    return sourceState.previousSent[destination] / sourceState.previousTotal;
}

double shift_limiter::requestsAboveShare(const source_state &sourceState, region_index destination,
                                         double extraArrivals, double extraSent)
{
    const double sent = static_cast<double>(countAt(sourceState.sent, destination)) + extraSent;
    const double expected = previousShare(sourceState, destination)
        * (static_cast<double>(sourceState.arrivals) + extraArrivals);
    return std::max(0.0, sent - expected);
}

double shift_limiter::movedRequests(const source_state &sourceState, double extraArrivals)
{
    double sum = 0;
    for (region_index destination = 0; destination < sourceState.sent.size(); ++destination) {
        if (sourceState.sent[destination] > 0)
            sum += requestsAboveShare(sourceState, destination, extraArrivals, 0);
    }
    return sum;
}

bool shift_limiter::mayForward(const flow_source &source, region_index destination,
                               rank_number rank, bool alreadyCounted, instant now)
{
    origin_state &state = currentState(source.origin, now);
    const source_state &sourceState = findOrAddSource(state, source.workClass, source.origin);
    const double extra = alreadyCounted ? 0 : 1;
    const double added = requestsAboveShare(sourceState, destination, extra, 1)
        - requestsAboveShare(sourceState, destination, extra, 0);
    if (added <= roundingTolerance)
        return true;
    double moved = added;
    double total = extra;
    for (const source_state &each : state.sourcesByClass) {
        moved += movedRequests(each, &each == &sourceState ? extra : 0);
        total += static_cast<double>(each.arrivals);
    }
    return moved <= std::max(1.0, crossRegionShare(rank) * m_capShare * total) + roundingTolerance;
}

void shift_limiter::recordForward(const flow_source &source, region_index destination,
                                  bool alreadyCounted, instant now)
{
    source_state &sourceState =
        findOrAddSource(currentState(source.origin, now), source.workClass, source.origin);
    sourceState.hasRecordedRequests = true;
    sourceState.arrivals += alreadyCounted ? 0 : 1;
    ++elementAt(sourceState.sent, destination);
}

void shift_limiter::recordRefusal(const flow_source &source, instant now)
{
    source_state &sourceState =
        findOrAddSource(currentState(source.origin, now), source.workClass, source.origin);
    sourceState.hasRecordedRequests = true;
    ++sourceState.arrivals;
}

void shift_limiter::setBaseline(const std::vector<counted_flow> &flows)
{
    for (const counted_flow &flow : flows) {
        source_state &sourceState = elementAt(
            elementAt(m_origins, flow.source.origin).sourcesByClass, flow.source.workClass);
        if (!sourceState.hasRecordedRequests) {
            sourceState.previousSent.clear();
            sourceState.previousTotal = 0;
        }
    }
    for (const counted_flow &flow : flows) {
        source_state &sourceState =
            m_origins[flow.source.origin].sourcesByClass[flow.source.workClass];
        if (!sourceState.hasRecordedRequests && flow.forwarded > 0) {
            elementAt(sourceState.previousSent, flow.destination) +=
                static_cast<double>(flow.forwarded);
            sourceState.previousTotal += static_cast<double>(flow.forwarded);
        }
    }
}

std::vector<counted_flow> shift_limiter::flows(instant now)
{
    std::vector<counted_flow> result;
    for (region_index origin = 0; origin < m_origins.size(); ++origin) {
        const origin_state &state = currentState(origin, now);
        for (class_index workClass = 0; workClass < state.sourcesByClass.size(); ++workClass) {
            const source_state &each = state.sourcesByClass[workClass];
            for (region_index region = 0;
                 each.hasMeasuredShares && region < each.previousSent.size(); ++region) {
                const auto count = static_cast<std::uint64_t>(
                    std::llround(each.previousSent[region] * flowUnitsPerRequest));
                if (count > 0)
                    result.push_back({{workClass, origin}, region, count});
            }
        }
    }
    return result;
}

double shift_limiter::moved(region_index origin) const
{
    double sum = 0;
    if (origin < m_origins.size()) {
        for (const source_state &each : m_origins[origin].sourcesByClass)
            sum += movedRequests(each, 0);
    }
    return sum;
}

std::uint64_t shift_limiter::arrivals(region_index origin) const
{
    std::uint64_t sum = 0;
    if (origin < m_origins.size()) {
        for (const source_state &each : m_origins[origin].sourcesByClass)
            sum += each.arrivals;
    }
    return sum;
}

} // namespace kingcuptiller
