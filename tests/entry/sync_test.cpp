#include "kingcuptiller/entry/control_link.h"
#include "kingcuptiller/entry/entry_snapshot.h"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <map>

using namespace kingcuptiller;

namespace {

constexpr milliseconds lookupLifetime{5000};

instant at(std::int64_t time)
{
    return instant(milliseconds(time));
}

entry_sync_response answerOf(std::uint64_t epoch, std::uint64_t revision, std::uint64_t assignment)
{
    entry_sync_response response;
    response.epoch = epoch_number(epoch);
    response.lease = milliseconds(2500);
    response.revision = revision_number(revision);
    response.newConfiguration =
        configuration{.revision = response.revision, .classes = {}, .stops = {}};
    response.assignment = assignment_sequence(assignment);
    response.newAssignments.emplace();
    return response;
}

std::string refusalAt(const entry_snapshot &snapshot, std::int64_t time)
{
    const auto refusal = snapshot.refusal(at(time), lookupLifetime);
    return refusal ? std::string(name(*refusal)) : "serves";
}

} // namespace

class sync_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(sync_test);
    CPPUNIT_TEST(nothingGoesBack);
    CPPUNIT_TEST(incompleteAnswerChangesNothing);
    CPPUNIT_TEST(leaseCountsFromTheSending);
    CPPUNIT_TEST(releasedEntryServesUntilLookupsHaveExpired);
    CPPUNIT_TEST(startedEntryTakesNoWorkBeforeItHasSlots);
    CPPUNIT_TEST(linkFollowsTheLeader);
    CPPUNIT_TEST(linkEndsWhenNoHostAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an entry that goes back to an older configuration, epoch or assignment, for
    // example through an isolated former leader.
    void nothingGoesBack()
    {
        CPPUNIT_ASSERT(rc::check("syncs in any order", [] {
            const auto numbers = *rc::gen::container<std::vector<std::uint8_t>>(
                rc::gen::inRange<std::uint8_t>(0, 6));
            entry_snapshot current;
            for (std::size_t i = 0; i + 2 < numbers.size(); i += 3) {
                const auto response = answerOf(numbers[i], numbers[i + 1], numbers[i + 2]);
                const bool older = response.epoch < current.epoch
                    || response.revision < current.revision
                    || response.assignment < current.assignment;
                const auto next = applySync(current, response, at(0), at(1));
                RC_ASSERT(next.has_value() == !older);
                if (next)
                    current = *next;
                RC_ASSERT(current.current->revision == current.revision);
            }
        }));
    }

    // Guards against a revision that is reported as applied without being so.
    void incompleteAnswerChangesNothing()
    {
        entry_sync_response lacksConfiguration = answerOf(1, 1, 1);
        lacksConfiguration.newConfiguration.reset();
        entry_sync_response otherConfiguration = answerOf(1, 2, 1);
        otherConfiguration.newConfiguration->revision = revision_number(1);
        entry_sync_response lacksAssignments = answerOf(1, 1, 1);
        lacksAssignments.newAssignments.reset();
        for (const auto &response : {lacksConfiguration, otherConfiguration, lacksAssignments})
            CPPUNIT_ASSERT(!applySync(entry_snapshot(), response, at(0), at(1)));
    }

    // Guards against a lease that the entry holds longer than control grants it.
    void leaseCountsFromTheSending()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("entry_starting"), refusalAt(entry_snapshot(), 0));
        const auto first = *applySync(entry_snapshot(), answerOf(1, 1, 1), at(100), at(2000));
        CPPUNIT_ASSERT_EQUAL(std::string("serves"), refusalAt(first, 2599));
        CPPUNIT_ASSERT_EQUAL(std::string("entry_without_lease"), refusalAt(first, 2600));
        const auto late = *applySync(first, answerOf(1, 1, 1), at(50), at(2500));
        CPPUNIT_ASSERT_EQUAL(std::string("entry_without_lease"), refusalAt(late, 2600));
    }

    // Guards against a stop that refuses clients who may still use an old look-up answer.
    void releasedEntryServesUntilLookupsHaveExpired()
    {
        entry_snapshot current = *applySync(entry_snapshot(), answerOf(1, 1, 1), at(0), at(1));
        entry_sync_response released = answerOf(1, 1, 1);
        released.released = true;
        for (std::int64_t time = 1000; time <= 6000; time += 200)
            current = *applySync(current, released, at(time), at(time));
        CPPUNIT_ASSERT_EQUAL(std::string("serves"), refusalAt(current, 5999));
        CPPUNIT_ASSERT_EQUAL(std::string("entry_leaving"), refusalAt(current, 6000));
        const auto back = *applySync(current, answerOf(1, 1, 1), at(6100), at(6100));
        CPPUNIT_ASSERT_EQUAL(std::string("serves"), refusalAt(back, 6200));
    }

    // Guards against refusals as no_upstream by an entry that has a lease and no slots yet, as in
    // the first second after a restart; its clients could be served by other entries.
    void startedEntryTakesNoWorkBeforeItHasSlots()
    {
        const auto workAt = [](const entry_snapshot &snapshot, std::int64_t time) {
            const auto refusal = snapshot.workRefusal(at(time), lookupLifetime);
            return refusal ? std::string(name(*refusal)) : "serves";
        };
        const auto first = *applySync(entry_snapshot(), answerOf(1, 1, 1), at(0), at(1));
        CPPUNIT_ASSERT_EQUAL(std::string("serves"), refusalAt(first, 100));
        CPPUNIT_ASSERT_EQUAL(std::string("entry_starting"), workAt(first, 100));
        auto granting = answerOf(1, 1, 2);
        granting.newAssignments->emplace_back().limit = 1;
        const auto granted = *applySync(first, granting, at(200), at(201));
        CPPUNIT_ASSERT_EQUAL(std::string("serves"), workAt(granted, 300));
        // A fleet without upstreams says so after 3 s.
        const auto renewed = *applySync(first, answerOf(1, 1, 1), at(2000), at(2001));
        CPPUNIT_ASSERT_EQUAL(std::string("serves"), workAt(renewed, 3001));
    }

    // Guards against an entry that loses its lease because it keeps asking the wrong host, and
    // against measuring the lease from an earlier try.
    void linkFollowsTheLeader()
    {
        std::int64_t clock = 0;
        std::vector<std::string> asked;
        control_link link(
            {endpoint_address("c1"), endpoint_address("c2"), endpoint_address("c3")},
            [&](const endpoint_address &host, std::string_view, const Json::Value &,
                milliseconds) -> Json::Value {
                asked.push_back(host.text());
                clock += 10;
                if (host.text() == "c1")
                    throw not_leader_error(endpoint_address("c3"));
                if (host.text() == "c2")
                    throw not_connected_error(result_code::peer_unreachable, "down");
                return Json::Value(Json::objectValue);
            },
            [&clock] { return at(clock); });
        const auto answer = link.call("entry_sync", Json::Value(), milliseconds(100));
        CPPUNIT_ASSERT(answer.sentAt == at(10));
        link.call("entry_sync", Json::Value(), milliseconds(100));
        CPPUNIT_ASSERT(asked == std::vector<std::string>({"c1", "c3", "c3"}));
    }

    // Guards against a call that goes round forever while there is no leader, and against asking
    // every host about a call that is malformed.
    void linkEndsWhenNoHostAnswers()
    {
        const std::map<std::string, int> cases = {{"not_leader", 3}, {"message_malformed", 1}};
        for (const auto &[code, expected] : cases) {
            int calls = 0;
            control_link link(
                {endpoint_address("c1"), endpoint_address("c2"), endpoint_address("c3")},
                [&, wanted = resultCodeFromName(code)](const endpoint_address &, std::string_view,
                                                       const Json::Value &,
                                                       milliseconds) -> Json::Value {
                    ++calls;
                    if (wanted == result_code::not_leader)
                        throw not_leader_error(endpoint_address());
                    throw error(wanted, "refused");
                },
                [] { return at(0); });
            CPPUNIT_ASSERT_THROW(link.call("entry_sync", Json::Value(), milliseconds(100)), error);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(code, expected, calls);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sync_test);
