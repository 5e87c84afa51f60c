#include "samples.h"

#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace kingcuptiller;
using namespace kingcuptiller::samples;

namespace {

std::vector<command> everyKindOfCommand()
{
    fleet_update update;
    const entry_key key{host_id("e1"), incarnation_id("i1")};
    update.joined = {makeEntry("e1", "i1")};
    update.states = {{key, entry_state::leaving}};
    update.retired = {key};
    update.upstreams = {makeUpstream("u", 3)};
    update.removed = {upstream_id("v")};
    update.confirmed = {
        {key, assignment_sequence(7), {{upstream_id("u"), incarnation_id("u1"), 2}}}};
    update.limits = {{upstream_id("u"), key, 3}};
    change_request change = makeChange("c", 3, {makeClass("postings")});
    change.removeClasses = {class_name("x")};
    change.planStops = {
        {stop_id("s"), stop_scope::zone, "north/a", start, start + milliseconds{5}}};
    change.withdrawStops = {stop_id("t")};
    std::vector<command> commands;
    commands.push_back({start, change_command{change, result_code::stop_breaks_target, "why"}});
    commands.push_back({start, claims_command{{makeClaim("k", "a"), makeClaim("l", "b")}}});
    commands.push_back(
        {start,
         settlements_command{
             {makeSettlement("k", "a", settlement_kind::completed, std::string("\0\xff", 2)),
              makeSettlement("l", "b", settlement_kind::released)}}});
    commands.push_back({start, update});
    commands.push_back({start, ledger_limits{milliseconds{1}, 2, 3}});
    return commands;
}

// Overwrites, inserts or removes a few characters.
std::string damaged(std::string text)
{
    const auto changes = *rc::gen::inRange(1, 6);
    for (int change = 0; change < changes && !text.empty(); ++change) {
        const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto letter = *rc::gen::elementOf(std::string("\"{}[]:,0919-eE.\\ntfu\x01 \xff"));
        const auto kind = *rc::gen::inRange(0, 3);
        if (kind == 0)
            text[place] = letter;
        else if (kind == 1)
            text.insert(place, 1, letter);
        else
            text.erase(place, *rc::gen::inRange<std::size_t>(1, 20));
    }
    return text;
}

// Anything but `error` with a code for bad input escapes and fails the test.
template <typename Action>
void mustReadOrRefuse(const Action &action)
{
    try {
        action();
    } catch (const error &refusal) {
        RC_ASSERT(refusal.code() == result_code::message_malformed);
    }
}

} // namespace

class command_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(command_codec_test);
    CPPUNIT_TEST(commandsSurviveTheLog);
    CPPUNIT_TEST(damagedCommandsAreReadOrRefused);
    CPPUNIT_TEST(damagedSnapshotsAreReadOrRefused);
    CPPUNIT_TEST(damagedChangesAreReadOrRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that is written and not read back.
    void commandsSurviveTheLog()
    {
        for (const auto &each : everyKindOfCommand())
            CPPUNIT_ASSERT_MESSAGE(encodeCommand(each), decodeCommand(encodeCommand(each)) == each);
    }

    // Guards against input that ends the process.
    void damagedCommandsAreReadOrRefused()
    {
        CPPUNIT_ASSERT(rc::check("commands", [] {
            const auto text = damaged(encodeCommand(*rc::gen::elementOf(everyKindOfCommand())));
            mustReadOrRefuse([&text] { makeState().apply(decodeCommand(text)); });
        }));
        CPPUNIT_ASSERT(rc::check("any text", [](const std::string &text) {
            mustReadOrRefuse([&text] { static_cast<void>(decodeCommand(text)); });
        }));
    }

    // Guards against a damaged snapshot that ends the process instead of being refused.
    void damagedSnapshotsAreReadOrRefused()
    {
        control_state state = makeState();
        for (const auto &each : everyKindOfCommand())
            state.apply(each);
        const std::string whole = state.snapshot();
        CPPUNIT_ASSERT(rc::check("snapshots", [&whole] {
            const auto text = damaged(whole);
            mustReadOrRefuse([&text] {
                auto copy = control_state::fromSnapshot(text);
                for (const auto &each : everyKindOfCommand())
                    copy.apply(each);
                static_cast<void>(copy.snapshot());
            });
        }));
    }

    // Guards against an operator's change that ends the process or half applies.
    void damagedChangesAreReadOrRefused()
    {
        CPPUNIT_ASSERT(rc::check("changes", [] {
            const auto commands = everyKindOfCommand();
            const auto change = std::get<change_command>(commands.at(0).body).request;
            const auto text = damaged(writeJson(toJson(change)));
            mustReadOrRefuse([&text] {
                control_state state = makeState();
                const auto read = fromJson<change_request>(parseJson(text, maximumTextBytes));
                const auto result = state.apply({start, change_command{read, result_code::ok, ""}});
                const auto answer = std::get<change_answer>(result);
                RC_ASSERT(answer.revision.number() == (answer.code == result_code::ok ? 2U : 1U));
            });
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(command_codec_test);
