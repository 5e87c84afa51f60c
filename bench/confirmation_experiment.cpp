#include "bench/confirmation_experiment.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace kingcuptiller::experiments {

namespace {

constexpr double millisecondsPerSecond = 1000;

// One sender that syncs at fixed intervals with a random phase. A sync carries what the sender knew
// when it was sent, and its answer what the receiver knew when it arrived.
class sync_schedule
{
public:
    sync_schedule(double interval, double delay, double lossRate, std::mt19937_64 &engine)
        : m_interval(interval)
        , m_delay(delay)
        , m_lossRate(lossRate)
        , m_engine(engine)
        , m_phase(std::uniform_real_distribution<double>(0, interval)(engine))
    {
    }

    // When the sender has the answer of the first sync that reaches the receiver at or after
    // `known`.
    double learnsAt(double known) { return firstDelivered(known - m_delay) + 2 * m_delay; }

    // When the receiver gets the first sync that is sent at or after `applied`.
    double reportsAt(double applied) { return firstDelivered(applied) + m_delay; }

private:
    double firstDelivered(double earliest)
    {
        const double steps = std::max(0.0, std::ceil((earliest - m_phase) / m_interval));
        double sent = m_phase + steps * m_interval;
        while (std::bernoulli_distribution(m_lossRate)(m_engine))
            sent += m_interval;
        return sent;
    }

    double m_interval;
    double m_delay;
    double m_lossRate;
    std::mt19937_64 &m_engine;
    double m_phase;
};

confirmation_result summarise(std::vector<double> times)
{
    std::sort(times.begin(), times.end());
    confirmation_result result;
    result.medianMs = times[times.size() / 2];
    result.p99Ms = times[times.size() * 99 / 100];
    result.longestMs = times.back();
    return result;
}

// The leader runs in region 0.
double delayToLeader(const confirmation_setup &setup, std::uint32_t regionNumber)
{
    return regionNumber == 0 ? setup.delayWithinRegionMs : setup.delayBetweenRegionsMs;
}

double flatTime(const confirmation_setup &setup, std::mt19937_64 &engine)
{
    double last = 0;
    for (std::uint32_t node = 0; node < setup.nodes; ++node) {
        sync_schedule schedule(setup.syncIntervalMs, delayToLeader(setup, node % setup.regions),
                               setup.lossRate, engine);
        last = std::max(last, schedule.reportsAt(schedule.learnsAt(0)));
    }
    return last;
}

double aggregatedTime(const confirmation_setup &setup, std::mt19937_64 &engine)
{
    double last = 0;
    for (std::uint32_t regionNumber = 0; regionNumber < setup.regions; ++regionNumber) {
        sync_schedule relay(setup.syncIntervalMs, delayToLeader(setup, regionNumber),
                            setup.lossRate, engine);
        const double relayed = relay.learnsAt(0);
        double confirmed = relayed;
        for (std::uint32_t node = regionNumber; node < setup.nodes; node += setup.regions) {
            sync_schedule schedule(setup.syncIntervalMs, setup.delayWithinRegionMs, setup.lossRate,
                                   engine);
            confirmed = std::max(confirmed, schedule.reportsAt(schedule.learnsAt(relayed)));
        }
        last = std::max(last, relay.reportsAt(confirmed));
    }
    return last;
}

template <typename Trial>
std::vector<double> repeat(const confirmation_setup &setup, const Trial &trial)
{
    std::mt19937_64 engine(setup.seed);
    std::vector<double> times;
    times.reserve(setup.changes);
    for (std::uint32_t change = 0; change < setup.changes; ++change)
        times.push_back(trial(setup, engine));
    return times;
}

} // namespace

confirmation_result confirmFlat(const confirmation_setup &setup)
{
    confirmation_result result = summarise(repeat(setup, flatTime));
    const double syncsPerSecond = millisecondsPerSecond / setup.syncIntervalMs;
    result.leaderMessagesPerSecond = setup.nodes * syncsPerSecond;
    result.fleetMessagesPerSecond = result.leaderMessagesPerSecond;
    result.confirmationsPerChange = setup.nodes;
    return result;
}

confirmation_result confirmAggregated(const confirmation_setup &setup)
{
    confirmation_result result = summarise(repeat(setup, aggregatedTime));
    const double syncsPerSecond = millisecondsPerSecond / setup.syncIntervalMs;
    result.leaderMessagesPerSecond = setup.regions * syncsPerSecond;
    result.fleetMessagesPerSecond = (setup.nodes + setup.regions) * syncsPerSecond;
    result.confirmationsPerChange = setup.regions;
    return result;
}

} // namespace kingcuptiller::experiments
