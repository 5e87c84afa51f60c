#include "samples.h"

#include "kingcuptiller/control/control_core.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace kingcuptiller;
using namespace kingcuptiller::samples;

namespace {

// A core whose log is a list, with a clock that the test moves.
class core_fixture
{
public:
    core_fixture()
        : m_core(
            {},
            {[this](const std::string &text) { return append(text); }, [this] { return lease; }})
    {
        change_command setup{makeChange("setup", 0, {makeClass("postings")}), result_code::ok, ""};
        m_core.apply({log_index(1), term}, encodeCommand({start, setup}));
        m_next = 2;
        m_core.startLeading(moment());
        commit();
    }

    [[nodiscard]] lease_moment moment() const { return {now, start + now.time_since_epoch()}; }
    control_core &core() { return m_core; }

    std::optional<log_place> append(const std::string &text)
    {
        m_uncommitted.emplace_back(log_place{log_index(m_next++), term}, text);
        return m_uncommitted.back().first;
    }

    void commit()
    {
        const auto entries = std::exchange(m_uncommitted, {});
        for (const auto &[place, text] : entries)
            m_core.apply(place, text);
    }

    // Another leader has put its own entries in these places.
    void loseUncommitted()
    {
        const auto entries = std::exchange(m_uncommitted, {});
        for (const auto &each : entries)
            m_core.apply({each.first.index, term.next()}, encodeCommand({start, fleet_update{}}));
    }

    void advance(milliseconds duration)
    {
        for (milliseconds passed{0}; passed < duration; passed += milliseconds{50}) {
            now += milliseconds{50};
            m_core.tick(moment());
            commit();
        }
    }

    entry_sync_response sync(const std::string &host, bool announce = true, bool apply = true)
    {
        entry_sync_request request;
        request.entry = makeEntry(host, "i" + host);
        request.appliedRevision = applied[host].revision;
        request.appliedAssignment = applied[host].assignment;
        request.demand = {{class_name("postings"), 1.0, 1.0}};
        if (announce)
            request.announcements = {makeUpstream("u", 3)};
        auto response = m_core.syncEntry(request, moment());
        if (apply && response.lease > milliseconds{0})
            applied[host] = response;
        return response;
    }

    // Registers the entry and lets it apply what it is given.
    void settle(const std::string &host)
    {
        for (int each = 0; each < 20; ++each) {
            sync(host);
            advance(milliseconds{100});
        }
    }

    std::optional<std::variant<change_answer, error>>
    submit(const std::string &id, std::uint64_t base, std::vector<planned_stop> stops = {})
    {
        auto change = makeChange(id, base, {makeClass("c" + id)});
        change.planStops = std::move(stops);
        answers.erase(id);
        m_core.submitChange(change, moment(),
                            [this, id](const auto &answer) { answers.emplace(id, answer); });
        return answerTo(id);
    }

    std::optional<std::variant<change_answer, error>> answerTo(const std::string &id)
    {
        const auto found = answers.find(id);
        return found == answers.end() ? std::nullopt : std::make_optional(found->second);
    }

    std::variant<std::vector<claim_answer>, error> claimNow(const claim &request)
    {
        std::variant<std::vector<claim_answer>, error> result;
        m_core.claimRequests({request}, moment(),
                             [&result](const auto &answer) { result = answer; });
        commit();
        return result;
    }

    epoch_number term{1};
    instant now{microseconds{0}};
    bool lease = true;
    std::map<std::string, entry_sync_response> applied;
    std::map<std::string, std::variant<change_answer, error>> answers;

private:
    std::uint64_t m_next = 1;
    std::vector<std::pair<log_place, std::string>> m_uncommitted;
    control_core m_core;
};

result_code codeOf(const std::optional<std::variant<change_answer, error>> &answer)
{
    CPPUNIT_ASSERT_MESSAGE("the call was not answered", answer.has_value());
    const auto *failure = std::get_if<error>(&*answer);
    return failure != nullptr ? failure->code() : std::get<change_answer>(*answer).code;
}

} // namespace

