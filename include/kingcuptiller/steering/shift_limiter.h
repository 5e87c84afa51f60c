#pragma once

#include "kingcuptiller/steering/steering_index.h"
#include "kingcuptiller/values/configuration.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <vector>

namespace kingcuptiller {

// Requests of one class from clients of one region.
struct flow_source
{
    class_index workClass = 0;
    region_index origin = 0;

    auto operator<=>(const flow_source &) const = default;
};

// Requests of one class that went from one region to another in an interval.
struct counted_flow
{
    flow_source source;
    region_index destination = 0;
    std::uint64_t forwarded = 0;

    auto operator<=>(const counted_flow &) const = default;
};

// Keeps the traffic shift of each origin region below its cap (I1). For a source (c,o), n(c,o,d) is
// the number of requests sent to d in the present interval of 1 s, T(c,o) the number of requests
// decided on in it, and x(c,o,d) the share of d in the last interval that sent any, in which
// refused requests count where the class went before and got less than its share. Then
//
//     moved(o) = sum over c, d of max(0, n(c,o,d) - x(c,o,d) * T(c,o))
//
// is at most the cap (20%) of the sum of T(c,o) over c, or one request where that is more, so that
// work which arrives rarely can move too. A request that would raise moved(o) above the part that
// its rank may use is not allowed. Since T only grows within an interval, moved(o) only falls
// between two requests, and a bound that holds at each request holds for the whole interval.
//
// A request counts in T once, in the interval in which it is sent or refused, and in n once for
// each region that it is sent to.
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

    // Whether one more request may go to `destination`. `alreadyCounted` says that the request is
    // already part of T (a retry or a hedge).
    [[nodiscard]] bool mayForward(const flow_source &source, region_index destination,
                                  rank_number rank, bool alreadyCounted, instant now);

    // Records a request that is sent; `alreadyCounted` as above.
    void recordForward(const flow_source &source, region_index destination, bool alreadyCounted,
                       instant now);

    // Records a request that is refused.
    void recordRefusal(const flow_source &source, instant now);

    // Replaces the baseline of each source in `flows` for which nothing was forwarded or refused
    // here so far. A source without a baseline starts with x(c,o,o) = 1.
    void setBaseline(const std::vector<counted_flow> &flows);

    // The flows that x is computed from, of the last whole interval that sent any, in thousandths.
    [[nodiscard]] std::vector<counted_flow> flows(instant now);

    // moved(o) and the sum of T of the present interval.
    [[nodiscard]] double moved(region_index origin) const;
    [[nodiscard]] std::uint64_t arrivals(region_index origin) const;

private:
    struct class_flow
    {
        std::uint64_t arrivals = 0;
        // By destination.
        std::vector<std::uint64_t> sent;
        // The last interval that sent any: what was sent, with the refused requests added where the
        // class went before.
        std::vector<double> previousFlows;
        double previousTotal = 0;
        // Working space of closeInterval.
        std::vector<double> nextFlows;
        // True once `previousFlows` comes from what this limiter forwarded itself.
        bool hasOwnBaseline = false;
        // True once a request was counted here.
        bool hasCountedRequests = false;
    };
    struct origin_state
    {
        std::int64_t interval = 0;
        // By class.
        std::vector<class_flow> classFlows;
    };

    origin_state &currentState(region_index origin, instant now);
    // How much less than its share a region got in the present interval.
    static double shortfall(const class_flow &classFlow, region_index destination);
    static void closeInterval(class_flow &classFlow);
    class_flow &findOrAddClassFlow(origin_state &state, class_index workClass, region_index origin);
    static double share(const class_flow &classFlow, region_index destination);
    static double excess(const class_flow &classFlow, region_index destination,
                         double extraArrivals, double extraSent);
    static double movedRequests(const class_flow &classFlow, double extraArrivals);

    double m_capShare;
    std::vector<origin_state> m_origins;
};

} // namespace kingcuptiller
