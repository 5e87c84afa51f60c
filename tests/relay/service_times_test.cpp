#include "kingcuptiller/relay/service_times.h"
#include "kingcuptiller/relay/upstream_choice.h"
#include "tests/relay/one_region.h"

#include "../../src/relay/header_text.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

const service_name lookups("lookups");
const std::string route = "route";

// Serves requests one at a time at three idle upstreams of one region, with a simulated clock.
struct idle_service
{
    explicit idle_service(milliseconds coldTime)
        : choices(oneRegionSettings())
    {
        fleet_view view;
        for (int i = 0; i < 3; ++i) {
            upstream_incarnation incarnation = makeUpstream(fmt::format("u{}", i), lookups, 3);
            incarnation.coldRemaining = coldTime;
            view.upstreams.push_back(incarnation);
        }
        choices.update(view, route_table(traffic_configuration{}), now);
    }

    std::optional<chosen_upstream> choose(const std::string &object, milliseconds target,
                                          milliseconds timeLimit)
    {
        choice_failure reason;
        return choices.choose({lookups, object, {}, target, timeLimit, {}, std::nullopt, route},
                              now, reason);
    }

    // Returns whether an upstream was chosen for the request.
    bool serve(const std::string &object, milliseconds target, milliseconds timeLimit,
               milliseconds elapsed)
    {
        const auto chosen = choose(object, target, timeLimit);
        if (!chosen)
            return false;
        const upstream_id &id = chosen->incarnation.id;
        const upstream_attempt_record attempt = choices.attemptStarted(id, object, now, route);
        now += elapsed;
        choices.attemptFinished(id, attempt, upstream_attempt_outcome::answered, elapsed,
                                std::nullopt, now);
        return true;
    }

    instant now{std::chrono::seconds(100)};
    upstream_choice choices;
};

} // namespace

