#include "stand_in/journal_check.h"
#include "stand_in/load_options.h"
#include "stand_in/load_report.h"
#include "stand_in/request_outcome.h"
#include "stand_in/work_payload.h"

#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace kingcuptiller;
using namespace kingcuptiller::stand_in;

namespace {

request_outcome outcomeOf(const std::string &key, outcome_kind kind, std::uint32_t uncertain = 0)
{
    request_outcome outcome;
    outcome.key = request_key(key);
    outcome.workClass = class_name("payments");
    outcome.kind = kind;
    outcome.code = kind == outcome_kind::refused ? result_code::queue_full : result_code::ok;
    outcome.sendings = 1;
    outcome.uncertain = uncertain;
    return outcome;
}

run_record runOf(const std::string &key, const std::string &workClass = "payments")
{
    return {request_key(key), attempt_id("a"), class_name(workClass), {}};
}

} // namespace

class request_outcome_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_outcome_test);
    CPPUNIT_TEST(stepsFollowTheAnswers);
    CPPUNIT_TEST(foreignAnswersAreNoticed);
    CPPUNIT_TEST(recordsCanBeReadBack);
    CPPUNIT_TEST(journalsThatContradictOutcomesAreFound);
    CPPUNIT_TEST(talliesCountEachRequestOnce);
    CPPUNIT_TEST(classPlansAreReadAndFaultsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a client that resends as new what may have run, or takes a refusal of a
    // resend as a refusal of the request.
    void stepsFollowTheAnswers()
    {
        struct step_case
        {
            std::string outcome;
            result_code code;
            bool received;
            std::uint32_t uncertainBefore;
            bool patience;
            next_step step;
            outcome_kind kind;
        };
        const auto kept = outcome_kind::unknown;
        const std::vector<step_case> cases{
            {"answered", result_code::ok, true, 0, true, next_step::finish, outcome_kind::answered},
            {"already_run", result_code::already_run, true, 1, true, next_step::finish,
             outcome_kind::answered},
            {"not_run", result_code::queue_full, true, 0, true, next_step::finish,
             outcome_kind::refused},
            {"not_run", result_code::entry_without_lease, true, 0, true, next_step::next_entry,
             kept},
            {"not_run", result_code::entry_without_lease, true, 0, false, next_step::finish,
             outcome_kind::refused},
            {"not_run", result_code::queue_full, true, 1, true, next_step::ask_again, kept},
            {"not_run", result_code::queue_full, true, 1, false, next_step::finish, kept},
            {"outcome_unknown", result_code::request_in_progress, true, 0, true,
             next_step::ask_again, kept},
            {"outcome_unknown", result_code::outcome_unknown, true, 0, false, next_step::finish,
             kept},
            {"outcome_unknown", result_code::key_expired, true, 0, true, next_step::finish,
             outcome_kind::refused},
            {"", result_code::ok, false, 0, true, next_step::next_entry, kept},
            {"", result_code::ok, false, 0, false, next_step::finish, kept}};
        for (const step_case &each : cases) {
            request_outcome outcome = outcomeOf("k", outcome_kind::unknown, each.uncertainBefore);
            const entry_answer answer{each.received, each.outcome, each.code, true, true};
            const std::string place = each.outcome + " " + std::string(name(each.code));
            CPPUNIT_ASSERT_MESSAGE(place, applyAnswer(outcome, answer, each.patience) == each.step);
            CPPUNIT_ASSERT_MESSAGE(place, outcome.kind == each.kind);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(place, 2U, outcome.sendings);
        }
    }

    // Guards against an answer to another request, or a cut one, that counts as served.
    void foreignAnswersAreNoticed()
    {
        for (const auto &[ownKey, ownPayload] : {std::pair(false, true), std::pair(true, false)}) {
            request_outcome outcome = outcomeOf("k", outcome_kind::unknown);
            const entry_answer answer{true, "answered", result_code::ok, ownKey, ownPayload};
            CPPUNIT_ASSERT(applyAnswer(outcome, answer, true) == next_step::finish);
            CPPUNIT_ASSERT(outcome.mismatched);
        }
        const std::string first = makeRequestBody(request_key("k1"), 100, 5000);
        const std::string second = makeRequestBody(request_key("k2"), 100, 5000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5000}, makeAnswerBody(first).size());
        CPPUNIT_ASSERT(makeAnswerBody(first) != makeAnswerBody(second));
        CPPUNIT_ASSERT_EQUAL(std::string("plain"), makeAnswerBody("plain"));
    }

    // Guards against a record file that says something else than the generator saw.
    void recordsCanBeReadBack()
    {
        for (const auto kind :
             {outcome_kind::answered, outcome_kind::refused, outcome_kind::unknown}) {
            request_outcome outcome = outcomeOf("k", kind, 2);
            outcome.latency = microseconds(1234);
            outcome.idempotent = kind == outcome_kind::answered;
            outcome.mismatched = kind == outcome_kind::answered;
            CPPUNIT_ASSERT(readOutcome(writeOutcome(outcome)) == outcome);
        }
        CPPUNIT_ASSERT_THROW(static_cast<void>(readOutcome("k payments")), std::runtime_error);
    }

    // Guards against a check that would not notice the faults it is there to find.
    void journalsThatContradictOutcomesAreFound()
    {
        const auto answered = outcomeOf("k", outcome_kind::answered);
        const auto refused = outcomeOf("k", outcome_kind::refused);
        CPPUNIT_ASSERT(checkJournals({runOf("k")}, {answered}).holds());
        CPPUNIT_ASSERT(checkJournals({}, {refused}).holds());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             checkJournals({runOf("k"), runOf("k")}, {answered}).doubled);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             checkJournals({runOf("k")}, {refused}).ranAfterRefusal);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, checkJournals({}, {answered}).answeredWithoutRun);
        // A key whose outcome was never recorded, such as one of a killed generator.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, checkJournals({runOf("x"), runOf("x")}, {}).doubled);
        // An earlier sending is uncertain, so the request may have run.
        CPPUNIT_ASSERT(
            checkJournals({runOf("k")}, {outcomeOf("k", outcome_kind::unknown, 1)}).holds());
        auto lookup = answered;
        lookup.idempotent = true;
        lookup.workClass = class_name("lookups");
        CPPUNIT_ASSERT(
            checkJournals({runOf("k", "lookups"), runOf("k", "lookups")}, {lookup}).holds());
        auto mismatched = answered;
        mismatched.mismatched = true;
        CPPUNIT_ASSERT(!checkJournals({runOf("k")}, {mismatched}).holds());
    }

    // Guards against a report whose parts do not add up to what was sent.
    void talliesCountEachRequestOnce()
    {
        std::vector<request_outcome> outcomes{outcomeOf("a", outcome_kind::refused),
                                              outcomeOf("b", outcome_kind::unknown)};
        for (int index = 1; index <= 100; ++index) {
            outcomes.push_back(outcomeOf("c", outcome_kind::answered));
            outcomes.back().latency = milliseconds(index);
        }
        const class_tally row = addUp(outcomes).at(class_name("payments"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{102}, row.sent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, row.answered);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, row.refused.at(result_code::queue_full));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, row.unknown.size());
        CPPUNIT_ASSERT(row.p50 == milliseconds(51) && row.p99 == milliseconds(99));
    }

    // Guards against a plan that sends something else than was asked for.
    void classPlansAreReadAndFaultsRefused()
    {
        const class_plan plan = parseClassPlan("x,rate=2.5,deadline=2 s,answer=10,idempotent");
        CPPUNIT_ASSERT(
            (plan == class_plan{class_name("x"), true, 2.5, milliseconds(2000), 200, 10}));
        for (const std::string text : {"", "x,rate=0", "x,rate=a", "x,deadline=5", "x,idem"})
            CPPUNIT_ASSERT_THROW_MESSAGE(text, static_cast<void>(parseClassPlan(text)), error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_outcome_test);
