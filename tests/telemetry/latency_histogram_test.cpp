#include "kingcuptiller/telemetry/latency_histogram.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

struct bucket_case
{
    std::string line;
};

} // namespace

class latency_histogram_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(latency_histogram_test);
    CPPUNIT_TEST(bucketsAreCumulative);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against latencies that fall between buckets or into one only.
    void bucketsAreCumulative()
    {
        counter_registry registry;
        latency_histogram answers(registry, "answer", {{"service", "s"}});
        for (const int elapsed : {0, 10, 11, 700, 9'000})
            answers.record(milliseconds(elapsed));
        const std::string text = registry.text();
        const std::vector<bucket_case> cases = {
            {"answer_ms_bucket{le=\"10\",service=\"s\"} 2\n"},
            {"answer_ms_bucket{le=\"50\",service=\"s\"} 3\n"},
            {"answer_ms_bucket{le=\"750\",service=\"s\"} 4\n"},
            {"answer_ms_bucket{le=\"8000\",service=\"s\"} 4\n"},
            {"answer_ms_bucket{le=\"+Inf\",service=\"s\"} 5\n"},
            {"answer_ms_count{service=\"s\"} 5\n"},
            {"answer_ms_sum{service=\"s\"} 9721\n"},
        };
        for (const bucket_case &each : cases)
            CPPUNIT_ASSERT_MESSAGE(std::string(each.line).append("in\n").append(text),
                                   text.find(each.line) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(latency_histogram_test);
