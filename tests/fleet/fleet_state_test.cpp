#include "kingcuptiller/fleet/fleet_state.h"

#include "kingcuptiller/fleet/traffic_configuration.h"
#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace kingcuptiller;

namespace {

upstream_incarnation makeIncarnation(const std::string &id, std::int64_t startTimeMs,
                                     std::uint64_t sequence,
                                     upstream_state state = upstream_state::serving)
{
    upstream_incarnation incarnation;
    incarnation.id = upstream_id(id);
    incarnation.startTimeMs = startTimeMs;
    incarnation.sequence = sequence;
    incarnation.address = endpoint_address("10.0.0.1:80");
    incarnation.service = service_name("lookups");
    incarnation.zone = zone_name("a");
    incarnation.slots = 9;
    incarnation.state = state;
    return incarnation;
}

configure_command configure(std::uint64_t base, std::uint64_t version, const std::string &document)
{
    return {revision_number(version), revision_number(base), document};
}

traffic_configuration validConfiguration()
{
    traffic_configuration configuration;
    configuration.version = revision_number(2);
    configuration.base = revision_number(1);
    configuration.services = {{service_name("s"), 10, milliseconds(3'000), 8}};
    traffic_route route;
    route.name = "r";
    route.host = "a.example";
    route.pathPrefix = "/x/";
    route.weightedServices = {{service_name("s"), 1}};
    configuration.routes = {route};
    return configuration;
}

struct configuration_case
{
    std::string name;
    std::function<void(traffic_configuration &)> invalidate;
};

struct route_case
{
    std::string host;
    std::string path;
    std::string expectedRoute;
};

} // namespace

class fleet_state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_state_test);
    CPPUNIT_TEST(onlyOneOfTwoChangesToTheSameVersionIsAccepted);
    CPPUNIT_TEST(resentConfigurationIsAccepted);
    CPPUNIT_TEST(delayedEvacuationOrderDoesNotUndoNewerOne);
    CPPUNIT_TEST(drainingUpstreamDoesNotReturnToServingInSameIncarnation);
    CPPUNIT_TEST(overtakenHeartbeatChangesNothingButTheState);
    CPPUNIT_TEST(newIncarnationReplacesTerminatedOne);
    CPPUNIT_TEST(replacedFleetIsNotRegisteredAgainByDelayedHeartbeats);
    CPPUNIT_TEST(longLivedUpstreamIsNotForgottenWhenItEnds);
    CPPUNIT_TEST(snapshotAndCommandsRoundTripThroughJson);
    CPPUNIT_TEST(damagedSnapshotsAreRefused);
    CPPUNIT_TEST(invalidConfigurationsAreRejected);
    CPPUNIT_TEST(routeWithLongestMatchingPrefixIsFound);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reporting success to two operators who changed the same version.
    void onlyOneOfTwoChangesToTheSameVersionIsAccepted()
    {
        fleet_state state;
        CPPUNIT_ASSERT(state.apply(configure(0, 4, "first")) == result_code::ok);
        CPPUNIT_ASSERT(state.apply(configure(4, 6, "left")) == result_code::ok);
        CPPUNIT_ASSERT(state.apply(configure(4, 6, "right")) == result_code::revision_conflict);
        CPPUNIT_ASSERT(state.apply(configure(4, 9, "other")) == result_code::revision_conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("left"), state.document());
    }

    // Guards against rejecting a configuration that an operator sends again because the first
    // response was lost, including after later configurations.
    void resentConfigurationIsAccepted()
    {
        fleet_state state;
        CPPUNIT_ASSERT(state.apply(configure(0, 4, "first")) == result_code::ok);
        CPPUNIT_ASSERT(state.apply(configure(4, 5, "second")) == result_code::ok);
        CPPUNIT_ASSERT(state.apply(configure(0, 4, "first")) == result_code::ok);
        CPPUNIT_ASSERT_EQUAL(std::string("second"), state.document());
    }

    // Guards against an order that was delayed in a suspended host and undoes a newer one, also
    // after a restart from a snapshot.
    void delayedEvacuationOrderDoesNotUndoNewerOne()
    {
        const zone_name zone("a");
        fleet_state state;
        const auto order = [&](bool evacuate, std::uint64_t precedingOrders) {
            return state.apply(evacuate_command{zone, evacuate, precedingOrders});
        };
        CPPUNIT_ASSERT(order(true, 0) == result_code::ok);
        CPPUNIT_ASSERT(state.apply(evacuate_command{zone_name("b"), true, 0}) == result_code::ok);
        const std::uint64_t whenDelayed = state.evacuationOrders(zone);
        CPPUNIT_ASSERT(order(false, whenDelayed) == result_code::ok);
        // An order that changes nothing counts too.
        CPPUNIT_ASSERT(order(false, state.evacuationOrders(zone)) == result_code::ok);
        CPPUNIT_ASSERT(order(true, state.evacuationOrders(zone)) == result_code::ok);
        fleet_state restored;
        restored.restore(state.snapshot());
        state = restored;
        for (std::uint64_t preceding = 0; preceding < state.evacuationOrders(zone); ++preceding)
            CPPUNIT_ASSERT_MESSAGE(std::to_string(preceding),
                                   order(false, preceding) == result_code::revision_conflict);
        CPPUNIT_ASSERT(state.evacuated().contains(zone));
    }

    // Guards against sending requests to a draining upstream again because of a later command with
    // the state `serving`, from the same incarnation or from an earlier one.
    void drainingUpstreamDoesNotReturnToServingInSameIncarnation()
    {
        fleet_state state;
        state.apply(
            registration_command{{makeIncarnation("u", 100, 7, upstream_state::draining)}, {}, {}});
        state.apply(registration_command{{makeIncarnation("u", 100, 8)}, {}, {}});
        CPPUNIT_ASSERT(state.upstreams().at(upstream_id("u")).state == upstream_state::draining);
        state.apply(registration_command{{makeIncarnation("u", 90, 99)}, {}, {}});
        CPPUNIT_ASSERT(state.upstreams().at(upstream_id("u")).state == upstream_state::draining);
    }

    // Guards against values of an earlier heartbeat that come back because it was committed after a
    // later one.
    void overtakenHeartbeatChangesNothingButTheState()
    {
        for (const upstream_state state : {upstream_state::serving, upstream_state::draining}) {
            fleet_state fleet;
            upstream_incarnation later = makeIncarnation("u", 100, 8);
            later.coldRemaining = milliseconds(3'000);
            fleet.apply(registration_command{{later}, {}, {}});
            fleet.apply(registration_command{{makeIncarnation("u", 100, 7, state)}, {}, {}});
            upstream_incarnation expected = later;
            expected.state = state;
            CPPUNIT_ASSERT(fleet.upstreams().at(upstream_id("u")) == expected);
        }
    }

    // Guards against ignoring an upstream that was restarted with the same id.
    void newIncarnationReplacesTerminatedOne()
    {
        fleet_state state;
        state.apply(registration_command{
            {makeIncarnation("u", 100, 7, upstream_state::terminated)}, {}, {}});
        state.apply(registration_command{{makeIncarnation("u", 200, 1)}, {}, {}});
        CPPUNIT_ASSERT(state.upstreams().at(upstream_id("u")).state == upstream_state::serving);
    }

    // Guards against upstreams that have ended and are in use again: a release of a large fleet
    // ends more upstreams within seconds than a fixed number of records holds.
    void replacedFleetIsNotRegisteredAgainByDelayedHeartbeats()
    {
        constexpr std::size_t count = 1'000;
        fleet_state state;
        const auto registerAll = [&state](const std::string &prefix, std::uint64_t sequence,
                                          upstream_state upstreamState) {
            for (std::size_t i = 0; i < count; ++i)
                state.apply(registration_command{
                    {makeIncarnation(prefix + std::to_string(i), 100, sequence, upstreamState)},
                    {},
                    {}});
        };
        registerAll("old-", 1, upstream_state::serving);
        registerAll("new-", 1, upstream_state::serving);
        registerAll("old-", 2, upstream_state::terminated);
        registerAll("old-", 1, upstream_state::serving);
        for (const auto &[id, incarnation] : state.upstreams()) {
            const bool isOld = id.text().starts_with("old-");
            CPPUNIT_ASSERT_MESSAGE(
                id.text(),
                incarnation.state
                    == (isOld ? upstream_state::terminated : upstream_state::serving));
        }
    }

    // Guards against an upstream that is in use again after its end, by a delayed heartbeat,
    // because more upstreams that started later had ended before it.
    void longLivedUpstreamIsNotForgottenWhenItEnds()
    {
        constexpr int shortLived = 700;
        fleet_state state;
        const auto store = [&state](const upstream_incarnation &incarnation) {
            state.apply(registration_command{{incarnation}, {}, {}});
        };
        store(makeIncarnation("long", 100, 1));
        for (int i = 0; i < shortLived; ++i)
            store(makeIncarnation("short-" + std::to_string(i), 200 + i, 2,
                                  upstream_state::terminated));
        store(makeIncarnation("long", 100, 9, upstream_state::terminated));
        fleet_state restored;
        restored.restore(state.snapshot());
        store(makeIncarnation("next", 2'000, 2, upstream_state::terminated));
        restored.apply(registration_command{
            {makeIncarnation("next", 2'000, 2, upstream_state::terminated)}, {}, {}});
        CPPUNIT_ASSERT(restored == state);
        store(makeIncarnation("long", 100, 8));
        CPPUNIT_ASSERT(state.upstreams().at(upstream_id("long")).state
                       == upstream_state::terminated);
        CPPUNIT_ASSERT(!state.upstreams().contains(upstream_id("short-0")));
        CPPUNIT_ASSERT(state.upstreams().contains(upstream_id("short-699")));
    }

    // Guards against fields that are encoded but not decoded.
    void snapshotAndCommandsRoundTripThroughJson()
    {
        upstream_incarnation silent = makeIncarnation("u", 100, 7);
        silent.silent = true;
        silent.coldRemaining = milliseconds(1'500);
        const fleet_entry entry{endpoint_address("10.0.0.9:80"), region_name("r"), zone_name("a")};
        const std::vector<fleet_command> commands = {
            configure(0, 4, "text \"quoted\""), evacuate_command{zone_name("a"), true},
            evacuate_command{zone_name("b"), true, 0},
            registration_command{{silent}, {entry}, {endpoint_address("10.0.0.8:80")}}};
        fleet_state state;
        for (const fleet_command &command : commands) {
            CPPUNIT_ASSERT(decodeFleetCommand(encodeFleetCommand(command)) == command);
            state.apply(command);
        }
        fleet_state restored;
        restored.restore(state.snapshot());
        CPPUNIT_ASSERT(restored == state);
    }

    // Guards against a damaged snapshot that ends the process or leaves half of its state in force.
    void damagedSnapshotsAreRefused()
    {
        fleet_state state;
        state.apply(configure(0, 4, "text"));
        const std::string good = state.snapshot();
        const auto replaced = [&good](const std::string &from, const std::string &to) {
            std::string text = good;
            const std::size_t position = text.find(from);
            CPPUNIT_ASSERT_MESSAGE(from, position != std::string::npos);
            return text.replace(position, from.size(), to);
        };
        const std::vector<std::string> snapshots = {
            "",
            good.substr(0, good.size() / 2),
            replaced("\"accepted\":{\"4\"", "\"accepted\":{\"four\""),
            replaced("\"accepted\":{\"4\"", "\"accepted\":{\"\""),
            replaced("\"accepted\":{\"4\"", "\"accepted\":{\"99999999999999999999999\""),
            replaced("\"accepted\":{", "\"accepted\":[],\"x\":{"),
            replaced("\"upstreams\":[]", "\"upstreams\":[1]"),
            replaced("\"evacuationOrders\":{}", "\"evacuationOrders\":[]"),
            replaced("\"evacuationOrders\":{}", "\"evacuationOrders\":{\"a\":-1}"),
            replaced("\"upstreams\":[]", "\"upstreams\":" + std::string(100'000, '[')),
        };
        for (const std::string &each : snapshots) {
            fleet_state restored = state;
            CPPUNIT_ASSERT_THROW_MESSAGE(each.substr(0, 200), restored.restore(each), error);
            CPPUNIT_ASSERT(restored == state);
        }
    }

    // Guards against accepting a configuration that contradicts itself or has values out of range.
    void invalidConfigurationsAreRejected()
    {
        checkConfiguration(validConfiguration());
        const std::vector<configuration_case> cases = {
            {"unknown service",
             [](auto &value) {
                 value.routes[0].weightedServices[0].service = service_name("other");
             }},
            {"two routes with the same host and prefix",
             [](auto &value) { value.routes.push_back(value.routes[0]); }},
            {"two routes whose hosts differ only in case",
             [](auto &value) {
                 value.routes.push_back(value.routes[0]);
                 value.routes[1].host = "A.example";
             }},
            {"timeout above the maximum",
             [](auto &value) { value.routes[0].timeout = milliseconds(600'001); }},
            {"latency target 60 s above the timeout",
             [](auto &value) {
                 value.routes[0].latencyTarget = value.routes[0].timeout + milliseconds(60'000);
             }},
            {"version equal to the base version", [](auto &value) { value.version = value.base; }},
            {"no positive weight",
             [](auto &value) { value.routes[0].weightedServices[0].weight = 0; }},
            {"path prefix without a trailing slash",
             [](auto &value) { value.routes[0].pathPrefix = "/x"; }},
        };
        for (const configuration_case &each : cases) {
            traffic_configuration configuration = validConfiguration();
            each.invalidate(configuration);
            CPPUNIT_ASSERT_THROW_MESSAGE(each.name, checkConfiguration(configuration), error);
        }
    }

    // Guards against using the route with a shorter matching prefix, or a route of another host.
    void routeWithLongestMatchingPrefixIsFound()
    {
        traffic_configuration configuration = validConfiguration();
        traffic_route inner = configuration.routes[0];
        inner.name = "inner";
        inner.pathPrefix = "/x/y/";
        configuration.routes.push_back(inner);
        const route_table table(configuration);
        const std::vector<route_case> cases = {{"a.example", "/x/1", "r"},
                                               {"a.example", "/x/y/1", "inner"},
                                               {"A.EXAMPLE:80", "/x/y/", "inner"},
                                               {"a.example", "/x/yy", "r"},
                                               {"a.example", "/x", ""},
                                               {"b.example", "/x/1", ""}};
        for (const route_case &each : cases) {
            const traffic_route *const found = table.find(each.host, each.path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.host + each.path, each.expectedRoute,
                                         found == nullptr ? std::string() : found->name);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_state_test);
