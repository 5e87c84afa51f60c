#include "kingcuptiller/supervision/process.h"
#include "kingcuptiller/supervision/supervisor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <condition_variable>
#include <mutex>
#include <stdexcept>

using namespace kingcuptiller;

namespace {

constexpr restart_policy policy{.maximumRestarts = 3,
                                .window = milliseconds(10'000),
                                .firstDelay = milliseconds(100),
                                .longestDelay = milliseconds(300)};

instant at(std::int64_t milliseconds)
{
    return instant(std::chrono::milliseconds(milliseconds));
}

// A component whose failure the test controls.
struct fake_component
{
    int starts = 0;
    int stops = 0;
    bool fails = false;
    bool refusesStart = false;

    component make()
    {
        return {
            .name = "fake",
            .start =
                [this] {
                    ++starts;
                    if (refusesStart)
                        throw std::runtime_error("no start");
                },
            .stop = [this] { ++stops; },
            .failure = [this](instant) -> std::optional<std::string> {
                return fails ? std::optional<std::string>("broken") : std::nullopt;
            },
        };
    }
};

} // namespace

class supervisor_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(supervisor_test);
    CPPUNIT_TEST(restartDelayGrowsToItsLimitAndTheBudgetRefills);
    CPPUNIT_TEST(noWindowHoldsMoreRestartsThanTheLimit);
    CPPUNIT_TEST(failedComponentIsRestartedAfterTheDelay);
    CPPUNIT_TEST(failedStartCountsAsFailure);
    CPPUNIT_TEST(exhaustedLimitStopsAllAndClimbsToTheParent);
    CPPUNIT_TEST(threadThatEndsOrThrowsIsAFailure);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a restart loop that burns a core, and against a component that is given up
    // because of failures long ago.
    void restartDelayGrowsToItsLimitAndTheBudgetRefills()
    {
        restart_budget budget(policy);
        CPPUNIT_ASSERT(budget.failed(at(0)) == milliseconds(100));
        CPPUNIT_ASSERT(budget.failed(at(1)) == milliseconds(200));
        CPPUNIT_ASSERT(budget.failed(at(2)) == milliseconds(300));
        CPPUNIT_ASSERT(!budget.failed(at(3)).has_value());
        CPPUNIT_ASSERT(budget.failed(at(20'000)) == milliseconds(100));
    }

    // Guards against a limit that is counted per process instead of per window, or not at all.
    void noWindowHoldsMoreRestartsThanTheLimit()
    {
        const bool holds =
            rc::check("restarts in a window", [](const std::vector<std::uint16_t> &gaps) {
                restart_budget budget(policy);
                std::vector<instant> restarts;
                instant now{};
                for (const std::uint16_t gap : gaps) {
                    now += milliseconds(gap % 5000);
                    if (budget.failed(now))
                        restarts.push_back(now);
                }
                for (std::size_t i = policy.maximumRestarts; i < restarts.size(); ++i)
                    RC_ASSERT(restarts[i] - restarts[i - policy.maximumRestarts] >= policy.window);
            });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a component that stays dead, or restarts without its delay.
    void failedComponentIsRestartedAfterTheDelay()
    {
        fake_component part;
        supervisor root("root", policy);
        root.add(part.make());
        root.start(at(0));
        part.fails = true;
        root.check(at(10));
        part.fails = false;
        root.check(at(109));
        CPPUNIT_ASSERT_EQUAL(1, part.starts);
        CPPUNIT_ASSERT_EQUAL(1, part.stops);
        root.check(at(110));
        CPPUNIT_ASSERT_EQUAL(2, part.starts);
        root.stop();
        CPPUNIT_ASSERT_EQUAL(2, part.stops);
    }

    // Guards against a start that throws out of the supervisor.
    void failedStartCountsAsFailure()
    {
        fake_component part;
        part.refusesStart = true;
        supervisor root("root", policy);
        root.add(part.make());
        root.start(at(0));
        CPPUNIT_ASSERT(!root.failure());
        for (const std::int64_t time : {1000, 2000, 3000})
            root.check(at(time));
        CPPUNIT_ASSERT(root.failure().has_value());
        CPPUNIT_ASSERT_EQUAL(4, part.starts);
    }

    // Guards against a broken component that is restarted forever, and against siblings that keep
    // running after the supervisor gave up.
    void exhaustedLimitStopsAllAndClimbsToTheParent()
    {
        fake_component broken;
        fake_component sibling;
        auto child = std::make_shared<supervisor>("child", policy);
        child->add(sibling.make());
        child->add(broken.make());
        supervisor root("root", policy);
        root.add(supervisor::asComponent(child, [] { return at(0); }));
        root.start(at(0));
        broken.fails = true;
        std::int64_t time = 0;
        while (sibling.stops == 0)
            root.check(at(time += 400));
        CPPUNIT_ASSERT_EQUAL(4, broken.starts);
        CPPUNIT_ASSERT(!root.failure());
        while (!root.failure())
            root.check(at(time += 400));
        CPPUNIT_ASSERT_EQUAL(sibling.starts, sibling.stops);
        CPPUNIT_ASSERT_EQUAL(16, broken.starts);
    }

    // Guards against a thread whose end goes unnoticed.
    void threadThatEndsOrThrowsIsAFailure()
    {
        std::mutex mutex;
        std::condition_variable ended;
        int runs = 0;
        const component part = threadComponent("thread", [&](const std::stop_token &) {
            const std::lock_guard lock(mutex);
            ++runs;
            ended.notify_all();
            if (runs == 2)
                throw std::runtime_error("thrown");
        });
        for (const std::string expected : {"the thread ended", "thrown"}) {
            part.start();
            std::optional<std::string> reason;
            while (!(reason = part.failure(at(0))))
                std::this_thread::yield();
            CPPUNIT_ASSERT_EQUAL(expected, *reason);
            part.stop();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(supervisor_test);
