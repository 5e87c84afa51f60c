#include "tests/entry/coordinator_harness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptiller;

namespace {

struct outcome_case
{
    std::string name;
    std::function<forward_result(const coordinator_harness &)> end;
    std::string expected;
    bool released;
};

forward_result ended(forward_outcome outcome)
{
    return {.outcome = outcome, .answer = {}, .reason = "played"};
}

forward_result withHeader(forward_result result, const std::string &name, const std::string &value)
{
    result.answer.headers[name] = value;
    return result;
}

std::vector<outcome_case> outcomeCases()
{
    using harness = coordinator_harness;
    return {
        {"ran", [](const harness &h) { return h.answerTo(0); }, "ok", false},
        {"cut short", [](const harness &) { return ended(forward_outcome::cut_short); },
         "answer_incomplete", false},
        {"too large", [](const harness &) { return ended(forward_outcome::too_large); },
         "answer_too_large", false},
        {"timed out", [](const harness &) { return ended(forward_outcome::timed_out); },
         "upstream_timeout", false},
        {"another key",
         [](const harness &h) { return withHeader(h.answerTo(0), "Kct-Request-Key", "key-2"); },
         "answer_mismatched", false},
        {"another attempt",
         [](const harness &h) { return withHeader(h.answerTo(0), "Kct-Attempt", "attempt-9"); },
         "answer_mismatched", false},
        {"no result",
         [](const harness &h) { return withHeader(h.answerTo(0), "Kct-Upstream-Result", ""); },
         "answer_mismatched", false},
        {"shed for another attempt",
         [](const harness &h) {
             return withHeader(h.answerTo(0, "shed"), "Kct-Attempt", "attempt-9");
         },
         "answer_mismatched", false},
        {"shed", [](const harness &h) { return h.answerTo(0, "shed"); }, "none", true},
        {"not connected", [](const harness &) { return ended(forward_outcome::not_connected); },
         "none", true},
    };
}

} // namespace