class service_times_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(service_times_test);
    CPPUNIT_TEST(assumptionsScaleWithTheLatencyTarget);
    CPPUNIT_TEST(firstMeasurementsReplaceTheAssumption);
    CPPUNIT_TEST(requestsAreTriedWhileNothingIsMeasured);
    CPPUNIT_TEST(requestsAreRejectedByMeasurement);
    CPPUNIT_TEST(objectsStayAtTheirUpstreamWhateverTheTimeScale);
    CPPUNIT_TEST(reportedWorkTimeCountsWhileItIsNew);
    CPPUNIT_TEST(loadReportsOfThreeOrFourNumbersAreRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void assumptionsScaleWithTheLatencyTarget()
    {
        const service_times times;
        for (const int targetMs : {100, 600, 4'000}) {
            const time_estimate cached =
                times.serviceTime(route, object_cache_state::cached, milliseconds(targetMs));
            const time_estimate uncached =
                times.serviceTime(route, object_cache_state::uncached, milliseconds(targetMs));
            CPPUNIT_ASSERT(!cached.isMeasured && !uncached.isMeasured);
            CPPUNIT_ASSERT(cached.ms <= targetMs);
            CPPUNIT_ASSERT(uncached.ms > cached.ms);
        }
    }

    // Guards against estimates that stay near an initial value for dozens of requests.
    void firstMeasurementsReplaceTheAssumption()
    {
        service_times times;
        times.recordServiceTime(route, object_cache_state::cached, 20, 1);
        times.recordServiceTime(route, object_cache_state::cached, 40, 1);
        const time_estimate cached =
            times.serviceTime(route, object_cache_state::cached, milliseconds(5'000));
        CPPUNIT_ASSERT(cached.isMeasured);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30, cached.ms, 1e-9);
        const time_estimate uncached =
            times.serviceTime(route, object_cache_state::uncached, milliseconds(5'000));
        CPPUNIT_ASSERT(!uncached.isMeasured);
        CPPUNIT_ASSERT(uncached.ms < 500);
    }

    // Guards against rejecting all requests of a route whose deadline is shorter than an assumed
    // service time: a rejected request teaches nothing, so nothing corrected the assumption while
    // the upstreams were idle.
    void requestsAreTriedWhileNothingIsMeasured()
    {
        struct row
        {
            milliseconds target;
            milliseconds timeLimit;
            milliseconds coldTime;
        };
        const std::vector<row> rows = {
            {milliseconds(300), milliseconds(1'200), milliseconds(0)},
            {milliseconds(300), milliseconds(1'200), milliseconds(3'000)},
            {milliseconds(100), milliseconds(240), milliseconds(0)},
            {milliseconds(1'500), milliseconds(1'600), milliseconds(0)},
        };
        for (const row &each : rows) {
            idle_service service(each.coldTime);
            for (int i = 0; i < 3; ++i)
                CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms, request {}", each.timeLimit.count(), i),
                                       service.serve(fmt::format("object-{}", i), each.target,
                                                     each.timeLimit, each.timeLimit / 4));
        }
    }

    // Guards against sending work to upstreams that are known to be too slow for the deadline.
    void requestsAreRejectedByMeasurement()
    {
        idle_service service(milliseconds(0));
        for (int i = 0; i < 10; ++i)
            service.serve(fmt::format("object-{}", i), milliseconds(300), milliseconds(1'200),
                          milliseconds(900));
        CPPUNIT_ASSERT(service.choose("new", milliseconds(300), milliseconds(1'200)));
        CPPUNIT_ASSERT(!service.choose("new", milliseconds(300), milliseconds(800)));
    }

    // Guards against penalties in absolute times: where requests take long, every small queue then
    // moves objects between upstreams, and where they take short, none ever does.
    void objectsStayAtTheirUpstreamWhateverTheTimeScale()
    {
        for (const int scale : {1, 5, 30}) {
            idle_service service(milliseconds(0));
            const milliseconds target(100 * scale);
            const milliseconds timeLimit(800 * scale);
            for (int i = 0; i < 30; ++i)
                service.serve(fmt::format("object-{}", i % 10), target, timeLimit,
                              milliseconds(i < 10 ? 120 * scale : 40 * scale));
            const auto home = service.choose("object-1", target, timeLimit);
            CPPUNIT_ASSERT(home);
            // All slots of the home are taken.
            for (int i = 0; i < 3; ++i)
                static_cast<void>(service.choices.attemptStarted(
                    home->incarnation.id, fmt::format("object-{}", i), service.now, route));
            const auto next = service.choose("object-1", target, timeLimit);
            CPPUNIT_ASSERT(next);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("scale {}", scale),
                                   home->incarnation.id == next->incarnation.id);
        }
    }

    // Guards against sending requests without an object to an upstream whose machine is busy with
    // other work, against avoiding it when the report is old, and against learning times from it.
    void reportedWorkTimeCountsWhileItIsNew()
    {
        idle_service service(milliseconds(0));
        const milliseconds target(300);
        const milliseconds timeLimit(1'200);
        for (int i = 0; i < 30; ++i)
            service.serve("", target, timeLimit, milliseconds(101));
        service.now += std::chrono::seconds(30);
        const upstream_id busy("u0");
        const auto report = [&](std::uint32_t percent, milliseconds elapsed) {
            const upstream_attempt_record attempt =
                service.choices.attemptStarted(busy, "", service.now, route);
            service.now += elapsed;
            service.choices.attemptFinished(busy, attempt, upstream_attempt_outcome::answered,
                                            elapsed, upstream_load_report{1, 0, 3, percent},
                                            service.now);
        };
        const auto timesChosen = [&] {
            int count = 0;
            for (int i = 0; i < 60; ++i) {
                const auto chosen = service.choose("", target, timeLimit);
                count += chosen && chosen->incarnation.id == busy ? 1 : 0;
            }
            return count;
        };
        report(500, milliseconds(501));
        CPPUNIT_ASSERT_EQUAL(0, timesChosen());
        service.now += std::chrono::seconds(2);
        CPPUNIT_ASSERT(timesChosen() > 0);
    }

    void loadReportsOfThreeOrFourNumbersAreRead()
    {
        struct row
        {
            std::string text;
            std::optional<upstream_load_report> expected;
        };
        const std::vector<row> rows = {
            {"3,0,8", upstream_load_report{3, 0, 8, 100}},
            {"3,0,8,250", upstream_load_report{3, 0, 8, 250}},
            {"3,0,8,0", upstream_load_report{3, 0, 8, 100}},
            {"3,0,8,", std::nullopt},
            {"3,0,8,x", std::nullopt},
            {"3,0,8,-5", std::nullopt},
            {"3,0,8,99999999999999999999", std::nullopt},
            {"3,0", std::nullopt},
            {"3,0,8,100,1", std::nullopt},
            {"", std::nullopt},
        };
        for (const row &each : rows)
            CPPUNIT_ASSERT_MESSAGE(each.text,
                                   internal::parseLoadReport(each.text) == each.expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_times_test);
