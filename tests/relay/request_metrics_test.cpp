#include "kingcuptiller/relay/request_metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace kingcuptiller;

class request_metrics_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_metrics_test);
    CPPUNIT_TEST(requestsAreCountedByOutcomeAndService);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against counting refusals as answered requests, and against counters shared by several
    // services.
    void requestsAreCountedByOutcomeAndService()
    {
        counter_registry registry;
        request_metrics metrics(registry);
        metrics.recordRequestEnd(service_name("a"), "answered", "", milliseconds(40));
        metrics.recordRequestEnd(service_name("a"), "answered", "", milliseconds(400));
        metrics.recordRequestEnd(service_name("a"), "refused", "all_busy", milliseconds(1));
        metrics.recordRequestEnd(service_name("a"), "refused", "no_upstream", milliseconds(1));
        metrics.recordRequestEnd(service_name("b"), "answered", "", milliseconds(5));
        const std::string text = registry.text();
        const std::vector<std::string> lines = {
            "kct_relay_requests{outcome=\"answered\",reason=\"\",service=\"a\"} 2\n",
            "kct_relay_requests{outcome=\"refused\",reason=\"all_busy\",service=\"a\"} 1\n",
            "kct_relay_requests{outcome=\"refused\",reason=\"no_upstream\",service=\"a\"} 1\n",
            "kct_relay_requests{outcome=\"answered\",reason=\"\",service=\"b\"} 1\n",
            "kct_relay_answer_ms_count{service=\"a\"} 2\n",
            "kct_relay_answer_ms_sum{service=\"a\"} 440\n",
        };
        for (const std::string &line : lines)
            CPPUNIT_ASSERT_MESSAGE(std::string(line).append("in\n").append(text),
                                   text.find(line) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_metrics_test);
