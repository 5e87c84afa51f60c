#pragma once

#include "kingcuptiller/values/time.h"
#include "stand_in/upstream_options.h"

#include <deque>
#include <random>
#include <utility>

namespace kingcuptiller::stand_in {

// The figures that a stand-in upstream makes up: service times and load reports. The same seed
// gives the same service times. Not thread-safe.
class upstream_model
{
public:
    upstream_model(const upstream_options &options, instant start);

    // The service time of a request that begins at `now`.
    [[nodiscard]] microseconds nextServiceTime(instant now);

    // Notes the true load, and returns what the report says: the newest load that is at least
    // loadLag old, or the lie.
    [[nodiscard]] double reportLoad(double truth, instant now);

private:
    upstream_options m_options;
    instant m_start;
    std::mt19937_64 m_engine;
    std::deque<std::pair<instant, double>> m_loads;
};

} // namespace kingcuptiller::stand_in
