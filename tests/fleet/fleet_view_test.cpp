#include "kingcuptiller/fleet/fleet_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

// A fleet whose roster changes at random, and entries that follow it with gaps.
class changing_fleet
{
public:
    explicit changing_fleet(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void change()
    {
        const fleet_command command = nextCommand();
        static_cast<void>(state.apply(command));
        history.recordCommand(command, state);
    }

    // As after the installation of a snapshot.
    void restore()
    {
        state.restore(state.snapshot());
        history.reset(state);
    }

    [[nodiscard]] fleet_view whole() const
    {
        return applyDifference({}, history.differenceSince(0, revision_number(0), state));
    }

    void follow(fleet_view &view) const
    {
        const fleet_difference difference =
            history.differenceSince(view.appliedCommands, view.version, state);
        view = applyDifference(view, decodeFleetDifference(encodeFleetDifference(difference)));
    }

    bool happens(unsigned percent) { return draw(100) < percent; }

    fleet_state state;
    fleet_change_tracker history;

private:
    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }

    fleet_command nextCommand()
    {
        if (happens(10))
            return evacuate_command{zone_name("zone-" + std::to_string(draw(3))), happens(50)};
        if (happens(20)) {
            const endpoint_address address("10.0.0." + std::to_string(draw(6)) + ":80");
            if (happens(30))
                return registration_command{{}, {}, {address}};
            return registration_command{{}, {{address, region_name("r"), zone_name("zone-0")}}, {}};
        }
        upstream_incarnation incarnation;
        incarnation.id = upstream_id("u" + std::to_string(draw(12)));
        incarnation.startTimeMs = static_cast<std::int64_t>(draw(4));
        incarnation.sequence = ++m_sequence;
        incarnation.address = endpoint_address("10.0.1.1:80");
        incarnation.service = service_name("s");
        incarnation.zone = zone_name("zone-1");
        incarnation.state = static_cast<upstream_state>(draw(3));
        return registration_command{{incarnation}, {}, {}};
    }

    std::mt19937_64 m_random;
    std::uint64_t m_sequence = 0;
};

} // namespace

class fleet_view_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_view_test);
    CPPUNIT_TEST(differencesLeadToTheWholeView);
    CPPUNIT_TEST(differenceHoldsOnlyWhatChanged);
    CPPUNIT_TEST(entryFromBeforeASnapshotGetsTheWholeView);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an entry that goes on using an upstream that left, or never learns of one.
    void differencesLeadToTheWholeView()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            changing_fleet fleet(seed);
            std::vector<fleet_view> entries(3);
            for (int step = 0; step < 200; ++step) {
                fleet.change();
                if (fleet.happens(2))
                    fleet.restore();
                for (fleet_view &view : entries) {
                    if (!fleet.happens(30))
                        continue;
                    fleet.follow(view);
                    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), view == fleet.whole());
                }
            }
        }
    }

    // Guards against links that fill up with whole views when all upstreams announce themselves.
    void differenceHoldsOnlyWhatChanged()
    {
        fleet_state state;
        fleet_change_tracker history;
        for (int number = 0; number < 240; ++number) {
            upstream_incarnation incarnation;
            incarnation.id = upstream_id("u" + std::to_string(number));
            const fleet_command command = registration_command{{incarnation}, {}, {}};
            static_cast<void>(state.apply(command));
            history.recordCommand(command, state);
        }
        const fleet_difference last =
            history.differenceSince(state.appliedCommands() - 1, state.version(), state);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), last.upstreams.size());
        CPPUNIT_ASSERT(!last.entries);
        CPPUNIT_ASSERT(encodeFleetDifference(last).size() < 500);
    }

    void entryFromBeforeASnapshotGetsTheWholeView()
    {
        changing_fleet fleet(1);
        for (int step = 0; step < 20; ++step)
            fleet.change();
        fleet.restore();
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t(0),
            fleet.history.differenceSince(10, revision_number(0), fleet.state).since);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_view_test);
