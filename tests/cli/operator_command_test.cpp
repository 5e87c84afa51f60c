#include "kingcuptiller/cli/operator_command.h"
#include "kingcuptiller/cli/state_text.h"
#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/transport/json_rpc_client.h"
#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

using namespace kingcuptiller;

namespace {

using words = std::vector<std::string>;

const endpoint_address firstHost("127.0.0.1:1001");
const endpoint_address secondHost("127.0.0.1:1002");
constexpr wall_time presentTime = fromUnixMilliseconds(1'796'368'000'000);

// A control fleet of two hosts and an operator's terminal.
struct fake_fleet
{
    state_report state;
    endpoint_address leader = secondHost;
    // The answers to submit_change, in turn; after the last one, every change is accepted.
    std::vector<change_answer> answers;
    // Calls that reach the leader and whose answers are lost.
    std::size_t lostAnswers = 0;
    bool confirms = false;

    std::vector<std::pair<endpoint_address, std::string>> calls;
    std::vector<change_request> changes;
    std::string output;
    std::string errors;

    fake_fleet()
    {
        state.current.revision = revision_number(7);
        work_class payments;
        payments.name = class_name("payments");
        payments.rank = rank_number(1);
        payments.target.worth = 50;
        state.current.classes = {payments};
    }

    Json::Value answer(const endpoint_address &server, const std::string &method,
                       const Json::Value &params)
    {
        calls.emplace_back(server, method);
        if (server != leader)
            throw not_leader_error(leader);
        if (method == "show_state")
            return toJson(state);
        changes.push_back(fromJson<change_request>(params));
        if (lostAnswers > 0) {
            --lostAnswers;
            throw no_answer_error(result_code::peer_unreachable, "no answer in time");
        }
        change_answer result{result_code::ok, state.current.revision.next(), ""};
        if (!answers.empty()) {
            result = answers.front();
            answers.erase(answers.begin());
        }
        return toJson(result);
    }

    int run(words arguments)
    {
        arguments.insert(arguments.end(), {"--control", "c1=127.0.0.1:1001,c2=127.0.0.1:1002"});
        const operator_environment environment{
            .callControl = [this](const auto &server, const auto &method,
                                  const auto &params) { return answer(server, method, params); },
            .fetch = [](const auto &, const auto &path) { return path; },
            .now = [] { return presentTime; },
            .pause = [](milliseconds) {},
            .drawId = [] { return std::string("drawn"); },
            .confirm = [this](const std::string &) { return confirms; },
            .print = [this](const std::string &text) { output += text; },
            .printError = [this](const std::string &text) { errors += text; }};
        return runOperatorCommand(arguments, environment);
    }
};

} // namespace

