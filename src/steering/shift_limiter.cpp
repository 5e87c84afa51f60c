#include "kingcuptiller/steering/shift_limiter.h"

#include "kingcuptiller/steering/rank_share.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kingcuptiller {

namespace {

// Rounding of sums of shares must not forbid a request that is exactly at its bound.
constexpr double roundingRequests = 1e-6;

// Refused requests count in part for several regions, so flows are reported in thousandths.
constexpr double flowUnitsPerRequest = 1000;

template <typename Value>
Value &at(std::vector<Value> &values, std::size_t index)
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

shift_limiter::origin_state &shift_limiter::current(region_index origin, instant now)
{
    origin_state &state = at(m_origins, origin);
    const std::int64_t present = now.time_since_epoch() / microseconds(interval);
    if (state.interval == present)
        return state;
    state.interval = present;
    for (row &each : state.rows)
        closeInterval(each);
    return state;
}

double shift_limiter::shortfall(const row &of, region_index destination)
{
    const double expected = share(of, destination) * static_cast<double>(of.arrivals);
    return std::max(0.0, expected - static_cast<double>(countAt(of.sent, destination)));
}

void shift_limiter::closeInterval(row &of)
{
    const std::uint64_t total = std::accumulate(of.sent.begin(), of.sent.end(), std::uint64_t(0));
    if (total > 0) {
        const std::uint64_t refused = of.arrivals - std::min(of.arrivals, total);
        const std::size_t regions = std::max(of.sent.size(), of.before.size());
        double missing = 0;
        for (region_index to = 0; to < regions; ++to)
            missing += shortfall(of, to);
        // Refused requests count where the class went before and got less than its share. Without
        // them, the few requests that a cap lets through in one interval would carry the whole
        // class along in the next.
        for (region_index to = 0; to < regions; ++to) {
            const double kept =
                missing > 0 ? static_cast<double>(refused) * shortfall(of, to) / missing : 0;
            at(of.next, to) = static_cast<double>(countAt(of.sent, to)) + kept;
        }
        of.before.swap(of.next);
        of.next.clear();
        of.totalBefore = static_cast<double>(total + refused);
        of.ownBaseline = true;
    }
    std::fill(of.sent.begin(), of.sent.end(), 0);
    of.arrivals = 0;
}

shift_limiter::row &shift_limiter::rowOf(origin_state &state, class_index workClass,
                                         region_index origin)
{
    row &found = at(state.rows, workClass);
    if (found.totalBefore == 0) {
        at(found.before, origin) = 1;
        found.totalBefore = 1;
    }
    return found;
}

double shift_limiter::share(const row &of, region_index destination)
{
    if (of.totalBefore == 0 || destination >= of.before.size())
        return 0;
    return of.before[destination] / of.totalBefore;
}

double shift_limiter::excess(const row &of, region_index destination, double extraArrivals,
                             double extraSent)
{
    const double sent = static_cast<double>(countAt(of.sent, destination)) + extraSent;
    const double expected =
        share(of, destination) * (static_cast<double>(of.arrivals) + extraArrivals);
    return std::max(0.0, sent - expected);
}

double shift_limiter::movedBy(const row &of, double extraArrivals)
{
    double sum = 0;
    for (region_index destination = 0; destination < of.sent.size(); ++destination) {
        if (of.sent[destination] > 0)
            sum += excess(of, destination, extraArrivals, 0);
    }
    return sum;
}

bool shift_limiter::mayForward(const flow_source &source, region_index destination,
                               rank_number rank, bool counted, instant now)
{
    origin_state &state = current(source.origin, now);
    const row &own = rowOf(state, source.workClass, source.origin);
    const double extra = counted ? 0 : 1;
    const double added = excess(own, destination, extra, 1) - excess(own, destination, extra, 0);
    if (added <= roundingRequests)
        return true;
    double moved = added;
    double total = extra;
    for (const row &each : state.rows) {
        moved += movedBy(each, &each == &own ? extra : 0);
        total += static_cast<double>(each.arrivals);
    }
    return moved <= std::max(1.0, movableShare(rank) * m_capShare * total) + roundingRequests;
}

void shift_limiter::forward(const flow_source &source, region_index destination, bool counted,
                            instant now)
{
    row &own = rowOf(current(source.origin, now), source.workClass, source.origin);
    own.used = true;
    own.arrivals += counted ? 0 : 1;
    ++at(own.sent, destination);
}

void shift_limiter::refuse(const flow_source &source, instant now)
{
    row &own = rowOf(current(source.origin, now), source.workClass, source.origin);
    own.used = true;
    ++own.arrivals;
}

void shift_limiter::setBaseline(const std::vector<counted_flow> &flows)
{
    for (const counted_flow &flow : flows) {
        row &own = at(at(m_origins, flow.source.origin).rows, flow.source.workClass);
        if (!own.used) {
            own.before.clear();
            own.totalBefore = 0;
        }
    }
    for (const counted_flow &flow : flows) {
        row &own = m_origins[flow.source.origin].rows[flow.source.workClass];
        if (!own.used && flow.forwarded > 0) {
            at(own.before, flow.destination) += static_cast<double>(flow.forwarded);
            own.totalBefore += static_cast<double>(flow.forwarded);
        }
    }
}

std::vector<counted_flow> shift_limiter::flows(instant now)
{
    std::vector<counted_flow> result;
    for (region_index origin = 0; origin < m_origins.size(); ++origin) {
        const origin_state &state = current(origin, now);
        for (class_index workClass = 0; workClass < state.rows.size(); ++workClass) {
            const row &each = state.rows[workClass];
            for (region_index to = 0; each.ownBaseline && to < each.before.size(); ++to) {
                const auto count =
                    static_cast<std::uint64_t>(std::llround(each.before[to] * flowUnitsPerRequest));
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
        for (const row &each : m_origins[origin].rows)
            sum += movedBy(each, 0);
    }
    return sum;
}

std::uint64_t shift_limiter::arrivals(region_index origin) const
{
    std::uint64_t sum = 0;
    if (origin < m_origins.size()) {
        for (const row &each : m_origins[origin].rows)
            sum += each.arrivals;
    }
    return sum;
}

} // namespace kingcuptiller
