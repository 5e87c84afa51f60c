#pragma once

#include "kingcuptiller/values/time.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace kingcuptiller {

// Whether an upstream is expected to hold the object of a request in its cache. An entry infers
// this from the requests that it has sent to the upstream.
enum class object_cache_state : std::uint8_t {
    // The request refers to no object.
    no_object,
    // This entry has recently sent a request for the object to the upstream.
    cached,
    // The upstream is the preferred one for the object, so other entries may have sent it requests
    // for the object.
    preferred,
    uncached,
};

// An estimated duration.
struct time_estimate
{
    // The expected duration in milliseconds, above 0.
    double ms = 0;
    // Whether it rests on measurements. Otherwise it is an assumption, which may rank upstreams but
    // must not be a reason to reject a request.
    bool isMeasured = false;

    auto operator<=>(const time_estimate &) const = default;
};

// Learns how long the requests of one service take at an idle, warm upstream of average speed, by
// route and cache state. Nothing is known at the start: durations differ by a factor of fifty
// between deployments. Until a duration has been measured, it is derived from the latency target of
// the route.
//
//     times.record("route", object_cache_state::cached, 80, 1);
//     times.serviceTime("route", object_cache_state::cached, target).ms; // 80
//
// Not thread-safe.
class service_times
{
public:
    // The expected service time of a request.
    [[nodiscard]] time_estimate serviceTime(const std::string &route, object_cache_state cacheState,
                                            milliseconds latencyTarget) const;
    // The expected time that a slot spends on one request, over the requests of all routes. It
    // predicts how fast a queue moves.
    [[nodiscard]] time_estimate slotTime(milliseconds latencyTarget) const;

    // Adds a measured service time, in milliseconds. `weight`, above 0 and at most 1, is its weight
    // relative to a usual measurement.
    void recordServiceTime(const std::string &route, object_cache_state cacheState, double ms,
                           double weight);
    // Adds a measured slot time, in milliseconds.
    void recordSlotTime(double ms);

    // Forgets the routes for which `isObsolete` returns true.
    void eraseRoutes(const std::function<bool(const std::string &)> &isObsolete);

private:
    // A moving average that is the plain mean of its first observations, so that it does not depend
    // on an initial value.
    struct moving_average
    {
        double ms = 0;
        std::size_t observations = 0;

        void add(double newMs, double weight);
    };

    static constexpr std::size_t cacheStateCount = 4;

    std::map<std::string, std::array<moving_average, cacheStateCount>> m_byRoute;
    moving_average m_slotTime;
};

} // namespace kingcuptiller
