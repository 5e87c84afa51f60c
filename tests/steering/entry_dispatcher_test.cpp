#include "tests/steering/dispatcher_fixture.h"

#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

using namespace kingcuptiller;
using namespace kingcuptiller::test;

namespace {

// Checks that every open attempt holds one slot and no ended attempt does.
void checkUsage(const dispatcher_fixture &fixture)
{
    for (const upstream_usage &each : fixture.dispatcher.usage())
        RC_ASSERT(each.inFlight == fixture.inFlight(each.id));
}

// Checks that no new attempt was sent to an upstream that is leaving or full.
void checkNewAttempts(const dispatcher_fixture &fixture,
                      const std::vector<recorded_attempt> &before)
{
    for (const recorded_attempt &attempt : fixture.openAttempts) {
        if (std::find(before.begin(), before.end(), attempt) != before.end())
            continue;
        const upstream_id &id = attempt.upstream;
        const auto found = std::find_if(fixture.upstreams.begin(), fixture.upstreams.end(),
                                        [&id](const auto &each) { return each.id == id; });
        RC_ASSERT(found != fixture.upstreams.end());
        RC_ASSERT(!found->leaving);
        RC_ASSERT(found->workClass == attempt.workClass);
        RC_ASSERT(fixture.inFlight(id) <= found->limit);
    }
}

// Applies a random change to the assignment: limits fall and rise, and upstreams start leaving, are
// removed or are listed again.
void changeAssignment(dispatcher_fixture &fixture)
{
    for (upstream_assignment &each : fixture.upstreams) {
        each.limit = *rc::gen::inRange<std::uint32_t>(0, 5);
        each.leaving = *rc::gen::inRange(0, 4) == 0;
    }
    // An upstream that is no longer listed must not get new requests, as if it were leaving.
    std::vector<upstream_assignment> listed = fixture.upstreams;
    if (*rc::gen::inRange(0, 3) == 0) {
        listed.pop_back();
        fixture.upstreams.back().leaving = true;
    }
    fixture.dispatcher.applyAssignments(listed, fixture.now);
}

} // namespace

