#include "samples.h"

#include "kingcuptiller/control/stop_review.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptiller;
using namespace kingcuptiller::samples;

namespace {

planned_stop makeStop(const std::string &id, stop_scope scope, const std::string &subject,
                      int from = 10, int to = 20)
{
    return {stop_id(id), scope, subject, start + std::chrono::seconds(from),
            start + std::chrono::seconds(to)};
}

} // namespace

class stop_review_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stop_review_test);
    CPPUNIT_TEST(stopsAreReviewedAgainstTheSlotsThatRemain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a planned stop that leaves too little, alone or together with others, and
    // against a review that refuses harmless ones.
    void stopsAreReviewedAgainstTheSlotsThatRemain()
    {
        struct review_case
        {
            const char *name;
            std::vector<planned_stop> earlier;
            planned_stop added;
            double demand;
            result_code code;
        };
        const auto ok = result_code::ok;
        const auto refused = result_code::stop_breaks_target;
        // Three upstreams of 10 slots: u1 in north/a, u2 and u3 in south/a; entries in both.
        const std::vector<review_case> cases = {
            {"one of three", {}, makeStop("s", stop_scope::upstream, "u1"), 16, ok},
            {"too little left", {}, makeStop("s", stop_scope::upstream, "u1"), 17, refused},
            {"region", {}, makeStop("s", stop_scope::region, "south"), 9, refused},
            {"zone", {}, makeStop("s", stop_scope::zone, "south/a"), 8, ok},
            {"other zone", {}, makeStop("s", stop_scope::zone, "south/b"), 25, ok},
            {"already short, untouched", {}, makeStop("s", stop_scope::region, "west"), 99, ok},
            {"together",
             {makeStop("r", stop_scope::upstream, "u2", 15, 30)},
             makeStop("s", stop_scope::upstream, "u1"),
             9,
             refused},
            {"one after the other",
             {makeStop("r", stop_scope::upstream, "u2", 20, 30)},
             makeStop("s", stop_scope::upstream, "u1"),
             9,
             ok},
            {"during a longer one",
             {makeStop("r", stop_scope::upstream, "u2", 1, 99)},
             makeStop("s", stop_scope::upstream, "u1"),
             9,
             refused},
            {"one entry host", {}, makeStop("s", stop_scope::host, "e1"), 1, ok},
            {"last entry host",
             {makeStop("r", stop_scope::host, "e2")},
             makeStop("s", stop_scope::host, "e1"),
             1,
             refused},
            {"everything idle",
             {makeStop("r", stop_scope::upstream, "u1"), makeStop("q", stop_scope::upstream, "u2")},
             makeStop("s", stop_scope::upstream, "u3"),
             0,
             refused},
        };
        for (const auto &each : cases) {
            control_state state = makeState();
            fleet_update update;
            update.joined = {makeEntry("e1", "i", "north"), makeEntry("e2", "i", "south")};
            update.upstreams = {makeUpstream("u1", 10, "north"), makeUpstream("u2", 10, "south"),
                                makeUpstream("u3", 10, "south")};
            state.apply({start, update});
            change_request earlier = makeChange("earlier", 1, {makeClass("other")});
            earlier.planStops = each.earlier;
            state.apply({start, change_command{earlier, ok, ""}});
            change_request change = makeChange("c", 2, {});
            change.planStops = {each.added};
            const configuration next =
                state.configurations().changed(change, start, [](const auto &) { return false; });
            const demand_table demand{
                {{host_id("e1"), incarnation_id("i")}, {{class_name("postings"), each.demand, 1}}}};
            const auto result = reviewStops(change, next, state.fleet(), demand, start);
            CPPUNIT_ASSERT_MESSAGE(each.name, result.code == each.code);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.code == ok, result.message.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_review_test);