class control_core_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_core_test);
    CPPUNIT_TEST(changeIsAnsweredWhenItIsInForceEverywhere);
    CPPUNIT_TEST(unreachableEntryDelaysTheAnswerUntilItsLeaseEnds);
    CPPUNIT_TEST(newLeaderWaitsForLeasesThatItDoesNotKnow);
    CPPUNIT_TEST(leaderWithoutLeaseAnswersNothing);
    CPPUNIT_TEST(callsThatLoseTheirCommandsAreNotAnsweredAsDone);
    CPPUNIT_TEST(openClaimOfALostEntryIsUnknown);
    CPPUNIT_TEST(stopThatBreaksATargetIsRefusedAndStaysRefused);
    CPPUNIT_TEST(silentUpstreamIsRemoved);
    CPPUNIT_TEST(stoppedEntryIsReleasedAfterAllOthersKnow);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an answer that comes before the change is in force (I8).
    void changeIsAnsweredWhenItIsInForceEverywhere()
    {
        core_fixture fixture;
        fixture.settle("e1");
        fixture.settle("e2");
        fixture.settle("e1");
        CPPUNIT_ASSERT(!fixture.submit("a", 1));
        fixture.advance(milliseconds{100});
        fixture.sync("e1");
        fixture.sync("e1");
        fixture.sync("e2");
        fixture.advance(milliseconds{100});
        CPPUNIT_ASSERT_MESSAGE("e2 has not said that it applied it", !fixture.answerTo("a"));
        fixture.sync("e2");
        fixture.advance(milliseconds{100});
        CPPUNIT_ASSERT(codeOf(fixture.answerTo("a")) == result_code::ok);
    }

    // Guards against operators who wait for ever, and against an early "in force".
    void unreachableEntryDelaysTheAnswerUntilItsLeaseEnds()
    {
        core_fixture fixture;
        fixture.settle("e1");
        fixture.submit("a", 1);
        fixture.advance(milliseconds{1850});
        CPPUNIT_ASSERT(codeOf(fixture.answerTo("a")) == result_code::change_not_in_force);
        // The operator sends it again; the lease of e1 ends 2.5 s after its last sync.
        fixture.submit("a", 1);
        fixture.advance(milliseconds{500});
        CPPUNIT_ASSERT(!fixture.answerTo("a"));
        fixture.advance(milliseconds{200});
        CPPUNIT_ASSERT(codeOf(fixture.answerTo("a")) == result_code::ok);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                             fixture.core().state().currentConfiguration().revision.number());
    }

    // Guards against a new leader that takes entries for lost because they have not called yet.
    void newLeaderWaitsForLeasesThatItDoesNotKnow()
    {
        core_fixture fixture;
        fixture.settle("e1");
        fixture.submit("a", 1);
        fixture.commit();
        fixture.core().stopLeading();
        CPPUNIT_ASSERT(codeOf(fixture.answerTo("a")) == result_code::change_outcome_unknown);
        fixture.core().startLeading(fixture.moment());
        CPPUNIT_ASSERT(!fixture.submit("a", 1));
        fixture.advance(milliseconds{1000});
        CPPUNIT_ASSERT(!fixture.answerTo("a"));
        fixture.sync("e1");
        fixture.sync("e1");
        fixture.advance(milliseconds{50});
        CPPUNIT_ASSERT(codeOf(fixture.answerTo("a")) == result_code::ok);
    }

    // Guards against an isolated or frozen leader that is taken for the present one.
    void leaderWithoutLeaseAnswersNothing()
    {
        core_fixture fixture;
        fixture.settle("e1");
        fixture.lease = false;
        CPPUNIT_ASSERT_THROW(fixture.sync("e1"), error);
        CPPUNIT_ASSERT_THROW(static_cast<void>(fixture.core().report(fixture.moment())), error);
        CPPUNIT_ASSERT(codeOf(fixture.submit("a", 1)) == result_code::not_leader);
    }

    // Guards against a claim that is granted although another leader's entry took its place.
    void callsThatLoseTheirCommandsAreNotAnsweredAsDone()
    {
        core_fixture fixture;
        std::optional<std::variant<std::vector<claim_answer>, error>> result;
        fixture.core().claimRequests({makeClaim("k", "a")}, fixture.moment(),
                                     [&result](const auto &answer) { result = answer; });
        fixture.submit("a", 1);
        fixture.loseUncommitted();
        CPPUNIT_ASSERT(result && std::get<error>(*result).code() == result_code::no_quorum);
        CPPUNIT_ASSERT(codeOf(fixture.answerTo("a")) == result_code::change_outcome_unknown);
        CPPUNIT_ASSERT(fixture.core().state().ledger().find(request_key("k")) == nullptr);
    }

    // Guards against a client that waits for an entry which is gone.
    void openClaimOfALostEntryIsUnknown()
    {
        core_fixture fixture;
        fixture.settle("e1");
        claim open = makeClaim("k", "a");
        open.entryIncarnation = incarnation_id("ie1");
        open.deadline = milliseconds{60'000};
        claim again = open;
        again.attempt = attempt_id("b");
        fixture.claimNow(open);
        const auto early = fixture.claimNow(again);
        CPPUNIT_ASSERT(std::get<0>(early).at(0).code == result_code::request_in_progress);
        fixture.advance(milliseconds{2600});
        const auto late = fixture.claimNow(again);
        CPPUNIT_ASSERT(std::get<0>(late).at(0).code == result_code::outcome_unknown);
    }

    // Guards against a refused stop that a resend slips in once demand has changed.
    void stopThatBreaksATargetIsRefusedAndStaysRefused()
    {
        core_fixture fixture;
        fixture.settle("e1");
        const planned_stop stop{stop_id("s"), stop_scope::upstream, "u",
                                start + std::chrono::hours(1), start + std::chrono::hours(2)};
        fixture.submit("a", 1, {stop});
        fixture.advance(milliseconds{50});
        CPPUNIT_ASSERT(codeOf(fixture.answerTo("a")) == result_code::stop_breaks_target);
        const auto message = std::get<change_answer>(*fixture.answerTo("a")).message;
        CPPUNIT_ASSERT_MESSAGE(message, message.find("0 of 3 slots") != std::string::npos);
        fixture.core().stopLeading();
        fixture.core().startLeading(fixture.moment());
        CPPUNIT_ASSERT(codeOf(fixture.submit("a", 1, {stop})) == result_code::stop_breaks_target);
    }

    // Guards against entries that keep sending to an upstream which is gone.
    void silentUpstreamIsRemoved()
    {
        core_fixture fixture;
        fixture.settle("e1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.core().state().fleet().upstreams().size());
        for (int each = 0; each < 35; ++each) {
            fixture.sync("e1", false);
            fixture.advance(milliseconds{100});
        }
        CPPUNIT_ASSERT(fixture.core().state().fleet().upstreams().empty());
        CPPUNIT_ASSERT(fixture.sync("e1", false).assignment == fixture.applied["e1"].assignment);
    }

    // Guards against clients that are sent to an entry which has stopped (I7).
    void stoppedEntryIsReleasedAfterAllOthersKnow()
    {
        core_fixture fixture;
        fixture.settle("e1");
        fixture.settle("e2");
        fixture.settle("e1");
        fixture.submit(
            "a", 1, {{stop_id("s"), stop_scope::host, "e1", start, start + std::chrono::hours(2)}});
        fixture.advance(milliseconds{100});
        for (int each = 0; each < 20; ++each) {
            CPPUNIT_ASSERT(!fixture.sync("e1").released);
            fixture.sync("e2", true, false);
            fixture.advance(milliseconds{100});
        }
        // Only from here on does e2 say that it has applied the list without e1; clients may use
        // its former answers for 5 s.
        for (int each = 0; each < 50; ++each) {
            CPPUNIT_ASSERT(!fixture.sync("e1").released);
            fixture.sync("e2");
            fixture.advance(milliseconds{100});
        }
        for (int each = 0; each < 5; ++each) {
            fixture.sync("e1");
            fixture.advance(milliseconds{100});
        }
        CPPUNIT_ASSERT(fixture.sync("e1").released);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_core_test);
