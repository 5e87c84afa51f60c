#include "samples.h"

#include "kingcuptiller/control/share_planner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace kingcuptiller;
using namespace kingcuptiller::samples;

namespace {

const class_name postings("postings");

entry_key keyOf(const std::string &host)
{
    return {host_id(host), incarnation_id("i")};
}

// Entries e0.. and upstreams u0.., spread over the regions in turn.
struct planned_fleet
{
    control_state state = makeState();
    demand_table demand;

    planned_fleet(const std::vector<std::string> &entryRegions,
                  const std::vector<std::string> &upstreamRegions, std::uint32_t slots)
    {
        fleet_update update;
        for (std::size_t each = 0; each < entryRegions.size(); ++each) {
            const std::string host = "e" + std::to_string(each);
            update.joined.push_back(makeEntry(host, "i", entryRegions[each]));
            demand[keyOf(host)] = {{postings, 1.0, 1.0}};
        }
        for (std::size_t each = 0; each < upstreamRegions.size(); ++each)
            update.upstreams.push_back(
                makeUpstream("u" + std::to_string(each), slots, upstreamRegions[each]));
        state.apply({start, update});
    }

    void setDemand(const std::string &host, double concurrency)
    {
        demand[keyOf(host)] = {{postings, concurrency, 1.0}};
    }

    // Plans and applies until nothing changes, with every entry confirming at once. Returns the
    // number of limits that changed.
    std::size_t settle(wall_time now = start)
    {
        std::size_t changes = 0;
        for (int round = 0; round < 10; ++round) {
            fleet_update update;
            update.limits = planShares(state.currentConfiguration(), state.fleet(), demand, now);
            if (update.limits.empty())
                return changes;
            changes += update.limits.size();
            state.apply({now, update});
            fleet_update confirmed;
            for (const auto &[key, record] : state.fleet().entries())
                confirmed.confirmed.push_back({key, record.assignment, {}});
            state.apply({now, confirmed});
        }
        RC_FAIL("the plan does not settle");
    }

    [[nodiscard]] std::uint32_t slotsOf(const std::string &host,
                                        const std::string &region = "") const
    {
        std::uint32_t total = 0;
        for (const auto &[id, upstream] : state.fleet().upstreams()) {
            const auto share = upstream.shares.find(keyOf(host));
            if (share != upstream.shares.end()
                && (region.empty() || upstream.announcement.region.text() == region))
                total += share->second.limit;
        }
        return total;
    }
};

} // namespace

class share_planner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(share_planner_test);
    CPPUNIT_TEST(allSlotsAreGivenOutAndEveryEntryGetsSome);
    CPPUNIT_TEST(slotsFollowDemand);
    CPPUNIT_TEST(ownRegionComesFirst);
    CPPUNIT_TEST(smallChangesOfDemandMoveNothing);
    CPPUNIT_TEST(stoppedUpstreamsAndReleasedEntriesGetNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against slots that nobody may use, and against an entry that can serve nobody.
    void allSlotsAreGivenOutAndEveryEntryGetsSome()
    {
        CPPUNIT_ASSERT(rc::check("whole and fair", [] {
            const auto region = rc::gen::element<std::string>("north", "south", "west");
            const auto entries =
                *rc::gen::container<std::vector<std::string>>(*rc::gen::inRange(1, 8), region);
            const auto upstreams =
                *rc::gen::container<std::vector<std::string>>(*rc::gen::inRange(1, 20), region);
            const auto slots = *rc::gen::inRange<std::uint32_t>(1, 10);
            planned_fleet fleet(entries, upstreams, slots);
            for (int change = 0; change < 3; ++change) {
                for (std::size_t each = 0; each < entries.size(); ++each)
                    fleet.setDemand("e" + std::to_string(each), *rc::gen::inRange(0, 100));
                fleet.settle();
                std::uint32_t given = 0;
                for (std::size_t each = 0; each < entries.size(); ++each) {
                    const auto own = fleet.slotsOf("e" + std::to_string(each));
                    RC_ASSERT(own > 0 || upstreams.size() * slots < entries.size());
                    given += own;
                }
                RC_ASSERT(given == upstreams.size() * slots);
            }
        }));
    }

    // Guards against a busy entry that refuses work while others hold idle slots.
    void slotsFollowDemand()
    {
        planned_fleet fleet({"north", "north"}, {"north", "north"}, 10);
        fleet.settle();
        CPPUNIT_ASSERT_EQUAL(10U, fleet.slotsOf("e0"));
        fleet.setDemand("e0", 19);
        fleet.settle();
        CPPUNIT_ASSERT_EQUAL(17U, fleet.slotsOf("e0"));
        CPPUNIT_ASSERT_EQUAL(3U, fleet.slotsOf("e1"));
    }

    // Guards against needless traffic between regions.
    void ownRegionComesFirst()
    {
        planned_fleet fleet({"north", "south"}, {"north", "south"}, 10);
        fleet.settle();
        CPPUNIT_ASSERT_EQUAL(10U, fleet.slotsOf("e0", "north"));
        CPPUNIT_ASSERT_EQUAL(10U, fleet.slotsOf("e1", "south"));
        fleet.setDemand("e0", 9);
        fleet.settle();
        // The north lacks slots, so its entry gets some of the south's.
        CPPUNIT_ASSERT_EQUAL(10U, fleet.slotsOf("e0", "north"));
        CPPUNIT_ASSERT(fleet.slotsOf("e0", "south") > 0);
        CPPUNIT_ASSERT_EQUAL(0U, fleet.slotsOf("e1", "north"));
    }

    // Guards against shares that move to and fro with the noise of demand.
    void smallChangesOfDemandMoveNothing()
    {
        planned_fleet fleet({"north", "north", "south"}, {"north", "south", "south"}, 9);
        for (const auto *host : {"e0", "e1", "e2"})
            fleet.setDemand(host, 10);
        fleet.settle();
        for (const double noise : {9.0, 11.0, 9.5, 10.5}) {
            fleet.setDemand("e0", noise);
            fleet.setDemand("e2", 20 - noise);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(noise), std::size_t{0}, fleet.settle());
        }
    }

    // Guards against new work for upstreams and entries that are about to stop (I6, I7).
    void stoppedUpstreamsAndReleasedEntriesGetNothing()
    {
        planned_fleet fleet({"north", "south"}, {"north", "south"}, 10);
        fleet.settle();
        change_request change = makeChange("stop", 1, {});
        change.planStops = {{stop_id("s"), stop_scope::region, "south", start + milliseconds{1000},
                             start + milliseconds{2000}}};
        fleet.state.apply({start, change_command{change, result_code::ok, ""}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.settle(start + milliseconds{999}));
        fleet.settle(start + milliseconds{1000});
        CPPUNIT_ASSERT_EQUAL(0U, fleet.slotsOf("e0", "south") + fleet.slotsOf("e1", "south"));
        CPPUNIT_ASSERT_EQUAL(5U, fleet.slotsOf("e1"));
        fleet_update released;
        released.states = {{keyOf("e1"), entry_state::released}};
        fleet.state.apply({start, released});
        fleet.settle(start + milliseconds{2000});
        CPPUNIT_ASSERT_EQUAL(0U, fleet.slotsOf("e1"));
        CPPUNIT_ASSERT_EQUAL(20U, fleet.slotsOf("e0"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(share_planner_test);
