#include "kingcuptiller/relay/region_flows.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace kingcuptiller;

class region_flows_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(region_flows_test);
    CPPUNIT_TEST(countsAreReportedOncePerInterval);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against counts that are reported again in the next interval, and retries that are
    // counted as first attempts.
    void countsAreReportedOncePerInterval()
    {
        counter_registry registry;
        region_flows flows(registry);
        const service_name lookups("lookups");
        const region_name home("home");
        const region_name far("far");
        flows.sent(lookups, home, false);
        flows.sent(lookups, home, true);
        flows.sent(lookups, far, false);
        const std::vector<region_request_counts> expected = {{lookups, far, 1, 0},
                                                             {lookups, home, 1, 1}};
        CPPUNIT_ASSERT(flows.take() == expected);
        CPPUNIT_ASSERT(flows.take().empty());
        const std::string line = "kct_relay_sendings{region=\"home\",service=\"lookups\"} 2\n";
        CPPUNIT_ASSERT(registry.text().find(line) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(region_flows_test);