class operator_command_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operator_command_test);
    CPPUNIT_TEST(theLeaderIsFoundThroughHints);
    CPPUNIT_TEST(aLostAnswerIsAskedForAgainWithTheSameId);
    CPPUNIT_TEST(aChangeIsWaitedForUntilItIsInForce);
    CPPUNIT_TEST(aChangeKeepsWhatItDoesNotMention);
    CPPUNIT_TEST(refusalsEndWithTheirExitStatus);
    CPPUNIT_TEST(removalNeedsAConfirmation);
    CPPUNIT_TEST(stopsCarryScopeAndTimes);
    CPPUNIT_TEST(faultyCommandLinesReachNoHost);
    CPPUNIT_TEST(everyViewPrintsTextAndJson);
    CPPUNIT_TEST(explanationsNameTheReasons);
    CPPUNIT_TEST(timesAreReadBack);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a command that fails because the first host in the list does not lead.
    void theLeaderIsFoundThroughHints()
    {
        fake_fleet fleet;
        CPPUNIT_ASSERT_EQUAL(0, fleet.run({"state"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.calls.size());
        CPPUNIT_ASSERT_EQUAL(secondHost, fleet.calls.back().first);
        // Without a leader, the command ends after a bounded number of calls.
        fleet.leader = endpoint_address();
        fleet.calls.clear();
        CPPUNIT_ASSERT_EQUAL(exitStatus(result_code::not_leader), fleet.run({"state"}));
        CPPUNIT_ASSERT_EQUAL(control_caller::maximumRounds * 2, fleet.calls.size());
    }

    // Guards against a change that is made twice, or whose id the operator never learns.
    void aLostAnswerIsAskedForAgainWithTheSameId()
    {
        fake_fleet fleet;
        fleet.lostAnswers = 3;
        CPPUNIT_ASSERT_EQUAL(0, fleet.run({"class", "put", "payments", "--worth", "60"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.changes.size());
        for (const change_request &each : fleet.changes)
            CPPUNIT_ASSERT(each == fleet.changes.front());
        CPPUNIT_ASSERT(fleet.output.find("change id drawn") != std::string::npos);

        fleet.lostAnswers = 1000;
        CPPUNIT_ASSERT_EQUAL(
            exitStatus(result_code::change_outcome_unknown),
            fleet.run({"class", "put", "payments", "--change-id", "mine", "--base", "5"}));
        CPPUNIT_ASSERT_EQUAL(change_id("mine"), fleet.changes.back().id);
        CPPUNIT_ASSERT_EQUAL(revision_number(5), fleet.changes.back().base);
        CPPUNIT_ASSERT(fleet.errors.find("--change-id mine --base 5") != std::string::npos);
    }

    // Guards against an accepted change that is reported as failed, as after the loss of a leader,
    // whose successor waits for the longest lease before the change is in force.
    void aChangeIsWaitedForUntilItIsInForce()
    {
        fake_fleet fleet;
        const change_answer waiting{result_code::change_not_in_force, revision_number(8), "wait"};
        fleet.answers = {waiting, waiting};
        CPPUNIT_ASSERT_EQUAL(0, fleet.run({"class", "put", "payments", "--worth", "60"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.changes.size());
        CPPUNIT_ASSERT(fleet.changes.front() == fleet.changes.back());
        fleet.answers.assign(1000, waiting);
        CPPUNIT_ASSERT_EQUAL(exitStatus(result_code::change_not_in_force),
                             fleet.run({"class", "put", "payments", "--worth", "70"}));
    }

    // Guards against a change of one target that resets the others to their defaults.
    void aChangeKeepsWhatItDoesNotMention()
    {
        fake_fleet fleet;
        CPPUNIT_ASSERT_EQUAL(0, fleet.run({"class", "put", "payments", "--latency", "2 s"}));
        const work_class changed = fleet.changes.back().putClasses.at(0);
        CPPUNIT_ASSERT_EQUAL(50U, changed.target.worth);
        CPPUNIT_ASSERT(changed.target.latency == milliseconds(2000) && !changed.idempotent);
        CPPUNIT_ASSERT_EQUAL(revision_number(7), fleet.changes.back().base);
        CPPUNIT_ASSERT_EQUAL(0,
                             fleet.run({"class", "put", "lookups", "--rank", "2", "--idempotent"}));
        CPPUNIT_ASSERT(fleet.changes.back().putClasses.at(0).idempotent);
    }

    // Guards against a script that takes a refused change as accepted.
    void refusalsEndWithTheirExitStatus()
    {
        for (const result_code code :
             {result_code::revision_conflict, result_code::stop_breaks_target,
              result_code::change_not_in_force, result_code::class_in_use}) {
            fake_fleet fleet;
            // Repeated, because a change that is not yet in force is asked for again.
            fleet.answers.assign(100, {code, revision_number(9), "the reason"});
            CPPUNIT_ASSERT_EQUAL(exitStatus(code),
                                 fleet.run({"class", "remove", "payments", "--yes", "--json"}));
            const Json::Value document = parseJson(fleet.output, 65536);
            CPPUNIT_ASSERT_EQUAL(std::string(name(code)), document["code"].asString());
            CPPUNIT_ASSERT(document["message"].asString().find("the reason") != std::string::npos);
        }
    }

    // Guards against a class that is removed by a slip.
    void removalNeedsAConfirmation()
    {
        fake_fleet fleet;
        CPPUNIT_ASSERT(fleet.run({"class", "remove", "payments"}) != 0);
        CPPUNIT_ASSERT(fleet.changes.empty());
        fleet.confirms = true;
        CPPUNIT_ASSERT_EQUAL(0, fleet.run({"class", "remove", "payments"}));
        CPPUNIT_ASSERT_EQUAL(class_name("payments"), fleet.changes.back().removeClasses.at(0));
    }

    // Guards against a stop of something else, or at another time, than was asked for.
    void stopsCarryScopeAndTimes()
    {
        fake_fleet fleet;
        CPPUNIT_ASSERT_EQUAL(0,
                             fleet.run({"stop", "plan", "zone", "luzon/luzon-a", "--start",
                                        "+10 min", "--for", "1 h", "--id", "s1"}));
        const planned_stop stop = fleet.changes.back().planStops.at(0);
        const wall_time start = presentTime + milliseconds(600'000);
        CPPUNIT_ASSERT((stop
                        == planned_stop{stop_id("s1"), stop_scope::zone, "luzon/luzon-a", start,
                                        start + milliseconds(3'600'000)}));
        CPPUNIT_ASSERT_EQUAL(0, fleet.run({"stop", "withdraw", "s1"}));
        CPPUNIT_ASSERT_EQUAL(stop_id("s1"), fleet.changes.back().withdrawStops.at(0));
    }

    // Guards against half a command that changes something.
    void faultyCommandLinesReachNoHost()
    {
        const std::vector<words> cases{{},
                                       {"clas", "list"},
                                       {"class"},
                                       {"class", "put"},
                                       {"class", "put", "a", "b"},
                                       {"stop", "plan", "rack", "r1", "--for", "1 h"},
                                       {"stop", "plan", "zone", "luzon-a", "--for", "1 h"},
                                       {"stop", "plan", "region", "luzon"},
                                       {"stop", "plan", "region", "luzon", "--for", "1"},
                                       {"state", "now"},
                                       {"state", "--unknown"},
                                       {"report", "--from", "host:1"}};
        for (const words &each : cases) {
            fake_fleet fleet;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.empty() ? "nothing" : each.back(),
                                         exitStatus(result_code::command_line_invalid),
                                         fleet.run(each));
            CPPUNIT_ASSERT(fleet.calls.empty() && !fleet.errors.empty());
        }
        fake_fleet fleet;
        for (const words &each :
             {words{"class", "put", "new"}, words{"class", "put", "payments", "--worth", "0"},
              words{"class", "put", "payments", "--idempotent", "--non-idempotent"}})
            CPPUNIT_ASSERT_EQUAL(exitStatus(result_code::command_line_invalid), fleet.run(each));
        CPPUNIT_ASSERT(fleet.changes.empty());
    }

    // Guards against a view that scripts cannot read.
    void everyViewPrintsTextAndJson()
    {
        for (const words &each :
             {words{"state"}, words{"class", "list"}, words{"stop", "list"}, words{"hosts"},
              words{"upstreams"}, words{"explain", "payments"}, words{"codes"}}) {
            fake_fleet fleet;
            CPPUNIT_ASSERT_EQUAL(0, fleet.run(each));
            CPPUNIT_ASSERT(!fleet.output.empty());
            fleet.output.clear();
            words withJson = each;
            withJson.emplace_back("--json");
            CPPUNIT_ASSERT_EQUAL(0, fleet.run(withJson));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                fleet.output, 'x', fleet.output[0] == '{' || fleet.output[0] == '[' ? 'x' : '-');
        }
    }

    // Guards against an explanation that leaves out why requests are refused.
    void explanationsNameTheReasons()
    {
        fake_fleet fleet;
        service_counts counts;
        counts.workClass = class_name("payments");
        counts.inTime = 90;
        counts.refused = 10;
        counts.codes = {result_code::queue_full, result_code::shift_cap};
        counts.codeCounts = {3, 7};
        fleet.state.service = {counts};
        CPPUNIT_ASSERT_EQUAL(0, fleet.run({"explain", "payments"}));
        const std::size_t shift = fleet.output.find("7 times shift_cap (107)");
        const std::size_t queue = fleet.output.find("3 times queue_full (110)");
        CPPUNIT_ASSERT_MESSAGE(fleet.output, shift < queue && queue != std::string::npos);
        for (const std::string part : {"Served nowhere", "90 of 100", "runs at most once"})
            CPPUNIT_ASSERT_MESSAGE(part, fleet.output.find(part) != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(exitStatus(result_code::class_unknown), fleet.run({"explain", "x"}));
    }

    // Guards against a stop that starts at another time than the table shows.
    void timesAreReadBack()
    {
        CPPUNIT_ASSERT(parseTime(timeText(presentTime), {}) == presentTime);
        CPPUNIT_ASSERT(parseTime("now", presentTime) == presentTime);
        CPPUNIT_ASSERT(parseTime("1796368000000", {}) == presentTime);
        for (const std::string text : {"", "later", "+5", "2026-12-04", "12:00"})
            CPPUNIT_ASSERT_THROW_MESSAGE(text, static_cast<void>(parseTime(text, {})), error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operator_command_test);
