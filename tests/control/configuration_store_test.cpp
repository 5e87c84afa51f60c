#include "samples.h"

#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace kingcuptiller;
using namespace kingcuptiller::samples;

namespace {

change_answer submit(control_state &state, const change_request &request)
{
    return std::get<change_answer>(
        applyEncoded(state, {start, change_command{request, result_code::ok, ""}}));
}

control_state restored(const control_state &state)
{
    return control_state::fromSnapshot(state.snapshot());
}

} // namespace

class configuration_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_store_test);
    CPPUNIT_TEST(ofTwoChangesOnOneRevisionOneIsAccepted);
    CPPUNIT_TEST(resentChangeGetsItsFirstAnswer);
    CPPUNIT_TEST(answersAreKeptForTheNewestTenThousandChanges);
    CPPUNIT_TEST(invalidChangesAreRefusedAsAWhole);
    CPPUNIT_TEST(classWithUpstreamsIsNotRemoved);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two operators who overwrite each other's change.
    void ofTwoChangesOnOneRevisionOneIsAccepted()
    {
        control_state state = makeState();
        const auto first = submit(state, makeChange("a", 1, {makeClass("revisions", 3)}));
        const auto second = submit(state, makeChange("b", 1, {makeClass("lookups", 2, true)}));
        CPPUNIT_ASSERT(first.code == result_code::ok);
        CPPUNIT_ASSERT(second.code == result_code::revision_conflict);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, second.revision.number());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.currentConfiguration().classes.size());
    }

    // Guards against a change that is applied twice, or refused as a conflict with itself, because
    // its answer was lost; also after a snapshot.
    void resentChangeGetsItsFirstAnswer()
    {
        control_state state = makeState();
        const auto change = makeChange("a", 1, {makeClass("revisions", 3)});
        const auto conflicting = makeChange("b", 1, {makeClass("lookups", 2, true)});
        const auto accepted = submit(state, change);
        const auto refused = submit(state, conflicting);
        state = restored(state);
        CPPUNIT_ASSERT(accepted == submit(state, change));
        CPPUNIT_ASSERT(refused == submit(state, conflicting));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.currentConfiguration().revision.number());
    }

    // Guards against unbounded growth, and against a list that forgets too early.
    void answersAreKeptForTheNewestTenThousandChanges()
    {
        control_state state = makeState();
        for (std::uint64_t number = 0; number < configuration_store::rememberedChanges; ++number)
            submit(state, makeChange("c" + std::to_string(number), 0, {makeClass("x")}));
        state = restored(state);
        const auto &store = state.configurations();
        CPPUNIT_ASSERT_EQUAL(configuration_store::rememberedChanges, store.answers().size());
        CPPUNIT_ASSERT(store.findAnswer(change_id("setup")) == nullptr);
        CPPUNIT_ASSERT(store.findAnswer(change_id("c0")) != nullptr);
    }

    // Guards against values that other parts cannot work with, and against half a change.
    void invalidChangesAreRefusedAsAWhole()
    {
        struct invalid_change
        {
            const char *name;
            std::function<void(change_request &)> spoil;
            result_code code;
        };
        const planned_stop stop{stop_id("s"), stop_scope::region, "north", start + milliseconds{1},
                                start + milliseconds{2}};
        const std::vector<invalid_change> cases = {
            {"empty name", [](auto &c) { c.putClasses[0].name = class_name(""); },
             result_code::change_malformed},
            {"path in name", [](auto &c) { c.putClasses[0].name = class_name("a/b"); },
             result_code::change_malformed},
            {"rank 0", [](auto &c) { c.putClasses[0].rank = rank_number(0); },
             result_code::change_malformed},
            {"worth 0", [](auto &c) { c.putClasses[0].target.worth = 0; },
             result_code::change_malformed},
            {"1001 per mille", [](auto &c) { c.putClasses[0].target.successPerMille = 1001; },
             result_code::change_malformed},
            {"target after deadline",
             [](auto &c) { c.putClasses[0].target.latency = milliseconds{5001}; },
             result_code::change_malformed},
            {"deadline of an hour",
             [](auto &c) { c.putClasses[0].maximumDeadline = milliseconds{3'600'000}; },
             result_code::change_malformed},
            {"class twice", [](auto &c) { c.putClasses.push_back(c.putClasses[0]); },
             result_code::change_malformed},
            {"unknown class removed", [](auto &c) { c.removeClasses.emplace_back("unknown"); },
             result_code::change_malformed},
            {"unknown stop withdrawn", [](auto &c) { c.withdrawStops.emplace_back("s"); },
             result_code::stop_unknown},
            {"stop that ends before it starts",
             [stop](auto &c) {
                 c.planStops = {stop};
                 c.planStops[0].end = start;
             },
             result_code::change_malformed},
            {"zone without region",
             [stop](auto &c) {
                 c.planStops = {stop};
                 c.planStops[0].scope = stop_scope::zone;
             },
             result_code::change_malformed},
            {"nothing", [](auto &c) { c.putClasses.clear(); }, result_code::change_malformed},
        };
        for (const auto &each : cases) {
            control_state state = makeState();
            auto change = makeChange("a", 1, {makeClass("revisions", 3)});
            each.spoil(change);
            const auto answer = submit(state, change);
            CPPUNIT_ASSERT_MESSAGE(each.name, answer.code == each.code);
            CPPUNIT_ASSERT_MESSAGE(each.name, !answer.message.empty());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, std::uint64_t{1},
                                         state.currentConfiguration().revision.number());
        }
    }

    // Guards against upstreams whose class no entry knows.
    void classWithUpstreamsIsNotRemoved()
    {
        control_state state = makeState();
        fleet_update update;
        update.upstreams = {makeUpstream("u", 3)};
        applyEncoded(state, {start, update});
        auto change = makeChange("a", 1, {});
        change.removeClasses = {class_name("postings")};
        CPPUNIT_ASSERT(submit(state, change).code == result_code::class_in_use);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_store_test);
