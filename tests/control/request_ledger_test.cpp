#include "samples.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace kingcuptiller;
using namespace kingcuptiller::samples;

namespace {

claim_answer claimOne(control_state &state, const claim &request, milliseconds after = {})
{
    const auto result = applyEncoded(state, {start + after, claims_command{{request}}});
    return std::get<std::vector<claim_result>>(result).at(0).answer;
}

std::size_t settleOne(control_state &state, const settlement &value, milliseconds after = {})
{
    return std::get<std::size_t>(
        applyEncoded(state, {start + after, settlements_command{{value}}}));
}

void limitLedger(control_state &state, std::uint64_t records, std::uint64_t bodyBytes = 1U << 20U)
{
    applyEncoded(state, {start, ledger_limits{milliseconds{3'600'000}, records, bodyBytes}});
}

// Entries that claim, use and release attempts of a few keys over a network that loses, repeats,
// delays and reorders their commands.
class unreliable_entries
{
public:
    void step()
    {
        const auto action = *rc::gen::inRange(0, 10);
        if (action < 3)
            sendClaim();
        else if (action < 8)
            deliver();
        else if (action < 9)
            m_state = control_state::fromSnapshot(m_state.snapshot());
        else
            m_time += milliseconds{*rc::gen::inRange(0, 400'000)};
    }

private:
    struct attempt_record
    {
        std::string key;
        bool granted = false;
        bool released = false;
        bool used = false;
    };

    void sendClaim()
    {
        const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 3));
        const std::string attempt = "a" + std::to_string(m_attempts.size());
        m_attempts[attempt] = {key, false, false, false};
        m_network.emplace_back(claims_command{{makeClaim(key, attempt)}});
    }

    void deliver()
    {
        if (m_network.empty())
            return;
        const auto which = *rc::gen::inRange<std::size_t>(0, m_network.size());
        const command value{m_time, m_network[which]};
        const auto fate = *rc::gen::inRange(0, 4);
        if (fate != 0)
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(which));
        if (fate == 1)
            return;
        const auto result = applyEncoded(m_state, value);
        if (const auto *results = std::get_if<std::vector<claim_result>>(&result))
            answered(results->at(0).answer);
        else
            settled(std::get<settlements_command>(value.body).settlements.at(0));
    }

    void answered(const claim_answer &answer)
    {
        auto &attempt = m_attempts.at(answer.attempt.text());
        if (answer.code == result_code::ok)
            granted(answer.attempt.text(), attempt);
        // The answer may be lost, may lead to a sending, or come after the entry gave up.
        const auto next = *rc::gen::inRange(0, 3);
        if (attempt.used || attempt.released || next == 0)
            return;
        if (next == 1 && answer.code == result_code::ok) {
            attempt.used = true;
            send(answer.attempt.text(), settlement_kind::completed);
        } else {
            attempt.released = true;
            send(answer.attempt.text(), settlement_kind::released);
        }
    }

    void granted(const std::string &name, attempt_record &attempt)
    {
        RC_ASSERT(!m_fenced.contains(name));
        attempt.granted = true;
        for (const auto &[other, record] : m_attempts) {
            if (other != name && record.key == attempt.key && record.granted)
                RC_ASSERT(record.released);
        }
    }

    void settled(const settlement &value)
    {
        if (value.kind == settlement_kind::released)
            m_fenced.insert(value.attempt.text());
    }

    void send(const std::string &attempt, settlement_kind kind)
    {
        m_network.emplace_back(
            settlements_command{{makeSettlement(m_attempts.at(attempt).key, attempt, kind)}});
    }

    control_state m_state = makeState();
    wall_time m_time = start;
    std::vector<command_body> m_network;
    std::map<std::string, attempt_record> m_attempts;
    std::set<std::string> m_fenced;
};

} // namespace

