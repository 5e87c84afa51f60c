#include "kingcuptiller/node/fleet_feed.h"
#include "kingcuptiller/transport/free_port.h"
#include "kingcuptiller/transport/system_clock.h"
#include "tests/node/fake_control_host.h"
#include "tests/support/run_until.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

namespace asio = boost::asio;

struct feed_world
{
    feed_world(host_mood first, host_mood second, host_mood third)
        : one(context, "127.0.0.2", port, first)
        , two(context, "127.0.0.3", port, second)
        , three(context, "127.0.0.4", port, third)
        , feed(context,
               {.seeds = {host_id("127.0.0.2"), host_id("127.0.0.3"), host_id("127.0.0.4")},
                .controlPort = port,
                .entry = {},
                .presenceInterval = milliseconds(20),
                .doubt = milliseconds(60),
                .probeInterval = milliseconds(10),
                .now = readInstant},
               [this](const fleet_view &) { ++views; })
    {
    }

    template <typename Condition>
    bool reaches(const Condition &condition)
    {
        return runUntil(context, condition);
    }

    asio::io_context context;
    std::uint16_t port = findFreePort();
    fake_control_host one;
    fake_control_host two;
    fake_control_host three;
    int views = 0;
    fleet_feed feed;
};

} // namespace

class fleet_feed_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_feed_test);
    CPPUNIT_TEST(onlyACurrentHostIsTaken);
    CPPUNIT_TEST(hostThatFreezesIsLeftForACurrentOne);
    CPPUNIT_TEST(hostThatLosesItsLeaderIsLeft);
    CPPUNIT_TEST(entryWaitsUntilAnyHostIsCurrent);
    CPPUNIT_TEST(viewThatBuildsOnAnUnknownOneEndsTheConnection);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against time lost at a frozen host, whose kernel still accepts connections, and at one
    // that is cut off from its leader: drains and configurations came into force too late.
    void onlyACurrentHostIsTaken()
    {
        feed_world world(host_mood::frozen, host_mood::stale, host_mood::current);
        CPPUNIT_ASSERT(world.reaches([&] { return world.views > 0; }));
        CPPUNIT_ASSERT(world.three.presences > 0);
        CPPUNIT_ASSERT_EQUAL(0, world.one.presences + world.two.presences);
    }

    void hostThatFreezesIsLeftForACurrentOne()
    {
        feed_world world(host_mood::stale, host_mood::frozen, host_mood::current);
        CPPUNIT_ASSERT(world.reaches([&] { return world.views > 0; }));
        world.three.mood = host_mood::frozen;
        world.one.mood = host_mood::current;
        CPPUNIT_ASSERT(world.reaches([&] { return world.one.presences > 0; }));
    }

    void hostThatLosesItsLeaderIsLeft()
    {
        feed_world world(host_mood::stale, host_mood::current, host_mood::stale);
        CPPUNIT_ASSERT(world.reaches([&] { return world.views > 0; }));
        world.two.mood = host_mood::stale;
        world.three.mood = host_mood::current;
        CPPUNIT_ASSERT(world.reaches([&] { return world.three.presences > 0; }));
    }

    // Guards against an entry that gives up when the whole system starts and no host has a leader.
    void entryWaitsUntilAnyHostIsCurrent()
    {
        feed_world world(host_mood::stale, host_mood::stale, host_mood::stale);
        world.context.run_for(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(0, world.views);
        world.two.mood = host_mood::current;
        CPPUNIT_ASSERT(world.reaches([&] { return world.views > 0; }));
    }

    // Guards against an entry that waits for ever for what its host takes to be sent.
    void viewThatBuildsOnAnUnknownOneEndsTheConnection()
    {
        feed_world world(host_mood::stale, host_mood::current, host_mood::stale);
        world.two.view.baseAppliedCommands = 5;
        CPPUNIT_ASSERT(world.reaches([&] { return world.two.connections() > 1; }));
        CPPUNIT_ASSERT_EQUAL(0, world.views);
        world.two.view.baseAppliedCommands = 0;
        CPPUNIT_ASSERT(world.reaches([&] { return world.views > 0; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_feed_test);