class once_only_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(once_only_test);
    CPPUNIT_TEST(nothingIsSentBeforeTheClaimIsGranted);
    CPPUNIT_TEST(eachEndOfAnAttemptIsToldAsWhatItProves);
    CPPUNIT_TEST(frozenEntrySendsNothingAndReleases);
    CPPUNIT_TEST(oldClaimIsNotUsed);
    CPPUNIT_TEST(lostClaimAnswerIsFencedBeforeTheRefusal);
    CPPUNIT_TEST(claimThatStaysUnansweredIsGivenUp);
    CPPUNIT_TEST(crossedClaimAnswerGrantsNothing);
    CPPUNIT_TEST(repeatedClaimAnswerSendsOnce);
    CPPUNIT_TEST(uncommittedReleaseLeavesTheOutcomeOpen);
    CPPUNIT_TEST(shedRequestIsTriedAgainWithANewAttempt);
    CPPUNIT_TEST(lateAnswerIsRecordedAndReachesNobody);
    CPPUNIT_TEST(refusalsOfTheLedgerReachTheClient);
    CPPUNIT_TEST(recordedAnswerReachesTheClient);
    CPPUNIT_TEST(keyAndIssueTimeAreNeeded);
    CPPUNIT_TEST(repeatedAnswerIsIgnored);
    CPPUNIT_TEST(refusalOfAKeyThatMayHaveRunIsNotToldAsNotRun);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against work that runs without a record of it.
    void nothingIsSentBeforeTheClaimIsGranted()
    {
        coordinator_harness harness;
        harness.request("posting");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.claims.size());
        CPPUNIT_ASSERT(harness.sent.empty());
        harness.grant(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.sent.size());
        CPPUNIT_ASSERT(harness.sent[0].request.freshConnection);
        CPPUNIT_ASSERT_EQUAL(harness.claims[0].wanted.attempt.text(),
                             headerValue(harness.sent[0].request.message.headers, "Kct-Attempt"));
    }

    // Guards against "not run" for work that may have run (cut short, crossed, oversized, late),
    // and against trusting "shed" of another attempt. A release is asked for only with proof.
    void eachEndOfAnAttemptIsToldAsWhatItProves()
    {
        for (const outcome_case &each : outcomeCases()) {
            coordinator_harness harness;
            harness.request("posting");
            harness.grant(0);
            harness.finish(0, each.end(harness));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.expected, harness.told());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.released,
                                         harness.settled(settlement_kind::released).size() == 1);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.expected == "ok",
                                         harness.settled(settlement_kind::completed).size() == 1);
        }
    }

    // Guards against an entry that resumes after its lease has run out and sends.
    void frozenEntrySendsNothingAndReleases()
    {
        coordinator_harness harness;
        harness.freeze(milliseconds(2400));
        harness.request("posting");
        harness.freeze(milliseconds(150));
        harness.grant(0);
        CPPUNIT_ASSERT(harness.sent.empty());
        CPPUNIT_ASSERT(harness.settled(settlement_kind::released)
                       == std::vector{harness.claims[0].wanted.attempt});
        CPPUNIT_ASSERT_EQUAL(std::string("none"), harness.told());
        harness.settlements[0].done(true);
        CPPUNIT_ASSERT_EQUAL(std::string("entry_without_lease"), harness.told());
    }

    // Guards against the use of a claim that control may no longer hold for this entry.
    void oldClaimIsNotUsed()
    {
        for (const bool old : {false, true}) {
            coordinator_harness harness;
            // Lease and deadline are still good after 2 s.
            harness.request("posting", "key-1", milliseconds(5000));
            harness.freeze(milliseconds(old ? 2000 : 1999));
            harness.grant(0);
            CPPUNIT_ASSERT_EQUAL(old, harness.sent.empty());
            CPPUNIT_ASSERT_EQUAL(old, !harness.settled(settlement_kind::released).empty());
        }
    }

    // Guards against "not run" while a claim that may be committed would make a resent request's
    // outcome unknown.
    void lostClaimAnswerIsFencedBeforeTheRefusal()
    {
        coordinator_harness harness;
        harness.request("posting");
        harness.claims[0].done(std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), harness.told());
        harness.settlements.at(0).done(true);
        CPPUNIT_ASSERT_EQUAL(std::string("claim_not_committed"), harness.told());
        CPPUNIT_ASSERT(harness.sent.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.coordinator->open());
    }

    // Guards against a client that hears nothing until its deadline, and against a late grant that
    // is used although the attempt's release is on its way.
    void claimThatStaysUnansweredIsGivenUp()
    {
        coordinator_harness harness;
        harness.request("posting");
        harness.advance(milliseconds(749));
        CPPUNIT_ASSERT(harness.settlements.empty());
        harness.advance(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.settled(settlement_kind::released).size());
        harness.grant(0);
        CPPUNIT_ASSERT(harness.sent.empty());
        harness.settlements[0].done(true);
        CPPUNIT_ASSERT_EQUAL(std::string("claim_not_committed"), harness.told());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.settlements.size());
    }

    // Guards against the grant of another request being used for this one.
    void crossedClaimAnswerGrantsNothing()
    {
        coordinator_harness harness;
        harness.request("posting");
        harness.claims[0].done(claim_answer{
            .attempt = attempt_id("attempt-9"), .code = result_code::ok, .answer = {}});
        CPPUNIT_ASSERT(harness.sent.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.settled(settlement_kind::released).size());
    }

    // Guards against a claim that is used twice.
    void repeatedClaimAnswerSendsOnce()
    {
        coordinator_harness harness;
        harness.request("posting");
        harness.grant(0);
        harness.grant(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.sent.size());
        harness.finish(0, harness.answerTo(0));
        harness.grant(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.sent.size());
    }

    // Guards against a refusal that is contradicted by the ledger.
    void uncommittedReleaseLeavesTheOutcomeOpen()
    {
        for (const bool deadlineFirst : {false, true}) {
            coordinator_harness harness;
            harness.request("posting");
            harness.grant(0);
            harness.fail(0, forward_outcome::not_connected);
            if (deadlineFirst)
                harness.advance(milliseconds(1000));
            harness.settlements.at(0).done(deadlineFirst);
            CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"), harness.told());
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.coordinator->open());
        }
    }

    // Guards against sending one attempt twice, and against a retry before the release is
    // committed.
    void shedRequestIsTriedAgainWithANewAttempt()
    {
        coordinator_harness harness;
        // Fills the retry budget, which is a share of the requests.
        for (std::size_t i = 0; i < 50; ++i) {
            harness.request("posting", "other-" + std::to_string(i));
            harness.grant(i);
            harness.finish(i, harness.answerTo(i));
        }
        harness.request("posting");
        harness.grant(50);
        harness.finish(50, harness.answerTo(50, "shed"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(51), harness.claims.size());
        harness.settlements.back().done(true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(52), harness.claims.size());
        CPPUNIT_ASSERT(harness.claims[50].wanted.attempt != harness.claims[51].wanted.attempt);
        CPPUNIT_ASSERT(harness.claims[50].wanted.key == harness.claims[51].wanted.key);
        harness.grant(51);
        harness.finish(51, harness.answerTo(51));
        CPPUNIT_ASSERT_EQUAL(std::size_t(51), harness.answers.size());
        CPPUNIT_ASSERT(harness.answers.back().code == result_code::ok);
    }

    // Guards against an answer that arrives after its deadline and reaches another request, and
    // against losing it for a resent one.
    void lateAnswerIsRecordedAndReachesNobody()
    {
        coordinator_harness harness;
        harness.request("posting");
        harness.grant(0);
        harness.advance(milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::string("upstream_timeout"), harness.told());
        harness.finish(0, harness.answerTo(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.answers.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.settled(settlement_kind::completed).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.coordinator->open());
    }

    // Guards against sending what the ledger refused, such as a resend while the first is running.
    void refusalsOfTheLedgerReachTheClient()
    {
        for (const result_code code : {result_code::request_in_progress, result_code::key_conflict,
                                       result_code::key_expired, result_code::issue_time_ahead,
                                       result_code::ledger_full, result_code::outcome_unknown}) {
            coordinator_harness harness;
            harness.request("posting");
            harness.answerClaim(0, code);
            CPPUNIT_ASSERT_EQUAL(std::string(name(code)), harness.told());
            CPPUNIT_ASSERT(harness.sent.empty());
            CPPUNIT_ASSERT(harness.settlements.empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.coordinator->open());
        }
    }

    // Guards against a resent request that gets no answer although one is recorded.
    void recordedAnswerReachesTheClient()
    {
        coordinator_harness harness;
        harness.request("posting");
        harness.answerClaim(
            0, result_code::already_run,
            recorded_answer{
                .status = 201, .contentType = "text/plain", .body = "first", .bodyDropped = false});
        CPPUNIT_ASSERT_EQUAL(std::string("already_run"), harness.told());
        const http_answer answer = toHttpAnswer(harness.answers[0], host_id("entry-1"));
        CPPUNIT_ASSERT_EQUAL(201, static_cast<int>(answer.status));
        CPPUNIT_ASSERT_EQUAL(std::string("first"), answer.body);
        CPPUNIT_ASSERT_EQUAL(std::string("already_run"),
                             headerValue(answer.headers, "Kct-Outcome"));
    }

    // Guards against non-idempotent work that cannot be recognised when it is resent.
    void keyAndIssueTimeAreNeeded()
    {
        coordinator_harness harness;
        harness.request("posting", "");
        CPPUNIT_ASSERT_EQUAL(std::string("key_missing"), harness.told());
        CPPUNIT_ASSERT(harness.claims.empty());
    }

    // Guards against a second answer to one client.
    void repeatedAnswerIsIgnored()
    {
        coordinator_harness harness;
        harness.request("posting");
        harness.grant(0);
        harness.finish(0, harness.answerTo(0));
        harness.finish(0, harness.answerTo(0, "ran", "again"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.answers.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.settled(settlement_kind::completed).size());
    }

    // Guards against "not run" for a request that was sent again, as HTTP client libraries do by
    // themselves, and is refused before the ledger is asked. Found by a fault run: the entry was
    // stopped for 5 s, the client's library repeated the request, and the repetition was refused.
    void refusalOfAKeyThatMayHaveRunIsNotToldAsNotRun()
    {
        struct key_case
        {
            std::string name;
            bool granted;
            std::optional<std::string> upstreamSays;
            std::string expected;
        };
        const std::vector<key_case> cases = {
            {"claim open", false, std::nullopt, "outcome_unknown"},
            {"sent, no answer yet", true, std::nullopt, "outcome_unknown"},
            {"ran", true, "ran", "outcome_unknown"},
        };
        for (const key_case &each : cases) {
            coordinator_harness harness;
            harness.request("posting", "key-1");
            if (each.granted)
                harness.grant(0);
            if (each.upstreamSays)
                harness.finish(0, harness.answerTo(0, *each.upstreamSays));
            const std::size_t before = harness.answers.size();
            // Past the lease everything is refused.
            harness.freeze(milliseconds(2600));
            harness.request("posting", "key-1");
            harness.request("posting", "key-2");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, before + 2, harness.answers.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.expected,
                                         std::string(name(harness.answers[before].code)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, std::string("entry_without_lease"),
                                         std::string(name(harness.answers[before + 1].code)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(once_only_test);