class request_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_ledger_test);
    CPPUNIT_TEST(noAttemptIsGrantedAfterOneThatMayHaveRun);
    CPPUNIT_TEST(lateClaimOfAReleasedAttemptIsRefused);
    CPPUNIT_TEST(resentRequestIsAnsweredByItsState);
    CPPUNIT_TEST(requestsAreRefusedByTheirIssueTime);
    CPPUNIT_TEST(droppedRecordsStayExpiredWhenTheRetentionGrows);
    CPPUNIT_TEST(recordedBodiesStayWithinTheirBudget);
    CPPUNIT_TEST(floodOfOneClassLeavesRoomForTheOthers);
    CPPUNIT_TEST(snapshotHoldsTheWholeLedger);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that runs twice (I5) and against a late claim that takes a key for
    // an attempt that is never sent (I4).
    void noAttemptIsGrantedAfterOneThatMayHaveRun()
    {
        CPPUNIT_ASSERT(rc::check("one grant that may have run for each key", [] {
            unreliable_entries entries;
            for (int step = 0; step < 120; ++step)
                entries.step();
        }));
    }

    // Guards against a key that stays claimed although its client was told that it was not run.
    void lateClaimOfAReleasedAttemptIsRefused()
    {
        control_state state = makeState();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             settleOne(state, makeSettlement("k", "a", settlement_kind::released)));
        state = control_state::fromSnapshot(state.snapshot());
        CPPUNIT_ASSERT(claimOne(state, makeClaim("k", "a")).code
                       == result_code::claim_not_committed);
        CPPUNIT_ASSERT(claimOne(state, makeClaim("k", "b")).code == result_code::ok);
    }

    // Guards against wrong answers to a client that sends its request again.
    void resentRequestIsAnsweredByItsState()
    {
        control_state state = makeState();
        CPPUNIT_ASSERT(claimOne(state, makeClaim("k", "a")).code == result_code::ok);
        CPPUNIT_ASSERT(claimOne(state, makeClaim("k", "a")).code == result_code::ok);
        CPPUNIT_ASSERT(claimOne(state, makeClaim("k", "b"), milliseconds{4999}).code
                       == result_code::request_in_progress);
        CPPUNIT_ASSERT(claimOne(state, makeClaim("k", "b"), milliseconds{5000}).code
                       == result_code::outcome_unknown);
        claim other = makeClaim("k", "c");
        other.bodyHash = body_hash("different");
        CPPUNIT_ASSERT(claimOne(state, other).code == result_code::key_conflict);
        settleOne(state, makeSettlement("k", "a", settlement_kind::completed, "paid"));
        const auto answer = claimOne(state, makeClaim("k", "d"));
        CPPUNIT_ASSERT(answer.code == result_code::already_run);
        CPPUNIT_ASSERT_EQUAL(std::string("paid"), answer.answer->body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             settleOne(state, makeSettlement("k", "a", settlement_kind::released)));
    }

    // Guards against a second run of a request whose record was dropped.
    void requestsAreRefusedByTheirIssueTime()
    {
        struct issue_case
        {
            milliseconds age;
            result_code code;
        };
        const std::vector<issue_case> cases = {
            {milliseconds{-30'000}, result_code::ok},
            {milliseconds{-30'001}, result_code::issue_time_ahead},
            {milliseconds{3'570'000}, result_code::ok},
            {milliseconds{3'570'001}, result_code::key_expired},
        };
        for (const auto &each : cases) {
            control_state state = makeState();
            const auto answer = claimOne(state, makeClaim("k", "a", start - each.age));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(each.age.count()),
                                         static_cast<int>(each.code),
                                         static_cast<int>(answer.code));
        }
    }

    // Guards against a longer retention that admits requests whose records are gone already.
    void droppedRecordsStayExpiredWhenTheRetentionGrows()
    {
        control_state state = makeState();
        claimOne(state, makeClaim("k", "a"));
        const milliseconds later{3'660'001};
        claimOne(state, makeClaim("other", "b", start + later), later);
        CPPUNIT_ASSERT(state.ledger().find(request_key("k")) == nullptr);
        applyEncoded(state, {start + later, ledger_limits{milliseconds{86'400'000}, 1000, 1000}});
        state = control_state::fromSnapshot(state.snapshot());
        CPPUNIT_ASSERT(claimOne(state, makeClaim("k", "c"), later).code
                       == result_code::key_expired);
    }

    // Guards against answers that fill the memory of the control hosts.
    void recordedBodiesStayWithinTheirBudget()
    {
        control_state state = makeState();
        limitLedger(state, 1000, 100);
        for (const auto *key : {"k1", "k2", "k3"}) {
            claimOne(state, makeClaim(key, std::string("a") + key));
            settleOne(state,
                      makeSettlement(key, std::string("a") + key, settlement_kind::completed,
                                     std::string(40, 'x')));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{80}, state.ledger().bodyBytes());
        const auto answer = claimOne(state, makeClaim("k1", "b"));
        CPPUNIT_ASSERT(answer.code == result_code::already_run);
        CPPUNIT_ASSERT(answer.answer->bodyDropped && answer.answer->body.empty());
    }

    // Guards against a flood of work that can wait which locks the most urgent work out.
    void floodOfOneClassLeavesRoomForTheOthers()
    {
        control_state state = makeState();
        limitLedger(state, 100);
        applyEncoded(
            state,
            {start,
             change_command{makeChange("c", 1, {makeClass("revisions", 3)}), result_code::ok, ""}});
        int granted = 0;
        for (int number = 0; number < 200; ++number) {
            claim request = makeClaim("r" + std::to_string(number), "ra" + std::to_string(number));
            request.workClass = class_name("revisions");
            const auto code = claimOne(state, request).code;
            CPPUNIT_ASSERT(code == result_code::ok || code == result_code::ledger_full);
            granted += code == result_code::ok ? 1 : 0;
        }
        // Its guaranteed 30 and half of the shared 40.
        CPPUNIT_ASSERT_EQUAL(50, granted);
        for (int number = 0; number < 50; ++number)
            CPPUNIT_ASSERT(
                claimOne(state,
                         makeClaim("p" + std::to_string(number), "pa" + std::to_string(number)))
                    .code
                == result_code::ok);
        CPPUNIT_ASSERT(claimOne(state, makeClaim("p", "pa")).code == result_code::ledger_full);
    }

    // Guards against fields that a restart loses, and against texts that break the format.
    void snapshotHoldsTheWholeLedger()
    {
        control_state state = makeState();
        claimOne(state, makeClaim("quote\"back\\slash\nline \x01 \xc3\xa9", "a"));
        claimOne(state, makeClaim("k2", "b"));
        settleOne(state,
                  makeSettlement("k2", "b", settlement_kind::completed, std::string("\0\xff", 2)));
        claimOne(state, makeClaim("k3", "c"));
        settleOne(state, makeSettlement("k3", "c", settlement_kind::released));
        const std::string text = state.snapshot();
        const control_state copy = control_state::fromSnapshot(text);
        CPPUNIT_ASSERT_EQUAL(text, copy.snapshot());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, copy.ledger().size());
        CPPUNIT_ASSERT_EQUAL(state.ledger().bodyBytes(), copy.ledger().bodyBytes());
        const request_key key("quote\"back\\slash\nline \x01 \xc3\xa9");
        CPPUNIT_ASSERT(*state.ledger().find(key) == *copy.ledger().find(key));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_ledger_test);
