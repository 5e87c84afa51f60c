#include "kingcuptiller/relay/upstream_choice.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numbers>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

const service_name lookups("lookups");
constexpr double stepSeconds = 0.5;
constexpr int stepsPerWindow = 4;
constexpr double maxShift = 0.15;

// Requests per second at an entry of region 0, `at` seconds after the start.
using traffic_shape = std::function<double(double at)>;

// A scenario of the simulation.
struct shift_case
{
    std::string name;
    // The number of upstreams in each region. Only region 0 sends requests.
    std::vector<int> upstreams;
    traffic_shape traffic;
    // The time in seconds at which `joiningCount` upstreams join region 1; -1 for never.
    double joinAt = -1;
    int joiningCount = 0;
};

// Simulates the entries of region 0 and the upstreams of all regions. An upstream answers four
// times faster for an object that it has handled before. The clock is simulated.
class region_shift_simulation
{
public:
    explicit region_shift_simulation(const shift_case &scenario)
        : m_case(scenario)
    {
        m_configuration.services = {{lookups, 390, milliseconds(3'000), 8}};
        m_routes = route_table(m_configuration);
        for (std::size_t region = 0; region < scenario.upstreams.size(); ++region)
            add(region, scenario.upstreams[region]);
        for (std::size_t region = 0; region < scenario.upstreams.size(); ++region) {
            for (int i = 0; i < entriesInRegion; ++i)
                m_view.entries.push_back(
                    {endpoint_address("10.0.0.1:80"), regionName(region), zoneName(region)});
        }
        for (int i = 0; i < entriesInRegion; ++i)
            m_entries.push_back(std::make_unique<upstream_choice>(settings()));
        updateEntries();
    }

    void run(double seconds)
    {
        double joinAt = m_case.joinAt;
        std::uniform_real_distribution<double> jitter(0.5, 1.5);
        std::vector<double> next(m_entries.size(), 0);
        for (double at = 0; at < seconds; at += 0.001) {
            const instant now = timeOf(at);
            finishUntil(at);
            if (joinAt >= 0 && at >= joinAt) {
                add(1, m_case.joiningCount);
                updateEntries();
                joinAt = -1;
            }
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                while (next[entry] <= at) {
                    request(entry, at, now);
                    next[entry] += jitter(m_random) / m_case.traffic(at);
                }
            }
        }
    }

    // Returns the largest share of requests, from 0 to 1, that changed their region between two
    // consecutive windows of two seconds.
    [[nodiscard]] double largestChange() const
    {
        double largest = 0;
        const int windows = static_cast<int>(m_attemptsByStep.size());
        for (int firstStep = 0; firstStep + 2 * stepsPerWindow <= windows; ++firstStep) {
            const auto before = sharesFrom(firstStep);
            const auto after = sharesFrom(firstStep + stepsPerWindow);
            double change = 0;
            for (std::size_t region = 0; region < before.size(); ++region)
                change += std::abs(after[region] - before[region]) / 2;
            largest = std::max(largest, change);
        }
        return largest;
    }

    [[nodiscard]] double servedShare() const
    {
        return static_cast<double>(m_served) / static_cast<double>(m_requests);
    }

private:
    struct simulated_upstream
    {
        int running = 0;
        std::size_t region = 0;
        std::map<std::string, bool> objects;
    };
    struct running_request
    {
        double end = 0;
        double startTime = 0;
        std::size_t entry = 0;
        upstream_id id;
        upstream_attempt_record attempt;
        upstream_attempt_outcome outcome = upstream_attempt_outcome::answered;

        bool operator>(const running_request &other) const { return end > other.end; }
    };

    static constexpr int entriesInRegion = 4;
    static constexpr int slots = 9;
    static constexpr double timeoutSeconds = 1.5;

    static region_name regionName(std::size_t region)
    {
        return region_name(fmt::format("region-{}", region));
    }
    static zone_name zoneName(std::size_t region)
    {
        return zone_name(fmt::format("zone-{}", region));
    }
    static instant timeOf(double at)
    {
        return instant(milliseconds(100'900)) + microseconds(std::llround(at * 1e6));
    }

    upstream_choice_settings settings() const
    {
        upstream_choice_settings result;
        result.region = regionName(0);
        result.zone = zoneName(0);
        for (std::size_t region = 0; region < m_case.upstreams.size(); ++region)
            result.regions.emplace(zoneName(region), regionName(region));
        return result;
    }

    void add(std::size_t region, int count)
    {
        for (int i = 0; i < count; ++i) {
            upstream_incarnation incarnation;
            incarnation.id = upstream_id(fmt::format("u{}", m_upstreams.size()));
            incarnation.startTimeMs = 1;
            incarnation.address = endpoint_address("10.0.0.1:80");
            incarnation.service = lookups;
            incarnation.zone = zoneName(region);
            incarnation.slots = slots;
            m_view.upstreams.push_back(incarnation);
            m_upstreams[incarnation.id].region = region;
        }
    }

    void updateEntries()
    {
        for (const auto &entry : m_entries)
            entry->update(m_view, m_routes, timeOf(0));
    }

    void request(std::size_t entry, double at, instant now)
    {
        std::uniform_int_distribution<int> objects(0, 99);
        std::uniform_real_distribution<double> spread(0.85, 1.15);
        const std::string object = fmt::format("object-{}", objects(m_random));
        choice_failure reason;
        ++m_requests;
        const auto chosen = m_entries[entry]->choose(
            {lookups, object, {}, milliseconds(800), milliseconds(1'500), {}}, now, reason);
        if (!chosen)
            return;
        const upstream_id &id = chosen->incarnation.id;
        simulated_upstream &upstream = m_upstreams.at(id);
        countAttempt(upstream.region, at);
        const upstream_attempt_record attempt = m_entries[entry]->attemptStarted(id, object, now);
        const double work = (upstream.objects[object] ? 0.36 : 1.44) * spread(m_random);
        const double queue = std::max(0, upstream.running + 1 - slots) * 0.6 / slots;
        const double elapsed = queue + work + (upstream.region == 0 ? 0 : 0.04);
        upstream.objects[object] = true;
        ++upstream.running;
        m_running.push({at + std::min(elapsed, timeoutSeconds), at, entry, id, attempt,
                        elapsed > timeoutSeconds ? upstream_attempt_outcome::timed_out
                                                 : upstream_attempt_outcome::answered});
    }

    void finishUntil(double at)
    {
        while (!m_running.empty() && m_running.top().end <= at) {
            const running_request done = m_running.top();
            m_running.pop();
            simulated_upstream &upstream = m_upstreams.at(done.id);
            --upstream.running;
            m_served += done.outcome == upstream_attempt_outcome::answered ? 1 : 0;
            const auto running = static_cast<std::uint32_t>(std::min(upstream.running, slots));
            const auto waiting = static_cast<std::uint32_t>(std::max(upstream.running - slots, 0));
            m_entries[done.entry]->attemptFinished(
                done.id, done.attempt, done.outcome,
                microseconds(std::llround((done.end - done.startTime) * 1e6)),
                upstream_load_report{running, waiting, slots}, timeOf(done.end));
        }
    }

    void countAttempt(std::size_t region, double at)
    {
        const auto stepIndex = static_cast<std::size_t>(at / stepSeconds);
        while (m_attemptsByStep.size() <= stepIndex)
            m_attemptsByStep.emplace_back(m_case.upstreams.size(), 0);
        ++m_attemptsByStep[stepIndex][region];
    }

    [[nodiscard]] std::vector<double> sharesFrom(int firstStep) const
    {
        std::vector<double> sums(m_case.upstreams.size(), 0);
        double total = 0;
        for (int i = firstStep; i < firstStep + stepsPerWindow; ++i) {
            for (std::size_t region = 0; region < sums.size(); ++region) {
                sums[region] += m_attemptsByStep[static_cast<std::size_t>(i)][region];
                total += m_attemptsByStep[static_cast<std::size_t>(i)][region];
            }
        }
        for (double &sum : sums)
            sum /= std::max(total, 1.0);
        return sums;
    }

    const shift_case &m_case;
    traffic_configuration m_configuration;
    fleet_view m_view;
    route_table m_routes;
    std::mt19937 m_random{42};
    std::vector<std::unique_ptr<upstream_choice>> m_entries;
    std::map<upstream_id, simulated_upstream> m_upstreams;
    std::priority_queue<running_request, std::vector<running_request>, std::greater<>> m_running;
    // The number of attempts in each region, by time step of `stepSeconds`.
    std::vector<std::vector<int>> m_attemptsByStep;
    std::uint64_t m_requests = 0;
    std::uint64_t m_served = 0;
};

double sineTraffic(double at)
{
    return 70 * (1 + 0.55 * std::sin(2 * std::numbers::pi * (at / 36 + 0.3)));
}

// In a small region 0 with 70 requests per second at each entry, an upstream gets 27 requests per
// second. That takes all its slots while no objects are cached, and a third of them later.
const std::vector<shift_case> shiftCases = {
    {"small region starting at peak traffic", {10, 42, 50}, sineTraffic, -1, 0},
    {"small region with constant traffic", {10, 42, 50}, [](double) { return 70.0; }, -1, 0},
    {"equal regions", {30, 30, 30}, sineTraffic, -1, 0},
    {"traffic burst in one region",
     {20, 42, 50},
     [](double at) { return at >= 14 && at < 18 ? 160.0 : 70.0; },
     -1,
     0},
    {"upstreams join another region", {10, 42, 50}, sineTraffic, 21, 55},
};

} // namespace

class region_shift_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(region_shift_test);
    CPPUNIT_TEST(trafficMovesBetweenRegionsNoFasterThanTheCap);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against most of a region's requests moving to or from other regions within two
    // seconds.
    void trafficMovesBetweenRegionsNoFasterThanTheCap()
    {
        std::string failures;
        for (const shift_case &each : shiftCases) {
            region_shift_simulation simulation(each);
            simulation.run(30);
            const double change = simulation.largestChange();
            if (change > maxShift)
                failures += fmt::format(
                    "{}: share {:.2f} of requests changed region, share {:.2f} served\n", each.name,
                    change, simulation.servedShare());
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(region_shift_test);
