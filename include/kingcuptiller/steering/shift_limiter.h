#pragma once

#include "kingcuptiller/steering/steering_index.h"
#include "kingcuptiller/values/configuration.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <vector>

namespace kingcuptiller {

// Identifies the requests of one class of work from clients in one region.
struct flow_source
{
    class_index workClass = 0;
    region_index origin = 0;

    auto operator<=>(const flow_source &) const = default;
};

// Number of requests of one source that count for one region in an interval: those sent to it, and
// a fraction of the refused requests (see `shift_limiter`). Because of the fractions,
// `shift_limiter::flows` returns `forwarded` in thousandths of a request.
// `shift_limiter::setBaseline` uses only the proportions, so that any unit will do.
struct counted_flow
{
    flow_source source;
    region_index destination = 0;
    std::uint64_t forwarded = 0;

    auto operator<=>(const counted_flow &) const = default;
};

// Caps the traffic shift of each origin region: the number of requests whose destination region
// differs from the distribution of destinations in the previous interval. Intervals are 1 s long.
// For a class c, an origin region o and a destination region d,
//
//   - n(c,o,d) is the number of requests sent to d in the current interval;
//   - T(c,o) is the number of requests decided on (sent or refused) in the current interval;
//   - x(c,o,d) is the share of d in the last interval in which any requests of c from o were sent.
//     Requests refused in that interval are attributed to the regions that got less than their
//     previous share.
//
// The number of shifted requests of an origin is then
//
//     moved(o) = sum over c, d of max(0, n(c,o,d) - x(c,o,d) * T(c,o))
//
// It must not exceed the cap (by default 20%) times the sum of T(c,o) over c, or one request if
// that is more, so that classes with few requests can shift too. A request is not allowed if it
// would raise moved(o) above the part of the cap that its rank may use (see crossRegionShare).
// Since T only grows within an interval, moved(o) does not increase between two requests, so a
// limit that holds at each request holds during the whole interval.
//
// A request counts once in T, in the interval in which it is sent or refused, and once in n for
// each region to which it is sent.
class shift_limiter
{
public:
    static constexpr double defaultCapShare = 0.2;
    static constexpr std::chrono::seconds interval{1};

    // `capShare` is the cap as a share of the arrivals, above 0 and at most 1.
    explicit shift_limiter(double capShare = defaultCapShare)
        : m_capShare(capShare)
    {
    }

    // Returns whether one more request may be sent to `destination`. `alreadyCounted` is true if
    // the request is already included in T (for a retry or a hedge).
    [[nodiscard]] bool mayForward(const flow_source &source, region_index destination,
                                  rank_number rank, bool alreadyCounted, instant now);

    // Records a request that is sent; `alreadyCounted` has the same meaning as for `mayForward`.
    void recordForward(const flow_source &source, region_index destination, bool alreadyCounted,
                       instant now);

    // Records a request that is refused without having been sent.
    void recordRefusal(const flow_source &source, instant now);

    // Sets x from the proportions of `flows`, for each source for which this limiter has not yet
    // recorded a sent or refused request. A source without a baseline starts with x(c,o,o) = 1: all
    // its requests are assumed to have stayed in their origin region.
    void setBaseline(const std::vector<counted_flow> &flows);

    // Returns the flows from which x is computed, for the last complete interval in which any
    // requests were sent. In this result, `forwarded` is in thousandths of a request, because
    // refused requests are attributed to regions in fractions.
    [[nodiscard]] std::vector<counted_flow> flows(instant now);

    // Return moved(o) and the sum of T(c,o) over c for the interval that was current at the latest
    // call of `mayForward`, `recordForward`, `recordRefusal` or `flows`.
    [[nodiscard]] double moved(region_index origin) const;
    [[nodiscard]] std::uint64_t arrivals(region_index origin) const;

private:
    struct source_state
    {
        std::uint64_t arrivals = 0;
        // Requests sent in the current interval, by destination region.
        std::vector<std::uint64_t> sent;
        // Requests of the last interval in which any were sent, by destination region. Refused
        // requests are included, attributed to the regions that got less than their previous share.
        std::vector<double> previousSent;
        double previousTotal = 0;
        // Scratch space of closeInterval.
        std::vector<double> nextSent;
        // True once `previousSent` is computed from requests that this limiter recorded, and not
        // from a baseline.
        bool hasMeasuredShares = false;
        // True once this limiter has recorded a sent or refused request of the class and origin.
        bool hasRecordedRequests = false;
    };
    struct origin_state
    {
        std::int64_t interval = 0;
        // Indexed by class.
        std::vector<source_state> sourcesByClass;
    };

    origin_state &currentState(region_index origin, instant now);
    // Returns by how many requests `destination` is below its previous share in the current
    // interval.
    static double shortfall(const source_state &sourceState, region_index destination);
    static void closeInterval(source_state &sourceState);
    source_state &findOrAddSource(origin_state &state, class_index workClass, region_index origin);
    // Returns x(c,o,d).
    static double previousShare(const source_state &sourceState, region_index destination);
    // Returns by how many requests n(c,o,d) exceeds x(c,o,d) * T(c,o), where `extraSent` is added
    // to n and `extraArrivals` to T.
    static double requestsAboveShare(const source_state &sourceState, region_index destination,
                                     double extraArrivals, double extraSent);
    static double movedRequests(const source_state &sourceState, double extraArrivals);

    double m_capShare;
    std::vector<origin_state> m_origins;
};

} // namespace kingcuptiller
