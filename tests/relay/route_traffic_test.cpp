#include "kingcuptiller/relay/route_traffic.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <random>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

const instant start{std::chrono::seconds(100)};

// The traffic of one entry for `seconds`, in which requests refer to random objects.
route_traffic trafficOf(int objects, int perSecond, int seconds, std::size_t bytes)
{
    route_traffic traffic;
    std::mt19937 random(42);
    std::uniform_int_distribution<int> any(1, objects);
    for (int request = 0; request < perSecond * seconds; ++request) {
        const instant now = start + std::chrono::milliseconds(1'000 * request / perSecond);
        traffic.recordRequest(fmt::format("object-{}", any(random)), now);
        traffic.recordBytes(bytes);
    }
    return traffic;
}

} // namespace

class route_traffic_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_traffic_test);
    CPPUNIT_TEST(objectsAreEstimatedFromRepetitions);
    CPPUNIT_TEST(numberOfObjectsIsUnknownWithoutRepetitions);
    CPPUNIT_TEST(scopeFollowsCachesAndBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against taking the few objects that one of many entries has seen for all objects.
    void objectsAreEstimatedFromRepetitions()
    {
        struct row
        {
            int objects;
            int perSecond;
        };
        for (const row &each : std::vector<row>{{40, 10}, {300, 25}, {670, 50}}) {
            const route_traffic traffic = trafficOf(each.objects, each.perSecond, 18, 1'000);
            const auto count = traffic.objectCount();
            CPPUNIT_ASSERT(count);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(each.objects, *count, 0.2 * each.objects);
        }
    }

    void numberOfObjectsIsUnknownWithoutRepetitions()
    {
        CPPUNIT_ASSERT(!route_traffic().objectCount());
        CPPUNIT_ASSERT(!route_traffic().kibPerRequest());
        CPPUNIT_ASSERT(!trafficOf(100'000, 40, 5, 1'000).objectCount());
        CPPUNIT_ASSERT(!trafficOf(5, 1, 10, 1'000).objectCount());
    }

    // Guards against caches that overflow because each zone keeps all objects, and against large
    // responses that cross zones although the caches of each zone could hold all objects.
    void scopeFollowsCachesAndBytes()
    {
        struct row
        {
            std::string name;
            std::size_t bytes;
            double upstreamsInZone;
            double upstreamsInRegion;
            placement_scope present;
            placement_scope expected;
        };
        const std::vector<row> rows = {
            {"large responses", 90'000, 20, 60, placement_scope::region, placement_scope::zone},
            {"small responses", 500, 20, 60, placement_scope::region, placement_scope::region},
            {"small caches", 90'000, 3, 9, placement_scope::zone, placement_scope::region},
            {"no upstream in the zone", 90'000, 0, 9, placement_scope::zone,
             placement_scope::region},
            {"one zone", 90'000, 20, 20, placement_scope::region, placement_scope::region},
        };
        const instant now = start + std::chrono::seconds(18);
        for (const row &each : rows) {
            const route_traffic traffic = trafficOf(200, 20, 18, each.bytes);
            placement_surroundings surroundings;
            surroundings.entriesInZone = 4;
            surroundings.upstreamsInZone = each.upstreamsInZone;
            surroundings.upstreamsInRegion = each.upstreamsInRegion;
            surroundings.cachedObjects = 24;
            surroundings.crossZoneCostPerKib = 0.06;
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   choosePlacementScope(traffic, surroundings, each.present, now)
                                       == each.expected);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_traffic_test);
