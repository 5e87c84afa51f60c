#include "kingcuptiller/relay/load_exchange.h"
#include "kingcuptiller/relay/upstream_choice.h"
#include "tests/relay/one_region.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cstddef>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

const service_name lookups("lookups");
constexpr std::uint32_t slots = 4;
const instant start = instant() + milliseconds(1'000'000);

// Entries of the region, and the bounds for those of them that send a first request to an upstream
// that none of them has used.
struct first_use_case
{
    std::size_t entries = 0;
    std::size_t fewest = 0;
    std::size_t most = 0;
};

const std::vector<first_use_case> firstUseCases = {{1, 1, 1}, {3, 3, 3}, {12, 1, 7}, {36, 1, 9}};

} // namespace

class load_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_exchange_test);
    CPPUNIT_TEST(messagesAreReadAsTheyWereWritten);
    CPPUNIT_TEST(anythingElseIsNoMessage);
    CPPUNIT_TEST(newestReportOfEachUpstreamIsShared);
    CPPUNIT_TEST(choiceAvoidsALoadThatAnotherEntryHasSeen);
    CPPUNIT_TEST(fewEntriesSendAFirstRequestToANewUpstream);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesAreReadAsTheyWereWritten()
    {
        const std::vector<shared_load_report> reports = {
            {upstream_fingerprint(0xfedcba9876543210U), {3, 7, 9, 250}, milliseconds(180)},
            {upstream_fingerprint(1), {0, 0, 1, 100}, milliseconds(0)},
        };
        const auto read = decodeLoadReports(encodeLoadReports(reports));
        CPPUNIT_ASSERT(read && *read == reports);
    }

    // Guards against loads out of datagrams that nobody of the fleet has sent.
    void anythingElseIsNoMessage()
    {
        const std::string message =
            encodeLoadReports({{upstream_fingerprint(7), {1, 2, 3, 100}, milliseconds(5)}});
        CPPUNIT_ASSERT(!decodeLoadReports(""));
        CPPUNIT_ASSERT(!decodeLoadReports("\x02" + message.substr(1)));
        for (std::size_t size = 2; size < message.size(); ++size)
            CPPUNIT_ASSERT(!decodeLoadReports(message.substr(0, size)));
        std::mt19937 random(7);
        for (int i = 0; i < 1'000; ++i) {
            std::string bytes(random() % 100, '\0');
            for (char &each : bytes)
                each = static_cast<char>(random());
            const auto reports = decodeLoadReports(bytes);
            CPPUNIT_ASSERT(!reports || reports->size() * 18 + 1 == bytes.size());
        }
    }

    // Guards against sending reports that are out of date, or one report again and again.
    void newestReportOfEachUpstreamIsShared()
    {
        load_report_queue queue;
        const upstream_incarnation one = makeUpstream("u1", lookups, slots);
        const upstream_incarnation other = makeUpstream("u2", lookups, slots);
        queue.add(other, {1, 0, slots}, start - milliseconds(5'000));
        queue.add(one, {1, 0, slots}, start);
        queue.add(one, {4, 9, slots}, start + milliseconds(10));
        const auto reports = queue.take(start + milliseconds(30));
        CPPUNIT_ASSERT((reports
                        == std::vector<shared_load_report>{
                            {fingerprintOf(one), {4, 9, slots}, milliseconds(20)}}));
        CPPUNIT_ASSERT(queue.take(start + milliseconds(40)).empty());
    }

    // Load: an upstream that other entries have filled. Guards against choosing it by what this
    // entry alone knows.
    void choiceAvoidsALoadThatAnotherEntryHasSeen()
    {
        upstream_choice choices(oneRegionSettings());
        fleet_view view;
        for (const std::string id : {"u1", "u2"})
            view.upstreams.push_back(makeUpstream(id, lookups, slots));
        choices.update(view, route_table(traffic_configuration{}), start);
        for (const std::string id : {"u1", "u2"}) {
            const auto attempt = choices.attemptStarted(upstream_id(id), "", start);
            choices.attemptFinished(upstream_id(id), attempt, upstream_attempt_outcome::answered,
                                    milliseconds(400), upstream_load_report{0, 0, slots}, start);
        }
        const instant later = start + milliseconds(2'000);
        choices.applySharedReports(
            {{fingerprintOf(view.upstreams[0]), {slots, 6, slots}, milliseconds(50)}}, later);
        for (int i = 0; i < 20; ++i) {
            upstream_choice_request request;
            request.service = lookups;
            request.latencyTarget = milliseconds(2'000);
            request.remainingTime = milliseconds(5'000);
            choice_failure reason;
            const auto chosen = choices.choose(request, later, reason);
            CPPUNIT_ASSERT(chosen && chosen->incarnation.id == upstream_id("u2"));
        }
        // A report that is older than the own one changes nothing.
        choices.applySharedReports(
            {{fingerprintOf(view.upstreams[1]), {slots, 9, slots}, milliseconds(3'000)}}, later);
        upstream_choice_request request;
        request.service = lookups;
        choice_failure reason;
        const auto chosen = choices.choose(request, later, reason);
        CPPUNIT_ASSERT(chosen && chosen->incarnation.id == upstream_id("u2"));
    }

    // Load: an upstream that joins a region of many entries. Guards against a first request of each
    // of them, none of which finds its object in the cache, and against no request at all.
    void fewEntriesSendAFirstRequestToANewUpstream()
    {
        for (const first_use_case &each : firstUseCases) {
            std::size_t firstUses = 0;
            for (std::size_t entry = 0; entry < each.entries; ++entry)
                firstUses += usesNewUpstream(each.entries, entry) ? 1 : 0;
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of {} entries", firstUses, each.entries),
                                   firstUses >= each.fewest && firstUses <= each.most);
        }
    }

private:
    // Whether an entry prefers an upstream that it has not used to the one that has its object.
    static bool usesNewUpstream(std::size_t entries, std::size_t entry)
    {
        upstream_choice_settings settings = oneRegionSettings();
        settings.entrySeed = 1'000 + entry;
        upstream_choice choices(settings);
        fleet_view view;
        for (std::size_t i = 0; i < entries; ++i)
            view.entries.push_back({endpoint_address(fmt::format("10.0.1.{}:80", i)),
                                    region_name("r"), zone_name("a"), entry_state::serving});
        view.upstreams.push_back(makeUpstream("known", lookups, slots));
        choices.update(view, route_table(traffic_configuration{}), start);
        const auto attempt = choices.attemptStarted(upstream_id("known"), "", start);
        choices.attemptFinished(upstream_id("known"), attempt, upstream_attempt_outcome::answered,
                                milliseconds(10), std::nullopt, start);
        view.upstreams.push_back(makeUpstream("new", lookups, slots));
        choices.update(view, route_table(traffic_configuration{}), start);
        upstream_choice_request request;
        request.service = lookups;
        request.latencyTarget = milliseconds(2'000);
        request.remainingTime = milliseconds(5'000);
        std::set<upstream_id> chosen;
        for (int i = 0; i < 50; ++i) {
            choice_failure reason;
            chosen.insert(choices.choose(request, start, reason)->incarnation.id);
        }
        return chosen == std::set<upstream_id>{upstream_id("new")};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_exchange_test);
