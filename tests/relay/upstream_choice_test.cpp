#include "kingcuptiller/relay/shared_retry_budget.h"
#include "kingcuptiller/relay/upstream_choice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>

using namespace kingcuptiller;

namespace {

const service_name lookups("lookups");

// An entry in the region "home" with three upstreams each in the regions "home" and "far". The
// clock is simulated.
struct choice_fixture
{
    choice_fixture()
        : choices(settings())
    {
        traffic_configuration configuration;
        configuration.services = {{lookups, 390, milliseconds(3'000), 8}};
        routes = route_table(configuration);
        for (int i = 0; i < 3; ++i) {
            add("home-" + std::to_string(i), "home-a");
            add("far-" + std::to_string(i), "far-a");
        }
        view.entries.resize(2);
        choices.update(view, routes, now);
    }

    static upstream_choice_settings settings()
    {
        upstream_choice_settings result;
        result.region = region_name("home");
        result.zone = zone_name("home-a");
        result.regions = {{zone_name("home-a"), region_name("home")},
                          {zone_name("far-a"), region_name("far")}};
        return result;
    }

    void add(const std::string &id, const std::string &zone)
    {
        upstream_incarnation incarnation;
        incarnation.id = upstream_id(id);
        incarnation.startTimeMs = 1;
        incarnation.address = endpoint_address("10.0.0.1:80");
        incarnation.service = lookups;
        incarnation.zone = zone_name(zone);
        incarnation.slots = 4;
        view.upstreams.push_back(incarnation);
    }

    std::string choose(const std::string &object = "", std::set<upstream_id> triedUpstreams = {},
                       std::optional<region_name> previousRegion = std::nullopt)
    {
        choice_failure reason;
        const auto chosen = choices.choose({lookups,
                                            object,
                                            {},
                                            milliseconds(600),
                                            milliseconds(4'000),
                                            std::move(triedUpstreams),
                                            std::move(previousRegion)},
                                           now, reason);
        return chosen ? chosen->incarnation.id.text() : std::string();
    }

    // Chooses an upstream for a request and records the result of the attempt. Returns the
    // upstream's id, or an empty text when none was chosen.
    std::string serve(const std::string &object, milliseconds elapsed = milliseconds(300),
                      upstream_attempt_outcome outcome = upstream_attempt_outcome::answered)
    {
        std::string id = choose(object);
        if (id.empty())
            return id;
        const upstream_attempt_record attempt =
            choices.attemptStarted(upstream_id(id), object, now);
        now += elapsed;
        choices.attemptFinished(upstream_id(id), attempt, outcome, elapsed, std::nullopt, now);
        return id;
    }

    // Serves requests until no upstream of the home region counts as unused.
    void warmUp()
    {
        for (int i = 0; i < 40; ++i)
            serve("object-" + std::to_string(i));
    }

    // Marks all upstreams as used without changing their statistics.
    void markAllUsed()
    {
        static_cast<void>(choose());
        now += std::chrono::seconds(20);
        for (const upstream_incarnation &incarnation : view.upstreams) {
            const upstream_attempt_record attempt = choices.attemptStarted(incarnation.id, "", now);
            choices.attemptFinished(incarnation.id, attempt, upstream_attempt_outcome::abandoned,
                                    milliseconds(1), std::nullopt, now);
        }
    }

    fleet_view view;
    route_table routes;
    instant now{std::chrono::seconds(100)};
    upstream_choice choices;
};

} // namespace

class upstream_choice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_choice_test);
    CPPUNIT_TEST(requestsForOneObjectUseTheSameUpstream);
    CPPUNIT_TEST(entriesChooseTheSameUpstreamForAnObject);
    CPPUNIT_TEST(objectsStayOnFewUpstreamsUnderLoad);
    CPPUNIT_TEST(homeRegionIsPreferredWhileItHasCapacity);
    CPPUNIT_TEST(evacuatedZonesGetNoRequests);
    CPPUNIT_TEST(triedUpstreamsAreNotChosenAgain);
    CPPUNIT_TEST(failingUpstreamIsAvoided);
    CPPUNIT_TEST(upstreamIsUsedAgainAfterFailuresHaveAged);
    CPPUNIT_TEST(newUpstreamGetsARequest);
    CPPUNIT_TEST(coldUpstreamGetsNoMoreThanItsRate);
    CPPUNIT_TEST(manyEntriesStayWithinTheRateOfAColdUpstream);
    CPPUNIT_TEST(requestsWithoutAnObjectDoNotChangeTheTimeOfUncachedObjects);
    CPPUNIT_TEST(fullUpstreamsAreNotChosen);
    CPPUNIT_TEST(queuesStayShorterThanTheLatencyTarget);
    CPPUNIT_TEST(popularObjectUsesOtherUpstreamsWhileSlotsAreFree);
    CPPUNIT_TEST(queueTimeFollowsMeasuredRequests);
    CPPUNIT_TEST(retriesOfAllEntriesStayWithinTheBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that miss the cache of the upstream that holds their object.
    void requestsForOneObjectUseTheSameUpstream()
    {
        choice_fixture fixture;
        fixture.warmUp();
        const std::string first = fixture.serve("object-a");
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT_EQUAL(first, fixture.serve("object-a"));
    }

    // Guards against entries that send one object to different upstreams. The caches of all
    // upstreams overflowed, answers took three times as long, and a short overload never ended.
    void entriesChooseTheSameUpstreamForAnObject()
    {
        choice_fixture one;
        choice_fixture other;
        one.warmUp();
        other.warmUp();
        for (int i = 0; i < 40; ++i) {
            const std::string object = "object-" + std::to_string(i);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(object, one.serve(object), other.serve(object));
        }
    }

    // Guards against requests that leave their object's preferred upstream for a small difference
    // in load, which would put the object into the caches of all upstreams.
    void objectsStayOnFewUpstreamsUnderLoad()
    {
        for (int i = 0; i < 20; ++i) {
            const std::string object = "new-" + std::to_string(i);
            choice_fixture fixture;
            fixture.markAllUsed();
            const std::string first = fixture.choose(object);
            for (int slot = 0; slot < 4; ++slot)
                static_cast<void>(fixture.choices.attemptStarted(
                    upstream_id(first), "other-" + std::to_string(slot), fixture.now));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(object, first, fixture.choose(object));
        }
    }

    // Guards against queues so long that all requests miss their latency target and some time out
    // after work was spent on them.
    void queuesStayShorterThanTheLatencyTarget()
    {
        choice_fixture fixture;
        fixture.markAllUsed();
        std::map<std::string, int> sent;
        for (std::string id = fixture.choose("a"); !id.empty(); id = fixture.choose("a")) {
            static_cast<void>(fixture.choices.attemptStarted(upstream_id(id), "a", fixture.now));
            ++sent[id];
        }
        // 4 slots with 300 ms per request. A request may wait for 0.8 of its 600 ms latency target.
        for (const auto &[id, requests] : sent)
            CPPUNIT_ASSERT_MESSAGE(id, requests <= 4 + 7);
    }

    // Guards against refusing requests for a popular object while most upstreams are idle.
    void popularObjectUsesOtherUpstreamsWhileSlotsAreFree()
    {
        choice_fixture fixture;
        fixture.markAllUsed();
        std::set<std::string> used;
        for (std::string id = fixture.choose("a"); !id.empty(); id = fixture.choose("a")) {
            static_cast<void>(fixture.choices.attemptStarted(upstream_id(id), "a", fixture.now));
            used.insert(id);
        }
        CPPUNIT_ASSERT(4 * used.size() > fixture.view.upstreams.size());
    }

    // Guards against underestimating the queue time of slow upstreams: requests for objects that
    // are not cached take three times as long.
    void queueTimeFollowsMeasuredRequests()
    {
        const auto queueTime = [](milliseconds each) {
            choice_fixture fixture;
            fixture.markAllUsed();
            // All slots are busy, so these attempts update the queue time but not the service time.
            for (int i = 0; i < 100; ++i) {
                const upstream_attempt_record attempt{object_cache_state::cached, 1};
                fixture.choices.attemptFinished(upstream_id("home-0"), attempt,
                                                upstream_attempt_outcome::answered, 2 * each,
                                                upstream_load_report{4, 4, 4}, fixture.now);
            }
            for (const upstream_incarnation &incarnation : fixture.view.upstreams) {
                for (int request = 0; request < 5; ++request)
                    static_cast<void>(
                        fixture.choices.attemptStarted(incarnation.id, "", fixture.now));
            }
            choice_failure reason;
            const auto chosen = fixture.choices.choose(
                {lookups, "a", {}, milliseconds(4'000), milliseconds(4'000), {}}, fixture.now,
                reason);
            CPPUNIT_ASSERT(chosen.has_value());
            return chosen->queueTime;
        };
        CPPUNIT_ASSERT(queueTime(milliseconds(900)) >= 2 * queueTime(milliseconds(300)));
    }

    // Guards against needless traffic between regions, which is billed.
    void homeRegionIsPreferredWhileItHasCapacity()
    {
        choice_fixture fixture;
        fixture.warmUp();
        for (int i = 0; i < 20; ++i) {
            const std::string id = fixture.serve("object-" + std::to_string(i));
            CPPUNIT_ASSERT_MESSAGE(id, id.starts_with("home"));
        }
    }

    // Guards against requests to an evacuated availability zone.
    void evacuatedZonesGetNoRequests()
    {
        choice_fixture fixture;
        fixture.view.evacuated.insert(zone_name("home-a"));
        fixture.choices.update(fixture.view, fixture.routes, fixture.now);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(fixture.serve("object").starts_with("far"));
    }

    // Guards against a retry at an upstream where an earlier attempt of the request failed.
    void triedUpstreamsAreNotChosenAgain()
    {
        choice_fixture fixture;
        std::set<upstream_id> triedUpstreams;
        std::optional<region_name> previous;
        for (std::size_t i = 0; i < fixture.view.upstreams.size(); ++i) {
            const std::string id = fixture.choose("object", triedUpstreams, previous);
            CPPUNIT_ASSERT(!id.empty());
            CPPUNIT_ASSERT(triedUpstreams.insert(upstream_id(id)).second);
            previous = region_name(id.substr(0, id.find('-')));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), fixture.choose("object", triedUpstreams));
    }

    // Guards against upstreams that get no more requests after a few seconds of timeouts.
    void upstreamIsUsedAgainAfterFailuresHaveAged()
    {
        choice_fixture fixture;
        fixture.warmUp();
        const std::string preferredId = fixture.serve("object");
        for (int i = 0; i < 8; ++i) {
            const upstream_attempt_record attempt =
                fixture.choices.attemptStarted(upstream_id(preferredId), "object", fixture.now);
            fixture.now += milliseconds(1'500);
            fixture.choices.attemptFinished(upstream_id(preferredId), attempt,
                                            upstream_attempt_outcome::timed_out,
                                            milliseconds(1'500), std::nullopt, fixture.now);
        }
        CPPUNIT_ASSERT(fixture.choose("object") != preferredId);
        fixture.now += std::chrono::seconds(30);
        CPPUNIT_ASSERT_EQUAL(preferredId, fixture.choose("object"));
    }

    // Guards against further requests to an upstream that refuses connections.
    void failingUpstreamIsAvoided()
    {
        choice_fixture fixture;
        fixture.warmUp();
        const std::string unreachableId =
            fixture.serve("object", milliseconds(1), upstream_attempt_outcome::unreachable);
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(fixture.serve("object", milliseconds(50)) != unreachableId);
    }

    // Guards against new upstreams that stay idle because their caches are empty.
    void newUpstreamGetsARequest()
    {
        choice_fixture fixture;
        fixture.warmUp();
        fixture.add("home-new", "home-a");
        fixture.choices.update(fixture.view, fixture.routes, fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::string("home-new"), fixture.serve("object-1"));
    }

    // Guards against overloading a cold upstream (just started, with empty caches). Two entries
    // share a rate of 8 requests per second.
    void coldUpstreamGetsNoMoreThanItsRate()
    {
        choice_fixture fixture;
        for (upstream_incarnation &incarnation : fixture.view.upstreams) {
            incarnation.sequence = 1;
            incarnation.coldRemaining = milliseconds(3'000);
        }
        fixture.choices.update(fixture.view, fixture.routes, fixture.now);
        std::map<std::string, int> sent;
        for (int i = 0; i < 1'000; ++i)
            ++sent[fixture.serve("object-" + std::to_string(i % 7), milliseconds(1))];
        for (const upstream_incarnation &incarnation : fixture.view.upstreams)
            CPPUNIT_ASSERT_MESSAGE(incarnation.id.text(), sent[incarnation.id.text()] <= 5);
    }

    // Guards against all entries sending their first request to a cold upstream at once, and
    // against entries that use the part of others which are about to serve or to return.
    void manyEntriesStayWithinTheRateOfAColdUpstream()
    {
        for (const entry_state others :
             {entry_state::serving, entry_state::joining, entry_state::absent})
            checkRateOfColdUpstream(others);
    }

    static void checkRateOfColdUpstream(entry_state others)
    {
        constexpr int entries = 31;
        constexpr double coldRequestsPerSecond = 5.9;
        constexpr double maxRequests = coldRequestsPerSecond * 1.5 + 8;
        traffic_configuration configuration;
        configuration.services = {{lookups, 390, milliseconds(3'000), coldRequestsPerSecond}};
        const route_table routes(configuration);
        choice_fixture fixture;
        fixture.view.entries.resize(entries);
        for (auto entry = fixture.view.entries.begin() + 1; entry != fixture.view.entries.end();
             ++entry)
            entry->state = others;
        fixture.view.upstreams.resize(1);
        fixture.view.upstreams.front().coldRemaining = milliseconds(3'000);
        int sent = 0;
        for (int entry = 0; entry < entries; ++entry) {
            upstream_choice_settings settings = choice_fixture::settings();
            settings.entrySeed = static_cast<std::uint64_t>(entry);
            upstream_choice choices(settings);
            choices.update(fixture.view, routes, fixture.now);
            for (int i = 0; i < 100; ++i) {
                choice_failure reason;
                const instant now = fixture.now + milliseconds(10 * i);
                const auto chosen = choices.choose(
                    {lookups, "a", {}, milliseconds(600), milliseconds(4'000), {}}, now, reason);
                if (!chosen)
                    continue;
                static_cast<void>(choices.attemptStarted(chosen->incarnation.id, "a", now));
                ++sent;
            }
        }
        CPPUNIT_ASSERT(sent > 0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent <= maxRequests);
    }

    // Guards against fast requests without an object, such as route probes, lowering the expected
    // time of requests for objects that are not cached.
    void requestsWithoutAnObjectDoNotChangeTheTimeOfUncachedObjects()
    {
        choice_fixture fixture;
        fixture.warmUp();
        for (int i = 0; i < 200; ++i)
            fixture.serve("", milliseconds(3));
        choice_failure reason;
        const auto chosen = fixture.choices.choose(
            {lookups, "never-seen", {}, milliseconds(600), milliseconds(4'000), {}}, fixture.now,
            reason);
        CPPUNIT_ASSERT(chosen);
        CPPUNIT_ASSERT(chosen->expectedTime >= milliseconds(150));
    }

    // Guards against requests to upstreams whose queue is full.
    void fullUpstreamsAreNotChosen()
    {
        choice_fixture fixture;
        int chosenCount = 0;
        for (std::string id = fixture.choose("object"); !id.empty();
             id = fixture.choose("object")) {
            static_cast<void>(
                fixture.choices.attemptStarted(upstream_id(id), "object", fixture.now));
            // Six upstreams with four slots. With four waiting requests per slot, each is full.
            CPPUNIT_ASSERT(++chosenCount <= 6 * 4 * 5);
        }
        CPPUNIT_ASSERT(chosenCount >= 6 * 4);
    }

    // Guards against a retry storm: when all requests of seven entries fail for 10 s, their retries
    // stay within the shared budget.
    void retriesOfAllEntriesStayWithinTheBudget()
    {
        const retry_budget_limits limits;
        const instant begin{std::chrono::seconds(100)};
        int retries = 0;
        int requests = 0;
        for (int entry = 0; entry < 7; ++entry) {
            shared_retry_budget budget(limits);
            budget.setEntryCount(7);
            for (int i = 0; i < 1'000; ++i) {
                const instant now = begin + milliseconds(10 * i);
                budget.recordRequest(lookups, now);
                ++requests;
                while (budget.takeRetry(lookups, now))
                    ++retries;
            }
        }
        CPPUNIT_ASSERT(retries > 0);
        CPPUNIT_ASSERT(retries <= limits.retriesPerRequest * requests + limits.additionalRetries);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_choice_test);
