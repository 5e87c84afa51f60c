#include "kingcuptiller/node/shutdown_plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

// By the users' pages: clients hold an address for up to this many times its lifetime.
constexpr int heldLifetimes = 3;

struct plan_case
{
    milliseconds shutdownLimit{0};
    milliseconds configuredLifetime{0};
    // Whether the configured lifetime is short enough for this limit.
    bool keepsLifetime = false;
};

const std::vector<plan_case> planCases = {
    {milliseconds(4'000), milliseconds(2'000), false},
    {milliseconds(6'000), milliseconds(2'000), false},
    {milliseconds(6'000), milliseconds(1'000), true},
    {milliseconds(10'000), milliseconds(2'000), true},
    {milliseconds(10'000), milliseconds(5'000), false},
    {milliseconds(60'000), milliseconds(5'000), true},
    {milliseconds(600'000), milliseconds(600'000), false},
};

std::string nameOf(const plan_case &each)
{
    return std::to_string(each.shutdownLimit.count()) + " ms, lifetime "
        + std::to_string(each.configuredLifetime.count()) + " ms";
}

} // namespace

class shutdown_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shutdown_plan_test);
    CPPUNIT_TEST(addressesExpireBeforeTheProcessEnds);
    CPPUNIT_TEST(processEndsBeforeItIsKilled);
    CPPUNIT_TEST(slowDeliveriesHaveTheirTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against clients that hold the address of an entry that has ended.
    void addressesExpireBeforeTheProcessEnds()
    {
        const instant now(std::chrono::hours(1));
        for (const plan_case &each : planCases) {
            const milliseconds lifetime =
                limitAddressLifetime(each.configuredLifetime, each.shutdownLimit);
            const shutdown_plan plan = planShutdown(now, each.shutdownLimit, lifetime);
            CPPUNIT_ASSERT_MESSAGE(nameOf(each),
                                   each.keepsLifetime == (lifetime == each.configuredLifetime));
            CPPUNIT_ASSERT_MESSAGE(nameOf(each), lifetime <= each.configuredLifetime);
            CPPUNIT_ASSERT_MESSAGE(nameOf(each),
                                   now + heldLifetimes * lifetime < plan.addressExpiry);
            CPPUNIT_ASSERT_MESSAGE(nameOf(each), plan.addressExpiry <= plan.processEnd);
        }
    }

    // Guards against a process that is killed before it has written its last responses.
    void processEndsBeforeItIsKilled()
    {
        const instant now(std::chrono::hours(1));
        for (int limitMs = 500; limitMs <= 600'000; limitMs = limitMs * 5 / 4) {
            const milliseconds limit(limitMs);
            const shutdown_plan plan =
                planShutdown(now, limit, limitAddressLifetime(milliseconds(2'000), limit));
            const std::string name = std::to_string(limitMs) + " ms";
            CPPUNIT_ASSERT_MESSAGE(name, now < plan.addressExpiry);
            CPPUNIT_ASSERT_MESSAGE(name, now < plan.lastResponse);
            CPPUNIT_ASSERT_MESSAGE(name, plan.lastResponse < plan.processEnd);
            CPPUNIT_ASSERT_MESSAGE(name, plan.processEnd < now + limit);
        }
    }

    // Guards against responses that clients are still reading when the process ends, and against
    // one slow client for which all others are rejected.
    void slowDeliveriesHaveTheirTime()
    {
        const instant now(std::chrono::hours(1));
        const auto timeForDelivery = [now](milliseconds delivery) {
            const shutdown_plan plan =
                planShutdown(now, milliseconds(8'000), milliseconds(2'000), delivery);
            return std::chrono::duration_cast<milliseconds>(plan.processEnd - plan.lastResponse);
        };
        const milliseconds usual = timeForDelivery(milliseconds(0));
        CPPUNIT_ASSERT(timeForDelivery(milliseconds(1)) == usual);
        CPPUNIT_ASSERT(timeForDelivery(milliseconds(1'200)) == milliseconds(1'200));
        CPPUNIT_ASSERT(timeForDelivery(milliseconds(10'000)) == milliseconds(2'000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_plan_test);
