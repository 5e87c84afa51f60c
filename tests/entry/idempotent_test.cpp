#include "tests/entry/coordinator_harness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptiller;

namespace {

// Runs look-ups that take 10 ms each, so that the class has a 95th percentile and budgets for
// retries and hedges.
void warmUp(coordinator_harness &harness, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        harness.request("lookup", "warm-" + std::to_string(i));
        harness.advance(milliseconds(10));
        harness.finish(i, harness.answerTo(i));
    }
}

} // namespace

class idempotent_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(idempotent_test);
    CPPUNIT_TEST(lookupsNeedNoClaimAndArePooled);
    CPPUNIT_TEST(failedAttemptIsRetriedElsewhereWithinTheBudget);
    CPPUNIT_TEST(spentBudgetTellsTheLastFailure);
    CPPUNIT_TEST(hedgeWinnerAnswersOnceAndTheLoserIsCancelled);
    CPPUNIT_TEST(deadlineEndsTheRequestAndFreesTheSlot);
    CPPUNIT_TEST(queuedRequestIsSentWhenASlotIsFree);
    CPPUNIT_TEST(queuedRequestIsRefusedAtItsDeadline);
    CPPUNIT_TEST(queuedRequestIsNotSentAfterTheLease);
    CPPUNIT_TEST(refusedRetryDoesNotHideAnAttemptThatMayHaveRun);
    CPPUNIT_TEST(crossedAnswerReachesNobody);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against look-ups that pay for a claim or for a connection.
    void lookupsNeedNoClaimAndArePooled()
    {
        coordinator_harness harness;
        harness.request("lookup", "");
        CPPUNIT_ASSERT(harness.claims.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.sent.size());
        CPPUNIT_ASSERT(!harness.sent[0].request.freshConnection);
        harness.finish(0, harness.answerTo(0));
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), harness.told());
        CPPUNIT_ASSERT(harness.settlements.empty());
    }

    // Guards against a client that sees the failure of one upstream although another would answer.
    void failedAttemptIsRetriedElsewhereWithinTheBudget()
    {
        coordinator_harness harness;
        warmUp(harness, 50);
        harness.request("lookup");
        harness.fail(50, forward_outcome::cut_short);
        CPPUNIT_ASSERT_EQUAL(std::size_t(52), harness.sent.size());
        harness.finish(51, harness.answerTo(51));
        CPPUNIT_ASSERT_EQUAL(std::size_t(51), harness.answers.size());
        CPPUNIT_ASSERT(harness.answers.back().code == result_code::ok);
    }

    // Guards against "not run" for a look-up that may have run, and against endless retries.
    void spentBudgetTellsTheLastFailure()
    {
        for (const bool sentBefore : {true, false}) {
            coordinator_harness harness;
            harness.request("lookup");
            std::size_t tries = 0;
            while (tries < harness.sent.size() && tries < 100)
                harness.fail(tries++,
                             sentBefore ? forward_outcome::cut_short
                                        : forward_outcome::not_connected);
            CPPUNIT_ASSERT(tries < 100);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.answers.size());
            CPPUNIT_ASSERT_EQUAL(std::string(sentBefore ? "outcome_unknown" : "not_run"),
                                 outcomeName(harness.answers[0].code));
        }
    }

    // Guards against two answers to one client, and against a loser that keeps its upstream busy.
    void hedgeWinnerAnswersOnceAndTheLoserIsCancelled()
    {
        coordinator_harness harness;
        warmUp(harness, 200);
        harness.request("lookup");
        for (int i = 0; i < 20 && harness.sent.size() == 201; ++i)
            harness.advance(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(202), harness.sent.size());
        harness.finish(201, harness.answerTo(201, "ran", "hedge"));
        CPPUNIT_ASSERT(*harness.sent[200].cancelled);
        harness.finish(200, harness.answerTo(200, "ran", "first"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(201), harness.answers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("hedge"), harness.answers.back().answer.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.coordinator->open());
    }

    // Guards against a client that waits past its deadline and a slot that is never freed.
    void deadlineEndsTheRequestAndFreesTheSlot()
    {
        coordinator_harness harness;
        harness.request("lookup");
        harness.advance(milliseconds(999));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), harness.told());
        harness.advance(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("upstream_timeout"), harness.told());
        CPPUNIT_ASSERT(*harness.sent[0].cancelled);
        harness.fail(0, forward_outcome::cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.coordinator->open());
        for (const upstream_usage &each : harness.coordinator->report().usage)
            CPPUNIT_ASSERT_EQUAL(0U, each.inFlight);
    }

    // Guards against a queue that is not emptied when slots become free.
    void queuedRequestIsSentWhenASlotIsFree()
    {
        coordinator_harness harness;
        for (int i = 0; i < 19; ++i)
            harness.request("lookup", "key-" + std::to_string(i));
        CPPUNIT_ASSERT_EQUAL(std::size_t(18), harness.sent.size());
        CPPUNIT_ASSERT(harness.answers.empty());
        harness.finish(0, harness.answerTo(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(19), harness.sent.size());
    }

    // Guards against a queued request that is forgotten.
    void queuedRequestIsRefusedAtItsDeadline()
    {
        coordinator_harness harness;
        for (int i = 0; i < 19; ++i)
            harness.request("lookup", "key-" + std::to_string(i));
        for (int i = 0; i < 100; ++i)
            harness.advance(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(19), harness.answers.size());
        std::size_t notRun = 0;
        for (const work_answer &each : harness.answers)
            notRun += outcomeName(each.code) == "not_run" ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), notRun);
    }

    // Guards against an entry that sends without a lease what it queued under it: its slots may be
    // in use by other entries, and its configuration may be outdated (I8).
    void queuedRequestIsNotSentAfterTheLease()
    {
        coordinator_harness harness;
        harness.advance(milliseconds(2400));
        for (int i = 0; i < 19; ++i)
            harness.request("lookup", "key-" + std::to_string(i));
        CPPUNIT_ASSERT_EQUAL(std::size_t(18), harness.sent.size());
        harness.advance(milliseconds(100));
        harness.finish(0, harness.answerTo(0));
        harness.advance(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(18), harness.sent.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.answers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("entry_without_lease"),
                             std::string(name(harness.answers[1].code)));
        for (std::size_t i = 1; i < 18; ++i)
            harness.finish(i, harness.answerTo(i));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.coordinator->open());
    }

    // Guards against "not run" for a look-up whose first attempt may have run, because its last one
    // was refused (I4).
    void refusedRetryDoesNotHideAnAttemptThatMayHaveRun()
    {
        coordinator_harness harness;
        warmUp(harness, 50);
        harness.request("lookup");
        std::size_t tries = 50;
        harness.fail(tries++, forward_outcome::cut_short);
        while (tries < harness.sent.size())
            harness.fail(tries++, forward_outcome::not_connected);
        CPPUNIT_ASSERT_EQUAL(std::size_t(51), harness.answers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"),
                             outcomeName(harness.answers.back().code));
    }

    // Guards against the answer to another request reaching this client.
    void crossedAnswerReachesNobody()
    {
        coordinator_harness harness;
        harness.request("lookup", "key-1");
        harness.request("lookup", "key-2");
        harness.finish(0, harness.answerTo(1, "ran", "for key-2"));
        harness.finish(1, harness.answerTo(0, "ran", "for key-1"));
        for (const work_answer &each : harness.answers)
            CPPUNIT_ASSERT(each.code != result_code::ok);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(idempotent_test);
