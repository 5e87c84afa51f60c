#include "kingcuptiller/relay/upstream_choice.h"
#include "tests/relay/one_region.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

const service_name lookups("lookups");
const std::string routeKey = "a.example/reads/";

traffic_route makeRoute(const std::string &name, const std::string &host, const std::string &prefix,
                        const service_name &service)
{
    traffic_route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.weightedServices = {{service, 1}};
    return route;
}

// A configuration with one route, to `service`.
route_table routesTo(const service_name &service)
{
    traffic_configuration configuration;
    configuration.services = {{service, 390, milliseconds(0), 0}};
    configuration.routes = {makeRoute("reads", "a.example", "/reads/", service)};
    return route_table(configuration);
}

fleet_view viewWith(const std::vector<std::string> &upstreams)
{
    fleet_view view;
    for (const std::string &id : upstreams)
        view.upstreams.push_back(makeUpstream(id, lookups, 1));
    return view;
}

struct key_case
{
    std::string name;
    traffic_route one;
    traffic_route other;
    bool isSame = false;
};

const std::vector<key_case> keyCases = {
    {"the same route to another service", makeRoute("x", "a.example", "/1/", service_name("s")),
     makeRoute("x", "a.example", "/1/", service_name("t")), true},
    {"another name", makeRoute("x", "a.example", "/1/", lookups),
     makeRoute("y", "a.example", "/1/", lookups), true},
    {"another case and a port", makeRoute("x", "a.example", "/1/", lookups),
     makeRoute("x", "A.Example:80", "/1/", lookups), true},
    {"a name used again for another prefix", makeRoute("x", "a.example", "/1/", lookups),
     makeRoute("x", "a.example", "/2/", lookups), false},
    {"a name used again for another host", makeRoute("x", "a.example", "/1/", lookups),
     makeRoute("x", "b.example", "/1/", lookups), false},
};

} // namespace

class changed_configuration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(changed_configuration_test);
    CPPUNIT_TEST(routeIsKnownByItsRequestsNotByItsName);
    CPPUNIT_TEST(serviceThatReturnsWithOtherUpstreamsIsLearntAnew);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against estimates for a name that are used for other requests under that name.
    void routeIsKnownByItsRequestsNotByItsName()
    {
        for (const key_case &each : keyCases)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.isSame,
                                         each.one.key() == each.other.key());
    }

    // Guards against times of earlier upstreams that decide about later ones.
    void serviceThatReturnsWithOtherUpstreamsIsLearntAnew()
    {
        instant now{std::chrono::seconds(100)};
        upstream_choice choices(oneRegionSettings());
        const upstream_choice_request request{
            lookups, "", {}, milliseconds(600), milliseconds(60'000), {}, std::nullopt, routeKey};
        const auto expectedTime = [&] {
            choice_failure reason;
            const auto chosen = choices.choose(request, now, reason);
            CPPUNIT_ASSERT(chosen);
            return chosen->expectedTime;
        };
        choices.update(viewWith({"u"}), routesTo(lookups), now);
        const milliseconds assumed = expectedTime();
        for (int i = 0; i < 20; ++i) {
            const auto attempt = choices.attemptStarted(upstream_id("u"), "", now, routeKey);
            now += std::chrono::seconds(30);
            choices.attemptFinished(upstream_id("u"), attempt, upstream_attempt_outcome::answered,
                                    std::chrono::seconds(30), std::nullopt, now);
        }
        CPPUNIT_ASSERT(expectedTime() > 10 * assumed);
        choices.update(viewWith({}), routesTo(service_name("elsewhere")), now);
        choices.update(viewWith({"w"}), routesTo(lookups), now);
        CPPUNIT_ASSERT_EQUAL(assumed.count(), expectedTime().count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(changed_configuration_test);
