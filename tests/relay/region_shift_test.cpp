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
constexpr double step = 0.5;
constexpr int stepsInWindow = 4;
constexpr double largestShift = 0.15;

// Requests a second at an entry of the first region, `at` seconds after the begin.
using traffic_shape = std::function<double(double at)>;

struct shift_case
{
    std::string name;
    // Upstreams of each region; region 0 is the one whose requests are watched.
    std::vector<int> upstreams;
    traffic_shape traffic;
    // Upstreams that join region 1 at this second; -1 for never.
    double joinAt = -1;
    int joining = 0;
};

// Upstreams with slots that are four times faster for an object that they have handled, and entries
// of one region that share them. Time is simulated.
class shift_world
{
public:
    explicit shift_world(const shift_case &scenario)
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
        showView();
    }

    void run(double seconds)
    {
        double joinAt = m_case.joinAt;
        std::uniform_real_distribution<double> part(0.5, 1.5);
        std::vector<double> next(m_entries.size(), 0);
        for (double at = 0; at < seconds; at += 0.001) {
            const instant now = timeOf(at);
            finishUntil(at);
            if (joinAt >= 0 && at >= joinAt) {
                add(1, m_case.joining);
                showView();
                joinAt = -1;
            }
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                while (next[entry] <= at) {
                    request(entry, at, now);
                    next[entry] += part(m_random) / m_case.traffic(at);
                }
            }
        }
    }

    // The largest part of the requests that ran in another region than in the two seconds before.
    [[nodiscard]] double largestChange() const
    {
        double largest = 0;
        const int windows = static_cast<int>(m_ran.size());
        for (int begin = 0; begin + 2 * stepsInWindow <= windows; ++begin) {
            const auto before = sharesFrom(begin);
            const auto after = sharesFrom(begin + stepsInWindow);
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
    struct model_upstream
    {
        int running = 0;
        std::size_t region = 0;
        std::map<std::string, bool> objects;
    };
    struct running_request
    {
        double end = 0;
        double began = 0;
        std::size_t entry = 0;
        upstream_id id;
        sending_record sending;
        sending_outcome outcome = sending_outcome::answered;

        bool operator>(const running_request &other) const { return end > other.end; }
    };

    static constexpr int entriesInRegion = 4;
    static constexpr int slots = 9;
    static constexpr double longestS = 1.5;

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

    choice_settings settings() const
    {
        choice_settings result;
        result.region = regionName(0);
        result.zone = zoneName(0);
        for (std::size_t region = 0; region < m_case.upstreams.size(); ++region)
            result.regions.emplace(zoneName(region), regionName(region));
        return result;
    }

    void add(std::size_t region, int count)
    {
        for (int i = 0; i < count; ++i) {
            upstream_incarnation life;
            life.id = upstream_id(fmt::format("u{}", m_upstreams.size()));
            life.startTimeMs = 1;
            life.address = endpoint_address("10.0.0.1:80");
            life.service = lookups;
            life.zone = zoneName(region);
            life.slots = slots;
            m_view.upstreams.push_back(life);
            m_upstreams[life.id].region = region;
        }
    }

    void showView()
    {
        for (const auto &entry : m_entries)
            entry->update(m_view, m_routes, timeOf(0));
    }

    void request(std::size_t entry, double at, instant now)
    {
        std::uniform_int_distribution<int> objects(0, 99);
        std::uniform_real_distribution<double> spread(0.85, 1.15);
        const std::string object = fmt::format("object-{}", objects(m_random));
        no_choice reason;
        ++m_requests;
        const auto chosen = m_entries[entry]->choose(
            {lookups, object, {}, milliseconds(800), milliseconds(1'500), {}}, now, reason);
        if (!chosen)
            return;
        const upstream_id &id = chosen->life.id;
        model_upstream &upstream = m_upstreams.at(id);
        note(upstream.region, at);
        const sending_record sending = m_entries[entry]->started(id, object, now);
        const double work = (upstream.objects[object] ? 0.36 : 1.44) * spread(m_random);
        const double queue = std::max(0, upstream.running + 1 - slots) * 0.6 / slots;
        const double took = queue + work + (upstream.region == 0 ? 0 : 0.04);
        upstream.objects[object] = true;
        ++upstream.running;
        m_running.push({at + std::min(took, longestS), at, entry, id, sending,
                        took > longestS ? sending_outcome::timed_out : sending_outcome::answered});
    }

    void finishUntil(double at)
    {
        while (!m_running.empty() && m_running.top().end <= at) {
            const running_request done = m_running.top();
            m_running.pop();
            model_upstream &upstream = m_upstreams.at(done.id);
            --upstream.running;
            m_served += done.outcome == sending_outcome::answered ? 1 : 0;
            const auto running = static_cast<std::uint32_t>(std::min(upstream.running, slots));
            const auto waiting = static_cast<std::uint32_t>(std::max(upstream.running - slots, 0));
            m_entries[done.entry]->finished(
                done.id, done.sending, done.outcome,
                microseconds(std::llround((done.end - done.began) * 1e6)),
                upstream_load{running, waiting, slots}, timeOf(done.end));
        }
    }

    void note(std::size_t region, double at)
    {
        const auto place = static_cast<std::size_t>(at / step);
        while (m_ran.size() <= place)
            m_ran.emplace_back(m_case.upstreams.size(), 0);
        ++m_ran[place][region];
    }

    [[nodiscard]] std::vector<double> sharesFrom(int begin) const
    {
        std::vector<double> sums(m_case.upstreams.size(), 0);
        double total = 0;
        for (int i = begin; i < begin + stepsInWindow; ++i) {
            for (std::size_t region = 0; region < sums.size(); ++region) {
                sums[region] += m_ran[static_cast<std::size_t>(i)][region];
                total += m_ran[static_cast<std::size_t>(i)][region];
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
    std::map<upstream_id, model_upstream> m_upstreams;
    std::priority_queue<running_request, std::vector<running_request>, std::greater<>> m_running;
    // Sendings by step and region.
    std::vector<std::vector<int>> m_ran;
    std::uint64_t m_requests = 0;
    std::uint64_t m_served = 0;
};

double wave(double at)
{
    return 70 * (1 + 0.55 * std::sin(2 * std::numbers::pi * (at / 36 + 0.3)));
}

// An upstream of region 0 has 27 requests a second to carry at 70 a second and entry, which takes
// all its slots while objects are new and a third of them later.
const std::vector<shift_case> shiftCases = {
    {"a small region at its peak when the day begins", {10, 42, 50}, wave, -1, 0},
    {"a small region with steady traffic", {10, 42, 50}, [](double) { return 70.0; }, -1, 0},
    {"equal regions", {30, 30, 30}, wave, -1, 0},
    {"a burst at one region",
     {20, 42, 50},
     [](double at) { return at >= 14 && at < 18 ? 160.0 : 70.0; },
     -1,
     0},
    {"upstreams that join another region", {10, 42, 50}, wave, 21, 55},
};

} // namespace

class region_shift_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(region_shift_test);
    CPPUNIT_TEST(trafficDoesNotChangeItsRegionFasterThanTheCap);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against most of a region's requests leaving it, or returning, within two seconds.
    void trafficDoesNotChangeItsRegionFasterThanTheCap()
    {
        std::string failures;
        for (const shift_case &each : shiftCases) {
            shift_world world(each);
            world.run(30);
            const double change = world.largestChange();
            if (change > largestShift)
                failures += fmt::format("{}: {:.2f} changed their region, {:.2f} served\n",
                                        each.name, change, world.servedShare());
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(region_shift_test);
