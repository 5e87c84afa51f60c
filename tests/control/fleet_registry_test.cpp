#include "fleet_simulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace kingcuptiller;
using namespace kingcuptiller::samples;

class fleet_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_registry_test);
    CPPUNIT_TEST(slotsAndAcceptedRevisionsHoldWhateverTheNetworkDoes);
    CPPUNIT_TEST(loweredLimitFreesItsSlotsOnlyWhenConfirmed);
    CPPUNIT_TEST(slotsOfAReplacedEntryStayCounted);
    CPPUNIT_TEST(lateAnnouncementOfAFormerProcessChangesNothing);
    CPPUNIT_TEST(sequenceGrowsOnlyWithChanges);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an upstream that is overloaded (I2) and against an entry that cannot be
    // reached and serves with an old configuration after a change was answered as accepted (I8).
    void slotsAndAcceptedRevisionsHoldWhateverTheNetworkDoes()
    {
        std::size_t started = 0;
        std::uint64_t accepted = 0;
        CPPUNIT_ASSERT(rc::check("slots and accepted revisions", [&](std::uint64_t seed) {
            const int steps = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(1, 4000));
            fleet_simulation fleet(seed);
            for (int step = 0; step < steps; ++step) {
                fleet.step();
                const auto problem = fleet.problem();
                if (problem)
                    RC_FAIL("step " + std::to_string(step) + ": " + *problem);
            }
            started += fleet.started();
            accepted += fleet.accepted().number();
        }));
        CPPUNIT_ASSERT_MESSAGE("the runs were idle", started > 1000 && accepted > 100);
    }

    // Guards against slots that are given to a second entry while the first still uses them.
    void loweredLimitFreesItsSlotsOnlyWhenConfirmed()
    {
        control_state state = makeState();
        const entry_key first{host_id("e1"), incarnation_id("i1")};
        const entry_key second{host_id("e2"), incarnation_id("i2")};
        const upstream_id upstream("u");
        fleet_update update;
        update.joined = {makeEntry("e1", "i1"), makeEntry("e2", "i2")};
        update.upstreams = {makeUpstream("u", 3)};
        update.limits = {{upstream, first, 3}, {upstream, second, 3}};
        applyEncoded(state, {start, update});
        CPPUNIT_ASSERT_EQUAL(3U, state.fleet().find(upstream)->shares.at(first).limit);

        fleet_update moved;
        moved.limits = {{upstream, first, 1}, {upstream, second, 2}};
        applyEncoded(state, {start, moved});
        CPPUNIT_ASSERT(!state.fleet().find(upstream)->shares.contains(second));

        const auto lowered = state.fleet().find(first)->assignment;
        const std::vector<upstream_usage> two{{upstream, incarnation_id("u1"), 2}};
        fleet_update confirmed;
        // The first is from before the change; the second still has two requests in flight.
        confirmed.confirmed = {{first, assignment_sequence(lowered.number() - 1), {}},
                               {first, lowered, two}};
        confirmed.limits = {{upstream, second, 2}};
        applyEncoded(state, {start, confirmed});
        CPPUNIT_ASSERT_EQUAL(2U, state.fleet().find(upstream)->shares.at(first).counted);
        CPPUNIT_ASSERT_EQUAL(1U, state.fleet().find(upstream)->shares.at(second).limit);
    }

    // Guards against a restarted entry whose former requests are forgotten.
    void slotsOfAReplacedEntryStayCounted()
    {
        control_state state = makeState();
        const entry_key former{host_id("e1"), incarnation_id("i1")};
        fleet_update update;
        update.joined = {makeEntry("e1", "i1")};
        update.upstreams = {makeUpstream("u", 3)};
        update.limits = {{upstream_id("u"), former, 3}};
        applyEncoded(state, {start, update});
        fleet_update restarted;
        restarted.joined = {makeEntry("e1", "i2")};
        restarted.limits = {{upstream_id("u"), {host_id("e1"), incarnation_id("i2")}, 3}};
        applyEncoded(state, {start, restarted});
        const auto &shares = state.fleet().find(upstream_id("u"))->shares;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shares.size());
        CPPUNIT_ASSERT(shares.at(former).limit == 0 && shares.at(former).counted == 3);
        fleet_update retired;
        retired.retired = {former};
        applyEncoded(state, {start, retired});
        CPPUNIT_ASSERT(state.fleet().find(upstream_id("u"))->shares.empty());
        CPPUNIT_ASSERT(state.fleet().isFormer(former));
    }

    // Guards against an upstream that flips between its new and its former process.
    void lateAnnouncementOfAFormerProcessChangesNothing()
    {
        control_state state = makeState();
        auto restarted = makeUpstream("u", 3);
        restarted.incarnation = incarnation_id("u2");
        fleet_update update;
        update.upstreams = {makeUpstream("u", 3), restarted, makeUpstream("u", 3)};
        applyEncoded(state, {start, update});
        CPPUNIT_ASSERT(state.fleet().find(upstream_id("u"))->announcement == restarted);
    }

    // Guards against assignments that are sent to every entry although nothing changed.
    void sequenceGrowsOnlyWithChanges()
    {
        control_state state = makeState();
        fleet_update update;
        update.joined = {makeEntry("e1", "i1")};
        applyEncoded(state, {start, update});
        const auto before = state.fleet().sequence();
        applyEncoded(state, {start, update});
        CPPUNIT_ASSERT(before == state.fleet().sequence());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_registry_test);