class entry_dispatcher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_dispatcher_test);
    CPPUNIT_TEST(limitsHoldUnderAnySequenceOfEvents);
    CPPUNIT_TEST(retriesStayWithinTheirBudgetWhenEverythingFails);
    CPPUNIT_TEST(onlyIdempotentRequestsAreHedgedOrRetriedAfterTimeout);
    CPPUNIT_TEST(requestsThatDidNotRunAreRetriedElsewhere);
    CPPUNIT_TEST(ejectionLeavesMostUpstreamsOfARegion);
    CPPUNIT_TEST(unreachableDeadlinesAreRefused);
    CPPUNIT_TEST(queuedRequestsAreSentInDeadlineOrder);
    CPPUNIT_TEST(queueIsBounded);
    CPPUNIT_TEST(overloadedClassLeavesGuaranteedConcurrency);
    CPPUNIT_TEST(refusalCodesNameTheCause);
    CPPUNIT_TEST(unknownRegionsDoNotEvadeTheShiftCap);
    CPPUNIT_TEST(fasterUpstreamIsPreferred);
    CPPUNIT_TEST(slowUpstreamIsSkippedWhenWaitingIsFaster);
    CPPUNIT_TEST(acceptedRequestsOfAnOverloadedClassMeetTheTarget);
    CPPUNIT_TEST(limitIncludesRequestsOfThePreviousIncarnation);
    CPPUNIT_TEST(undecidedTicketsExpire);
    CPPUNIT_TEST(refusedRequestsCountAsDemand);
    CPPUNIT_TEST(duplicateTicketIsAnError);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against more requests at an upstream than the entry's limit, new requests to an
    // upstream that is leaving or removed, and leaked slots, under any sequence of events.
    void limitsHoldUnderAnySequenceOfEvents()
    {
        CPPUNIT_ASSERT(rc::check("limits", [] {
            dispatcher_fixture fixture;
            for (const class_name &each : {postings, lookups, revisions}) {
                for (const region_name &region : {home, away, home})
                    fixture.addUpstream(each, region, 3);
            }
            fixture.assign();
            for (int step = 0; step < 300; ++step) {
                const std::vector<recorded_attempt> before = fixture.openAttempts;
                randomStep(fixture);
                checkNewAttempts(fixture, before);
                checkUsage(fixture);
            }
        }));
    }

    // Guards against retries that multiply the requests to a system in which all attempts fail.
    void retriesStayWithinTheirBudgetWhenEverythingFails()
    {
        dispatcher_fixture fixture;
        for (int count = 0; count < 6; ++count)
            fixture.addUpstream(lookups, home, 9);
        fixture.assign();
        int attempts = 0;
        for (int request = 0; request < 1000; ++request) {
            fixture.advanceTime(milliseconds(5));
            decision made = fixture.submit(lookups);
            const ticket_id ticket = fixture.lastTicket;
            // Bounded, so that the test fails instead of hanging if the retry budget is not
            // applied.
            for (int retryCount = 0; isForward(made); ++retryCount) {
                ++attempts;
                fixture.finish(0, attempt_outcome::connect_refused, milliseconds(1));
                if (retryCount == 20) {
                    fixture.dispatcher.abandon(ticket, fixture.now);
                    break;
                }
                made = fixture.dispatcher.retry(ticket, fixture.now);
                fixture.recordDecision(ticket, lookups, made);
            }
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(attempts) + " attempts", attempts <= 1100);
        CPPUNIT_ASSERT_MESSAGE("no request was retried", attempts > 1000);
    }

    // Guards against retrying or hedging a non-idempotent request after an attempt that may have
    // run it.
    void onlyIdempotentRequestsAreHedgedOrRetriedAfterTimeout()
    {
        dispatcher_fixture fixture = measuredFixture();
        for (const class_name &workClass : {postings, lookups, revisions}) {
            static_cast<void>(fixture.submit(workClass));
            const ticket_id ticket = fixture.lastTicket;
            const bool idempotent = workClass == lookups;
            const decision hedge = fixture.dispatcher.hedge(ticket, fixture.now);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(workClass.text(), idempotent, isForward(hedge));
            if (idempotent) {
                const auto &second = std::get<forward_decision>(hedge);
                CPPUNIT_ASSERT(second.upstream->id != fixture.openAttempts.back().upstream);
                fixture.dispatcher.attemptFinished(
                    {ticket, second.attempt, attempt_outcome::failed}, fixture.now);
            }
            fixture.finish(fixture.openAttempts.size() - 1, attempt_outcome::timeout,
                           milliseconds(100));
            const decision retry = fixture.dispatcher.retry(ticket, fixture.now);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(workClass.text(), idempotent, isForward(retry));
            if (!idempotent)
                CPPUNIT_ASSERT(refusal(retry) == result_code::outcome_unknown);
        }
    }

    // Guards against refusing to retry a request that certainly did not run, and against a retry at
    // the upstream that has just failed.
    void requestsThatDidNotRunAreRetriedElsewhere()
    {
        struct test_case
        {
            attempt_outcome outcome;
            bool allowed;
        };
        for (const test_case &each :
             {test_case{attempt_outcome::shed, true},
              test_case{attempt_outcome::connect_refused, true},
              test_case{attempt_outcome::not_sent, true}, test_case{attempt_outcome::failed, false},
              test_case{attempt_outcome::timeout, false},
              test_case{attempt_outcome::cancelled, false}}) {
            dispatcher_fixture fixture = measuredFixture();
            static_cast<void>(fixture.submit(postings));
            const upstream_id first = fixture.openAttempts.back().upstream;
            fixture.finish(fixture.openAttempts.size() - 1, each.outcome, milliseconds(1));
            const decision retry = fixture.dispatcher.retry(fixture.lastTicket, fixture.now);
            CPPUNIT_ASSERT_EQUAL(each.allowed, isForward(retry));
            if (each.allowed)
                CPPUNIT_ASSERT(std::get<forward_decision>(retry).upstream->id != first);
        }
    }

    // Guards against ejecting too many upstreams of a region when all of them fail.
    void ejectionLeavesMostUpstreamsOfARegion()
    {
        dispatcher_fixture fixture;
        for (int count = 0; count < 6; ++count)
            fixture.addUpstream(lookups, home, 9);
        fixture.assign();
        for (int request = 0; request < 200; ++request) {
            static_cast<void>(fixture.submit(lookups, milliseconds(60'000)));
            fixture.finish(0, attempt_outcome::failed, milliseconds(1));
            fixture.dispatcher.abandon(fixture.lastTicket, fixture.now);
        }
        std::set<std::string> used;
        for (int request = 0; request < 36; ++request) {
            if (isForward(fixture.submit(lookups, milliseconds(60'000))))
                used.insert(fixture.openAttempts.back().upstream.text());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), used.size());
    }

    // Guards against accepting requests that cannot be answered before their deadline, and against
    // a latency estimate that was once too high and is never measured again.
    void unreachableDeadlinesAreRefused()
    {
        dispatcher_fixture fixture = measuredFixture();
        CPPUNIT_ASSERT(refusal(fixture.submit(postings, milliseconds(0)))
                       == result_code::deadline_unreachable);
        CPPUNIT_ASSERT(isForward(fixture.submit(postings, milliseconds(5))));
        CPPUNIT_ASSERT(refusal(fixture.submit(postings, milliseconds(5)))
                       == result_code::deadline_unreachable);
        while (isForward(fixture.submit(postings))) { }
        CPPUNIT_ASSERT(refusal(fixture.submit(postings, milliseconds(15)))
                       == result_code::deadline_unreachable);
        CPPUNIT_ASSERT(isQueued(fixture.submit(postings, milliseconds(500))));
        fixture.advanceTime(milliseconds(490));
        bool refusedInQueue = false;
        for (const ready_ticket &each : fixture.takeReady())
            refusedInQueue |= refusal(each.outcome) == result_code::deadline_unreachable;
        CPPUNIT_ASSERT(refusedInQueue);
    }

    // Guards against a queue in which requests with an earlier deadline wait behind later ones.
    void queuedRequestsAreSentInDeadlineOrder()
    {
        dispatcher_fixture fixture;
        fixture.addUpstream(revisions, home, 1);
        fixture.assign();
        static_cast<void>(fixture.submit(revisions));
        std::map<std::int64_t, ticket_id> byDeadline;
        for (const int deadline : {5000, 3000, 4000, 2500}) {
            CPPUNIT_ASSERT(isQueued(fixture.submit(revisions, milliseconds(deadline))));
            byDeadline[deadline] = fixture.lastTicket;
        }
        for (const auto &[deadline, ticket] : byDeadline) {
            CPPUNIT_ASSERT(fixture.takeReady().empty());
            fixture.finish(0, attempt_outcome::answered, milliseconds(10));
            const auto ready = fixture.takeReady();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), ready.size());
            CPPUNIT_ASSERT_EQUAL(ticket, ready.front().ticket);
        }
    }

    // Guards against a queue that grows without bound under overload.
    void queueIsBounded()
    {
        dispatcher_settings settings = dispatcher_fixture::defaultSettings();
        settings.queueLimit = 5;
        dispatcher_fixture fixture(settings);
        fixture.addUpstream(revisions, home, 1);
        fixture.assign();
        decision last;
        for (int request = 0; request < 100; ++request)
            last = fixture.submit(revisions, milliseconds(60'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), fixture.dispatcher.queued());
        CPPUNIT_ASSERT(refusal(last) == result_code::queue_full);
    }

    // Guards against an overloaded class, with more slots than the concurrency limit of the entry,
    // that leaves no concurrency for other classes.
    void overloadedClassLeavesGuaranteedConcurrency()
    {
        for (const class_name &flooded : {postings, lookups, revisions}) {
            dispatcher_settings settings = dispatcher_fixture::defaultSettings();
            settings.concurrency = 60;
            dispatcher_fixture fixture(settings);
            for (const class_name &each : {postings, lookups, revisions})
                fixture.addUpstream(each, home, 100).connectionLimit = 400;
            fixture.assign();
            decision last;
            for (int request = 0; request < 300; ++request)
                last = fixture.submit(flooded);
            CPPUNIT_ASSERT(refusal(last) == result_code::class_limit);
            for (const class_name &other : {postings, lookups, revisions}) {
                // A concurrency of 36 is guaranteed: 6 to each class, and 18 in proportion to worth
                // (10, 3 and 1).
                for (int request = 0; other != flooded && request < 7; ++request)
                    CPPUNIT_ASSERT_MESSAGE(
                        other.text() + " while another class is overloaded: " + flooded.text(),
                        isForward(fixture.submit(other)));
            }
        }
    }

    // Guards against refusal codes that name the wrong cause to operators.
    void refusalCodesNameTheCause()
    {
        dispatcher_fixture fixture;
        CPPUNIT_ASSERT(refusal(fixture.submit(class_name("none"))) == result_code::class_unknown);
        CPPUNIT_ASSERT(refusal(fixture.submit(lookups)) == result_code::no_upstream);
        fixture.addUpstream(lookups, home, 0);
        fixture.assign();
        CPPUNIT_ASSERT(refusal(fixture.submit(lookups, milliseconds(100)))
                       == result_code::slots_exhausted);
        fixture.addUpstream(postings, away, 9);
        fixture.assign();
        // The first request of an interval that goes to another region is always allowed.
        CPPUNIT_ASSERT(isForward(fixture.submit(postings)));
        CPPUNIT_ASSERT(refusal(fixture.submit(postings)) == result_code::shift_cap);
    }

    // Guards against clients that evade the traffic shift cap by naming regions that do not exist.
    void unknownRegionsDoNotEvadeTheShiftCap()
    {
        dispatcher_fixture fixture;
        fixture.addUpstream(lookups, away, 9);
        fixture.assign();
        int sent = 0;
        for (std::uint64_t request = 1; request <= 5; ++request) {
            const region_name unknownRegion("invented " + std::to_string(request));
            sent += isForward(fixture.dispatcher.submit({ticket_id(request), lookups, unknownRegion,
                                                         1, fixture.now + milliseconds(900), true},
                                                        fixture.now));
        }
        CPPUNIT_ASSERT_EQUAL(1, sent);
    }

    // Guards against a selection that does not follow the measured latencies.
    void fasterUpstreamIsPreferred()
    {
        dispatcher_fixture fixture;
        fixture.addUpstream(lookups, home, 9);
        fixture.addUpstream(lookups, home, 9);
        fixture.assign();
        const upstream_id slow = fixture.upstreams.front().id;
        int requestsToSlow = 0;
        for (int request = 0; request < 400; ++request) {
            fixture.advanceTime(milliseconds(5));
            static_cast<void>(fixture.submit(lookups));
            const bool isSlow = fixture.openAttempts.front().upstream == slow;
            requestsToSlow += isSlow && request >= 100;
            fixture.finish(0, attempt_outcome::answered, milliseconds(isSlow ? 60 : 20));
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(requestsToSlow)
                                   + " requests sent to the slow upstream",
                               requestsToSlow <= 3);
    }

    // Guards against sending requests to a slow upstream because the slots of the fast one are
    // briefly in use.
    void slowUpstreamIsSkippedWhenWaitingIsFaster()
    {
        dispatcher_fixture fixture;
        fixture.addUpstream(lookups, home, 4);
        fixture.addUpstream(lookups, home, 4);
        fixture.assign();
        const upstream_id slow = fixture.upstreams.front().id;
        for (int request = 0; request < 100; ++request) {
            // In total 15 s pass, longer than the 10 s without requests after which the slow
            // upstream is measured again.
            fixture.advanceTime(milliseconds(150));
            static_cast<void>(fixture.submit(lookups));
            const bool isSlow = fixture.openAttempts.front().upstream == slow;
            fixture.finish(0, attempt_outcome::answered, milliseconds(isSlow ? 200 : 20));
        }
        for (int request = 0; request < 4; ++request)
            CPPUNIT_ASSERT(isForward(fixture.submit(lookups)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.inFlight(slow));
        const decision fifth = fixture.submit(lookups);
        CPPUNIT_ASSERT_MESSAGE(std::string(name(refusal(fifth))), isQueued(fifth));
    }

    // Guards against a queue that makes all requests of an overloaded class late. The target
    // latency of postings is 400 ms. After 1.5 s of overload, the queue has been non-empty for
    // longer than a burst, and accepted requests must be answered within half of the target.
    void acceptedRequestsOfAnOverloadedClassMeetTheTarget()
    {
        dispatcher_fixture fixture = measuredFixture();
        int late = 0;
        int served = 0;
        std::map<std::uint64_t, instant> sent;
        for (int step = 0; step < 2000; ++step) {
            fixture.advanceTime(milliseconds(1));
            for (int request = 0; request < 4; ++request) {
                static_cast<void>(fixture.submit(postings, milliseconds(3000)));
                sent[fixture.lastTicket.number()] = fixture.now;
            }
            // Two upstreams serve postings, with 4 slots each and a service time of 20 ms: 400
            // requests per second.
            if (step % 5 == 0) {
                for (int answer = 0; answer < 2 && !fixture.openAttempts.empty(); ++answer) {
                    ++served;
                    const milliseconds bound(step < 1500 ? 400 : 200);
                    late +=
                        fixture.now - sent[fixture.openAttempts.front().ticket.number()] > bound;
                    fixture.finish(0, attempt_outcome::answered, milliseconds(20));
                }
            }
            static_cast<void>(fixture.takeReady());
        }
        CPPUNIT_ASSERT(served > 700);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(late) + " requests answered late",
                               late * 100 < served);
    }

    // Guards against sending a restarted upstream as many requests as its limit allows while its
    // previous incarnation still runs earlier ones. Found by a simulation of restarted upstreams
    // (steering-experiments, experiment cold, seed 1).
    void limitIncludesRequestsOfThePreviousIncarnation()
    {
        dispatcher_fixture fixture;
        fixture.addUpstream(revisions, home, 3);
        fixture.assign();
        static_cast<void>(fixture.submit(revisions));
        static_cast<void>(fixture.submit(revisions));
        fixture.upstreams.front().incarnation = incarnation_id("2");
        fixture.assign();
        CPPUNIT_ASSERT(isForward(fixture.submit(revisions)));
        CPPUNIT_ASSERT(isQueued(fixture.submit(revisions)));
        fixture.finish(0, attempt_outcome::answered, milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.takeReady().size());
    }

    // Guards against a memory leak when a caller neither retries nor abandons a ticket.
    void undecidedTicketsExpire()
    {
        dispatcher_fixture fixture = measuredFixture();
        static_cast<void>(fixture.submit(postings, milliseconds(500)));
        fixture.finish(fixture.openAttempts.size() - 1, attempt_outcome::shed, milliseconds(1));
        fixture.advanceTime(milliseconds(500));
        static_cast<void>(fixture.takeReady());
        CPPUNIT_ASSERT(refusal(fixture.dispatcher.retry(fixture.lastTicket, fixture.now))
                       == result_code::retry_budget_spent);
    }

    // Guards against a class that gets no slots because its refused requests do not count as
    // demand.
    void refusedRequestsCountAsDemand()
    {
        dispatcher_fixture fixture;
        for (int request = 0; request < 200; ++request) {
            fixture.advanceTime(milliseconds(10));
            static_cast<void>(fixture.submit(postings));
        }
        for (const class_demand &each : fixture.dispatcher.demand(fixture.now)) {
            const bool refused = each.workClass == postings;
            CPPUNIT_ASSERT_EQUAL(refused, each.concurrency > 5);
            CPPUNIT_ASSERT_EQUAL(refused, each.arrivalsPerSecond > 50);
        }
    }

    // Guards against a caller that uses one ticket for two requests.
    void duplicateTicketIsAnError()
    {
        dispatcher_fixture fixture = measuredFixture();
        static_cast<void>(fixture.submit(postings));
        const request_attributes again{
            fixture.lastTicket, postings, home, 1, fixture.now + milliseconds(100), false};
        CPPUNIT_ASSERT_THROW(static_cast<void>(fixture.dispatcher.submit(again, fixture.now)),
                             error);
    }

private:
    // Returns a fixture with two upstreams for each class, after 100 requests per class that were
    // answered in 20 ms each, so that latencies are known.
    static dispatcher_fixture measuredFixture()
    {
        dispatcher_fixture fixture;
        for (const class_name &each : {postings, lookups, revisions}) {
            fixture.addUpstream(each, home, 4);
            fixture.addUpstream(each, home, 4);
        }
        fixture.assign();
        for (int request = 0; request < 100; ++request) {
            for (const class_name &each : {postings, lookups, revisions}) {
                fixture.advanceTime(milliseconds(5));
                static_cast<void>(fixture.submit(each));
                fixture.finish(0, attempt_outcome::answered, milliseconds(20));
            }
        }
        return fixture;
    }

    static void randomStep(dispatcher_fixture &fixture)
    {
        const auto classes = {postings, lookups, revisions};
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            changeAssignment(fixture);
            break;
        case 1:
            fixture.advanceTime(milliseconds(*rc::gen::element(1, 100, 7000)));
            break;
        case 2:
        case 3:
            if (!fixture.openAttempts.empty())
                endRandomAttempt(fixture);
            break;
        case 4:
            static_cast<void>(fixture.takeReady());
            break;
        case 5:
            if (!fixture.openAttempts.empty()) {
                const recorded_attempt attempt = fixture.openAttempts.front();
                fixture.recordDecision(attempt.ticket, attempt.workClass,
                                       fixture.dispatcher.hedge(attempt.ticket, fixture.now));
            }
            break;
        default:
            static_cast<void>(
                fixture.submit(*rc::gen::elementOf(std::vector<class_name>(classes))));
        }
    }

    static void endRandomAttempt(dispatcher_fixture &fixture)
    {
        const auto position = *rc::gen::inRange<std::size_t>(0, fixture.openAttempts.size());
        const recorded_attempt ended = fixture.openAttempts[position];
        const auto outcome = *rc::gen::element(
            attempt_outcome::answered, attempt_outcome::answered, attempt_outcome::answered,
            attempt_outcome::shed, attempt_outcome::connect_refused, attempt_outcome::failed);
        fixture.finish(position, outcome, milliseconds(*rc::gen::inRange(1, 100)));
        if (outcome == attempt_outcome::answered)
            return;
        fixture.recordDecision(ended.ticket, ended.workClass,
                               fixture.dispatcher.retry(ended.ticket, fixture.now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_dispatcher_test);
