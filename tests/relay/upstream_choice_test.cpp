#include "kingcuptiller/relay/shared_retry_budget.h"
#include "kingcuptiller/relay/upstream_choice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>

using namespace kingcuptiller;

namespace {

const service_name lookups("lookups");

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
        upstream_life incarnation;
        incarnation.id = upstream_id(id);
        incarnation.bornMs = 1;
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

    // Sends one request to its end.
    std::string serve(const std::string &object, milliseconds elapsed = milliseconds(300),
                      upstream_attempt_outcome outcome = upstream_attempt_outcome::answered)
    {
        std::string id = choose(object);
        if (id.empty())
            return id;
        const upstream_attempt_record cacheState =
            choices.attemptStarted(upstream_id(id), object, now);
        now += elapsed;
        choices.attemptFinished(upstream_id(id), cacheState, outcome, elapsed, std::nullopt, now);
        return id;
    }

    // Lets the start pass, so that the spread at the beginning does not matter.
    void warmUp()
    {
        for (int i = 0; i < 40; ++i)
            serve("object-" + std::to_string(i));
    }

    // The same without teaching anything about the upstreams.
    void markAllUsed()
    {
        static_cast<void>(choose());
        now += std::chrono::seconds(20);
        for (const upstream_life &incarnation : view.upstreams) {
            const upstream_attempt_record cacheState =
                choices.attemptStarted(incarnation.id, "", now);
            choices.attemptFinished(incarnation.id, cacheState, upstream_attempt_outcome::abandoned,
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
    CPPUNIT_TEST(requestsWithoutAnObjectDoNotLowerTheTimeOfUncachedOnes);
    CPPUNIT_TEST(fullUpstreamsAreNotChosen);
    CPPUNIT_TEST(queuesStayShorterThanTheLatencyTarget);
    CPPUNIT_TEST(popularObjectUsesOtherUpstreamsWhileSlotsAreFree);
    CPPUNIT_TEST(queueTimeFollowsMeasuredRequests);
    CPPUNIT_TEST(retriesOfAllEntriesStayWithinTheBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against losing the speed of an upstream that knows the object.
    void requestsForOneObjectUseTheSameUpstream()
    {
        choice_fixture fixture;
        fixture.warmUp();
        const std::string first = fixture.serve("object-a");
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT_EQUAL(first, fixture.serve("object-a"));
    }

    // Guards against upstreams that forget all objects, because each entry brings its own ones:
    // they answered three times slower, and a short overload did not end any more.
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

    // The same within one entry: a request does not leave its object's first upstream for a small
    // difference of load, which would teach the object to all upstreams in turn.
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

    // Guards against an overload in which all requests wait until they are late, and some until
    // their time is over, so that work is done in vain.
    void queuesStayShorterThanTheLatencyTarget()
    {
        choice_fixture fixture;
        fixture.markAllUsed();
        std::map<std::string, int> sent;
        for (std::string id = fixture.choose("a"); !id.empty(); id = fixture.choose("a")) {
            static_cast<void>(fixture.choices.attemptStarted(upstream_id(id), "a", fixture.now));
            ++sent[id];
        }
        // 4 slots with 300 ms for each request; the target is 600 ms, of which 0.8 times is waited.
        for (const auto &[id, requests] : sent)
            CPPUNIT_ASSERT_MESSAGE(id, requests <= 4 + 7);
    }

    // Guards against refusals for one object's sake while most upstreams are idle.
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

    // Guards against queues that are taken for short because their requests are slow: upstreams
    // that have forgotten their objects work three times longer.
    void queueTimeFollowsMeasuredRequests()
    {
        const auto queueTime = [](milliseconds each) {
            choice_fixture fixture;
            fixture.markAllUsed();
            // Its slots are all busy, so nothing is learned about single requests.
            for (int i = 0; i < 100; ++i) {
                const upstream_attempt_record sending{object_cache_state::cached, 1};
                fixture.choices.attemptFinished(upstream_id("home-0"), sending,
                                                upstream_attempt_outcome::answered, 2 * each,
                                                upstream_load_report{4, 4, 4}, fixture.now);
            }
            for (const upstream_life &incarnation : fixture.view.upstreams) {
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

    // Guards against paying for bytes between regions without need.
    void homeRegionIsPreferredWhileItHasCapacity()
    {
        choice_fixture fixture;
        fixture.warmUp();
        for (int i = 0; i < 20; ++i) {
            const std::string id = fixture.serve("object-" + std::to_string(i));
            CPPUNIT_ASSERT_MESSAGE(id, id.starts_with("home"));
        }
    }

    // Guards against requests to a zone that is being emptied.
    void evacuatedZonesGetNoRequests()
    {
        choice_fixture fixture;
        fixture.view.evacuated.insert(zone_name("home-a"));
        fixture.choices.update(fixture.view, fixture.routes, fixture.now);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(fixture.serve("object").starts_with("far"));
    }

    // Guards against a retry at the upstream that has just failed the request.
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

    // Guards against upstreams that get nothing for the rest of the day after a few bad seconds.
    void upstreamIsUsedAgainAfterFailuresHaveAged()
    {
        choice_fixture fixture;
        fixture.warmUp();
        const std::string preferredId = fixture.serve("object");
        for (int i = 0; i < 8; ++i) {
            const upstream_attempt_record sending =
                fixture.choices.attemptStarted(upstream_id(preferredId), "object", fixture.now);
            fixture.now += milliseconds(1'500);
            fixture.choices.attemptFinished(upstream_id(preferredId), sending,
                                            upstream_attempt_outcome::timed_out,
                                            milliseconds(1'500), std::nullopt, fixture.now);
        }
        CPPUNIT_ASSERT(fixture.choose("object") != preferredId);
        fixture.now += std::chrono::seconds(30);
        CPPUNIT_ASSERT_EQUAL(preferredId, fixture.choose("object"));
    }

    // Guards against sending on to an upstream to which no connection can be made.
    void failingUpstreamIsAvoided()
    {
        choice_fixture fixture;
        fixture.warmUp();
        const std::string unreachableId =
            fixture.serve("object", milliseconds(1), upstream_attempt_outcome::unreachable);
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(fixture.serve("object", milliseconds(50)) != unreachableId);
    }

    // Guards against upstreams that join and stay idle because they know no objects.
    void newUpstreamGetsARequest()
    {
        choice_fixture fixture;
        fixture.warmUp();
        fixture.add("home-new", "home-a");
        fixture.choices.update(fixture.view, fixture.routes, fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::string("home-new"), fixture.serve("object-1"));
    }

    // Guards against crashing a cold upstream: two entries share 8 requests a second.
    void coldUpstreamGetsNoMoreThanItsRate()
    {
        choice_fixture fixture;
        for (upstream_life &incarnation : fixture.view.upstreams) {
            incarnation.sequence = 1;
            incarnation.coldFor = milliseconds(3'000);
        }
        fixture.choices.update(fixture.view, fixture.routes, fixture.now);
        std::map<std::string, int> sent;
        for (int i = 0; i < 1'000; ++i)
            ++sent[fixture.serve("object-" + std::to_string(i % 7), milliseconds(1))];
        for (const upstream_life &incarnation : fixture.view.upstreams)
            CPPUNIT_ASSERT_MESSAGE(incarnation.id.text(), sent[incarnation.id.text()] <= 5);
    }

    // Guards against a cold upstream that gets its first request from all entries at once.
    void manyEntriesStayWithinTheRateOfAColdUpstream()
    {
        constexpr int entries = 31;
        constexpr double coldRequestsPerSecond = 5.9;
        constexpr double maxRequests = coldRequestsPerSecond * 1.5 + 8;
        traffic_configuration configuration;
        configuration.services = {{lookups, 390, milliseconds(3'000), coldRequestsPerSecond}};
        const route_table routes(configuration);
        choice_fixture fixture;
        fixture.view.entries.resize(entries);
        fixture.view.upstreams.resize(1);
        fixture.view.upstreams.front().coldFor = milliseconds(3'000);
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

    // Guards against the fault by which probes of routes lowered the time expected of real work.
    void requestsWithoutAnObjectDoNotLowerTheTimeOfUncachedOnes()
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

    // Guards against queues in which no request is answered in time.
    void fullUpstreamsAreNotChosen()
    {
        choice_fixture fixture;
        int chosenCount = 0;
        for (std::string id = fixture.choose("object"); !id.empty();
             id = fixture.choose("object")) {
            static_cast<void>(
                fixture.choices.attemptStarted(upstream_id(id), "object", fixture.now));
            // Four slots each; with over four more waiting for a slot an upstream is surely full.
            CPPUNIT_ASSERT(++chosenCount <= 6 * 4 * 5);
        }
        CPPUNIT_ASSERT(chosenCount >= 6 * 4);
    }

    // Guards against a retry storm: seven entries, all requests fail, any window of 10 s.
    void retriesOfAllEntriesStayWithinTheBudget()
    {
        const retry_limits limits;
        const instant begin{std::chrono::seconds(100)};
        int retries = 0;
        int requests = 0;
        for (int entry = 0; entry < 7; ++entry) {
            shared_retry_budget budget(limits);
            budget.setEntries(7);
            for (int i = 0; i < 1'000; ++i) {
                const instant now = begin + milliseconds(10 * i);
                budget.request(lookups, now);
                ++requests;
                while (budget.spend(lookups, now))
                    ++retries;
            }
        }
        CPPUNIT_ASSERT(retries > 0);
        CPPUNIT_ASSERT(retries <= limits.share * requests + limits.slack);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_choice_test);
