#include "kingcuptiller/steering/upstream_health.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <limits>
#include <string>

using namespace kingcuptiller;

namespace {

instant atMilliseconds(std::int64_t value)
{
    return instant(milliseconds(value));
}

microseconds estimate(const upstream_health &health, instant now)
{
    return health.expectedLatency(microseconds(50'000), 0, 4, now);
}

void recordAnswers(upstream_health &health, int count, microseconds latency, std::int64_t &time)
{
    for (int step = 0; step < count; ++step)
        health.recordAttempt(attempt_outcome::answered, latency, atMilliseconds(time += 10));
}

} // namespace

class upstream_health_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_health_test);
    CPPUNIT_TEST(missingDataNeverImprovesTheEstimate);
    CPPUNIT_TEST(ownObservationsOutweighWrongReports);
    CPPUNIT_TEST(invalidReportsDoNotCountAsIdle);
    CPPUNIT_TEST(fastFailuresDoNotLowerTheEstimate);
    CPPUNIT_TEST(ejectionGrowsFromFiveToSixtySeconds);
    CPPUNIT_TEST(answerResetsTheEjectionTime);
    CPPUNIT_TEST(coldUpstreamGetsAGrowingLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against treating an upstream that stopped answering or reporting as idle.
    void missingDataNeverImprovesTheEstimate()
    {
        CPPUNIT_ASSERT(rc::check("silence", [] {
            upstream_health health;
            std::int64_t time = 0;
            recordAnswers(health, *rc::gen::inRange(0, 5),
                          microseconds(*rc::gen::inRange(1000, 200'000)), time);
            if (*rc::gen::arbitrary<bool>())
                health.recordLoadReport(*rc::gen::inRange(0, 11) / 10.0, microseconds(0),
                                        atMilliseconds(time));
            microseconds before = estimate(health, atMilliseconds(time));
            double load = health.reportedLoad(atMilliseconds(time));
            for (int step = 0; step < 20; ++step) {
                time += *rc::gen::inRange(1, 10'000);
                const microseconds after = estimate(health, atMilliseconds(time));
                RC_ASSERT(after >= before);
                RC_ASSERT(health.reportedLoad(atMilliseconds(time)) >= load);
                before = after;
                load = health.reportedLoad(atMilliseconds(time));
            }
        }));
    }

    // Guards against load reports that are wrong by a factor of 5 and direct requests to the slower
    // upstream.
    void ownObservationsOutweighWrongReports()
    {
        upstream_health fast;
        upstream_health slow;
        std::int64_t time = 0;
        recordAnswers(fast, 20, microseconds(20'000), time);
        recordAnswers(slow, 20, microseconds(30'000), time);
        fast.recordLoadReport(1.0, microseconds(0), atMilliseconds(time));
        slow.recordLoadReport(0.2, microseconds(0), atMilliseconds(time));
        CPPUNIT_ASSERT(estimate(fast, atMilliseconds(time)) < estimate(slow, atMilliseconds(time)));
    }

    // Guards against an invalid load report that makes an upstream look idle.
    void invalidReportsDoNotCountAsIdle()
    {
        upstream_health health;
        CPPUNIT_ASSERT_EQUAL(1.0, health.reportedLoad(atMilliseconds(0)));
        health.recordLoadReport(std::numeric_limits<double>::quiet_NaN(), microseconds(0),
                                atMilliseconds(1));
        CPPUNIT_ASSERT_EQUAL(1.0, health.reportedLoad(atMilliseconds(1)));
        health.recordLoadReport(7, microseconds(0), atMilliseconds(2));
        CPPUNIT_ASSERT_EQUAL(1.0, health.reportedLoad(atMilliseconds(2)));
    }

    // Guards against an upstream that attracts requests because it rejects or fails them quickly.
    void fastFailuresDoNotLowerTheEstimate()
    {
        for (const attempt_outcome outcome :
             {attempt_outcome::shed, attempt_outcome::connect_refused, attempt_outcome::failed,
              attempt_outcome::timeout, attempt_outcome::cancelled, attempt_outcome::not_sent}) {
            upstream_health health;
            std::int64_t time = 0;
            recordAnswers(health, 5, microseconds(20'000), time);
            const microseconds before = estimate(health, atMilliseconds(time));
            health.recordAttempt(outcome, microseconds(10), atMilliseconds(time));
            CPPUNIT_ASSERT_MESSAGE("outcome " + std::to_string(static_cast<int>(outcome)),
                                   estimate(health, atMilliseconds(time)) >= before);
        }
    }

    // Guards against ejecting a failing upstream for too short or too long a time.
    void ejectionGrowsFromFiveToSixtySeconds()
    {
        upstream_health health;
        std::int64_t time = 0;
        for (int failure = 0; failure < 2; ++failure)
            health.recordAttempt(attempt_outcome::failed, microseconds(1), atMilliseconds(time));
        CPPUNIT_ASSERT(!health.shouldEject());
        for (const std::int64_t seconds : {5, 10, 20, 40, 60, 60}) {
            health.recordAttempt(attempt_outcome::failed, microseconds(1), atMilliseconds(time));
            CPPUNIT_ASSERT(health.shouldEject());
            health.eject(atMilliseconds(time));
            const std::string message = std::to_string(seconds) + " s";
            time += seconds * 1000;
            CPPUNIT_ASSERT_MESSAGE(message, health.ejected(atMilliseconds(time - 1)));
            CPPUNIT_ASSERT_MESSAGE(message, !health.ejected(atMilliseconds(time)));
        }
    }

    // Guards against an upstream that has recovered but is still ejected for the extended time.
    void answerResetsTheEjectionTime()
    {
        upstream_health health;
        health.eject(atMilliseconds(0));
        health.eject(atMilliseconds(0));
        health.recordAttempt(attempt_outcome::answered, microseconds(1), atMilliseconds(20'000));
        CPPUNIT_ASSERT(!health.shouldEject());
        health.eject(atMilliseconds(20'000));
        CPPUNIT_ASSERT(!health.ejected(atMilliseconds(25'000)));
    }

    // Guards against sending a newly started upstream, whose caches are empty (cold), its full
    // limit or no requests at all.
    void coldUpstreamGetsAGrowingLimit()
    {
        struct test_case
        {
            std::uint32_t limit;
            std::int64_t ageMs;
            std::uint32_t expected;
        };
        for (const test_case &each :
             {test_case{9, 0, 1}, test_case{9, 5000, 4}, test_case{9, 9999, 8},
              test_case{9, 10'000, 9}, test_case{1, 0, 1}, test_case{0, 0, 0}, test_case{9, -5, 1}})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(each.ageMs) + " ms", each.expected,
                                         warmUpLimit(each.limit, milliseconds(each.ageMs)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_health_test);
