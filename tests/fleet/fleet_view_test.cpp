#include "kingcuptiller/fleet/fleet_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

// A replicated state that receives random commands, with a change tracker from which views are
// updated.
class random_fleet
{
public:
    explicit random_fleet(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void applyRandomCommand()
    {
        const fleet_command command = randomCommand();
        static_cast<void>(state.apply(command));
        changes.recordCommand(command, state);
    }

    // Replaces the state by a snapshot, as a control host does when it receives a snapshot from the
    // leader.
    void restoreFromSnapshot()
    {
        state.restore(state.snapshot());
        changes.reset(state);
    }

    [[nodiscard]] fleet_view fullView() const
    {
        return applyDifference({}, changes.differenceSince(0, revision_number(0), state));
    }

    void updateView(fleet_view &view) const
    {
        const fleet_difference difference =
            changes.differenceSince(view.appliedCommands, view.version, state);
        view = applyDifference(view, decodeFleetDifference(encodeFleetDifference(difference)));
    }

    bool chance(unsigned percent) { return randomBelow(100) < percent; }

    fleet_state state;
    fleet_change_tracker changes;

private:
    std::uint64_t randomBelow(std::uint64_t bound) { return m_random() % bound; }

    fleet_command randomCommand()
    {
        if (chance(10))
            return evacuate_command{zone_name("zone-" + std::to_string(randomBelow(3))),
                                    chance(50)};
        if (chance(20)) {
            const endpoint_address address("10.0.0." + std::to_string(randomBelow(6)) + ":80");
            if (chance(30))
                return registration_command{{}, {}, {address}};
            return registration_command{{}, {{address, region_name("r"), zone_name("zone-0")}}, {}};
        }
        upstream_incarnation incarnation;
        incarnation.id = upstream_id("u" + std::to_string(randomBelow(12)));
        incarnation.startTimeMs = static_cast<std::int64_t>(randomBelow(4));
        incarnation.sequence = ++m_sequence;
        incarnation.address = endpoint_address("10.0.1.1:80");
        incarnation.service = service_name("s");
        incarnation.zone = zone_name("zone-1");
        incarnation.state = static_cast<upstream_state>(randomBelow(3));
        return registration_command{{incarnation}, {}, {}};
    }

    std::mt19937_64 m_random;
    std::uint64_t m_sequence = 0;
};

} // namespace

class fleet_view_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_view_test);
    CPPUNIT_TEST(differencesProduceTheFullView);
    CPPUNIT_TEST(differenceContainsOnlyChanges);
    CPPUNIT_TEST(viewOlderThanSnapshotRequiresFullView);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an entry that keeps using a removed upstream or never learns of a new one. The
    // views are updated at random times, so that one difference covers several commands.
    void differencesProduceTheFullView()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            random_fleet fleet(seed);
            std::vector<fleet_view> views(3);
            for (int step = 0; step < 200; ++step) {
                fleet.applyRandomCommand();
                if (fleet.chance(2))
                    fleet.restoreFromSnapshot();
                for (fleet_view &view : views) {
                    if (!fleet.chance(30))
                        continue;
                    fleet.updateView(view);
                    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                           view == fleet.fullView());
                }
            }
        }
    }

    // Guards against saturating the network links: each change is sent to every entry, so it must
    // not contain all upstreams.
    void differenceContainsOnlyChanges()
    {
        fleet_state state;
        fleet_change_tracker changes;
        for (int number = 0; number < 240; ++number) {
            upstream_incarnation incarnation;
            incarnation.id = upstream_id("u" + std::to_string(number));
            const fleet_command command = registration_command{{incarnation}, {}, {}};
            static_cast<void>(state.apply(command));
            changes.recordCommand(command, state);
        }
        const fleet_difference last =
            changes.differenceSince(state.appliedCommands() - 1, state.version(), state);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), last.upstreams.size());
        CPPUNIT_ASSERT(!last.entries);
        CPPUNIT_ASSERT(encodeFleetDifference(last).size() < 500);
    }

    // Guards against an incomplete difference for a view that is older than a restored snapshot,
    // because changes before the snapshot are not recorded.
    void viewOlderThanSnapshotRequiresFullView()
    {
        random_fleet fleet(1);
        for (int step = 0; step < 20; ++step)
            fleet.applyRandomCommand();
        fleet.restoreFromSnapshot();
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t(0),
            fleet.changes.differenceSince(10, revision_number(0), fleet.state).baseAppliedCommands);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_view_test);
