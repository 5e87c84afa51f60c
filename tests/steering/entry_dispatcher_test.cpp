#include "tests/steering/dispatcher_world.h"

#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

using namespace kingcuptiller;
using namespace kingcuptiller::test;

namespace {

// Every open attempt holds one slot and no ended one does.
void checkUsage(const dispatcher_world &world)
{
    for (const upstream_usage &each : world.dispatcher.usage())
        RC_ASSERT(each.inFlight == world.inFlight(each.id));
}

// Attempts that were not open before must not be at an upstream that is leaving or full.
void checkNew(const dispatcher_world &world, const std::vector<world_attempt> &before)
{
    for (const world_attempt &attempt : world.open) {
        if (std::find(before.begin(), before.end(), attempt) != before.end())
            continue;
        const upstream_id &id = attempt.upstream;
        const auto found = std::find_if(world.upstreams.begin(), world.upstreams.end(),
                                        [&id](const auto &each) { return each.id == id; });
        RC_ASSERT(found != world.upstreams.end());
        RC_ASSERT(!found->leaving);
        RC_ASSERT(found->workClass == attempt.workClass);
        RC_ASSERT(world.inFlight(id) <= found->limit);
    }
}

// Draws a change of the assignment: limits fall and rise, upstreams leave, vanish and come back.
void changeAssignment(dispatcher_world &world)
{
    for (upstream_assignment &each : world.upstreams) {
        each.limit = *rc::gen::inRange<std::uint32_t>(0, 5);
        each.leaving = *rc::gen::inRange(0, 4) == 0;
    }
    // One that is not listed any more is one that leaves, as far as new work goes.
    std::vector<upstream_assignment> listed = world.upstreams;
    if (*rc::gen::inRange(0, 3) == 0) {
        listed.pop_back();
        world.upstreams.back().leaving = true;
    }
    world.dispatcher.applyAssignments(listed, world.now);
}

} // namespace

class entry_dispatcher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_dispatcher_test);
    CPPUNIT_TEST(limitsHoldUnderAnySequenceOfEvents);
    CPPUNIT_TEST(retriesStayWithinTheirBudgetWhenEverythingFails);
    CPPUNIT_TEST(onlyIdempotentRequestsAreHedgedOrRunAgain);
    CPPUNIT_TEST(notRunProofsAllowARetryElsewhere);
    CPPUNIT_TEST(ejectionKeepsMostOfARegion);
    CPPUNIT_TEST(unreachableDeadlinesAreRefused);
    CPPUNIT_TEST(queuedRequestsAreSentInDeadlineOrder);
    CPPUNIT_TEST(queueIsBounded);
    CPPUNIT_TEST(floodLeavesOtherClassesTheirPlaces);
    CPPUNIT_TEST(refusalsNameTheirCause);
    CPPUNIT_TEST(inventedRegionsDoNotEvadeTheCap);
    CPPUNIT_TEST(fasterUpstreamGetsTheWork);
    CPPUNIT_TEST(slowUpstreamIsLeftWhileAnotherSlotIsNear);
    CPPUNIT_TEST(acceptedRequestsOfAnOverloadedClassAreInTime);
    CPPUNIT_TEST(limitCoversRequestsOfAFormerProcess);
    CPPUNIT_TEST(forgottenTicketsAreDropped);
    CPPUNIT_TEST(refusedRequestsCountAsDemand);
    CPPUNIT_TEST(repeatedTicketIsAnError);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against more requests at an upstream than the entry's limit, new work for an upstream
    // that leaves or is gone, and slots that leak, under any sequence of events.
    void limitsHoldUnderAnySequenceOfEvents()
    {
        CPPUNIT_ASSERT(rc::check("limits", [] {
            dispatcher_world world;
            for (const class_name &each : {postings, lookups, revisions}) {
                for (const region_name &region : {home, away, home})
                    world.add(each, region, 3);
            }
            world.assign();
            for (int step = 0; step < 300; ++step) {
                const std::vector<world_attempt> before = world.open;
                randomStep(world);
                checkNew(world, before);
                checkUsage(world);
            }
        }));
    }

    // Guards against a failing system that gets more requests than clients sent.
    void retriesStayWithinTheirBudgetWhenEverythingFails()
    {
        dispatcher_world world;
        for (int count = 0; count < 6; ++count)
            world.add(lookups, home, 9);
        world.assign();
        int attempts = 0;
        for (int request = 0; request < 1000; ++request) {
            world.pass(milliseconds(5));
            decision made = world.submit(lookups);
            const ticket_id ticket = world.lastTicket;
            // Bounded, so that a missing budget fails this test and does not hang it.
            for (int sending = 0; isForward(made); ++sending) {
                ++attempts;
                world.finish(0, attempt_outcome::connect_refused, milliseconds(1));
                if (sending == 20) {
                    world.dispatcher.abandon(ticket, world.now);
                    break;
                }
                made = world.dispatcher.retry(ticket, world.now);
                world.note(ticket, lookups, made);
            }
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(attempts) + " attempts", attempts <= 1100);
        CPPUNIT_ASSERT_MESSAGE("retries work at all", attempts > 1000);
    }

    // Guards against non-idempotent work that is sent while it may have run.
    void onlyIdempotentRequestsAreHedgedOrRunAgain()
    {
        dispatcher_world world = busyWorld();
        for (const class_name &workClass : {postings, lookups, revisions}) {
            static_cast<void>(world.submit(workClass));
            const ticket_id ticket = world.lastTicket;
            const bool idempotent = workClass == lookups;
            const decision hedge = world.dispatcher.hedge(ticket, world.now);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(workClass.text(), idempotent, isForward(hedge));
            if (idempotent) {
                const auto &second = std::get<forward_decision>(hedge);
                CPPUNIT_ASSERT(second.upstream->id != world.open.back().upstream);
                world.dispatcher.finished({ticket, second.attempt, attempt_outcome::failed},
                                          world.now);
            }
            world.finish(world.open.size() - 1, attempt_outcome::timeout, milliseconds(100));
            const decision retry = world.dispatcher.retry(ticket, world.now);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(workClass.text(), idempotent, isForward(retry));
            if (!idempotent)
                CPPUNIT_ASSERT(refusal(retry) == result_code::outcome_unknown);
        }
    }

    // Guards against work that is given up although it certainly did not run, and against a retry
    // at the upstream that has just failed.
    void notRunProofsAllowARetryElsewhere()
    {
        struct row
        {
            attempt_outcome outcome;
            bool allowed;
        };
        for (const row &each :
             {row{attempt_outcome::shed, true}, row{attempt_outcome::connect_refused, true},
              row{attempt_outcome::not_sent, true}, row{attempt_outcome::failed, false},
              row{attempt_outcome::timeout, false}, row{attempt_outcome::cancelled, false}}) {
            dispatcher_world world = busyWorld();
            static_cast<void>(world.submit(postings));
            const upstream_id first = world.open.back().upstream;
            world.finish(world.open.size() - 1, each.outcome, milliseconds(1));
            const decision retry = world.dispatcher.retry(world.lastTicket, world.now);
            CPPUNIT_ASSERT_EQUAL(each.allowed, isForward(retry));
            if (each.allowed)
                CPPUNIT_ASSERT(std::get<forward_decision>(retry).upstream->id != first);
        }
    }

    // Guards against ejections that empty a region when all of it fails.
    void ejectionKeepsMostOfARegion()
    {
        dispatcher_world world;
        for (int count = 0; count < 6; ++count)
            world.add(lookups, home, 9);
        world.assign();
        for (int request = 0; request < 200; ++request) {
            static_cast<void>(world.submit(lookups, milliseconds(60'000)));
            world.finish(0, attempt_outcome::failed, milliseconds(1));
            world.dispatcher.abandon(world.lastTicket, world.now);
        }
        std::set<std::string> used;
        for (int request = 0; request < 36; ++request) {
            if (isForward(world.submit(lookups, milliseconds(60'000))))
                used.insert(world.open.back().upstream.text());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), used.size());
    }

    // Guards against requests that wait for an answer that can only come too late, and against an
    // estimate that, once too high, is never tried again.
    void unreachableDeadlinesAreRefused()
    {
        dispatcher_world world = busyWorld();
        CPPUNIT_ASSERT(refusal(world.submit(postings, milliseconds(0)))
                       == result_code::deadline_unreachable);
        CPPUNIT_ASSERT(isForward(world.submit(postings, milliseconds(5))));
        CPPUNIT_ASSERT(refusal(world.submit(postings, milliseconds(5)))
                       == result_code::deadline_unreachable);
        while (isForward(world.submit(postings))) { }
        CPPUNIT_ASSERT(refusal(world.submit(postings, milliseconds(15)))
                       == result_code::deadline_unreachable);
        CPPUNIT_ASSERT(isQueued(world.submit(postings, milliseconds(500))));
        world.pass(milliseconds(490));
        bool refusedInQueue = false;
        for (const ready_ticket &each : world.takeReady())
            refusedInQueue |= refusal(each.outcome) == result_code::deadline_unreachable;
        CPPUNIT_ASSERT(refusedInQueue);
    }

    // Guards against a queue in which urgent deadlines wait behind later ones.
    void queuedRequestsAreSentInDeadlineOrder()
    {
        dispatcher_world world;
        world.add(revisions, home, 1);
        world.assign();
        static_cast<void>(world.submit(revisions));
        std::map<std::int64_t, ticket_id> byDeadline;
        for (const int deadline : {5000, 3000, 4000, 2500}) {
            CPPUNIT_ASSERT(isQueued(world.submit(revisions, milliseconds(deadline))));
            byDeadline[deadline] = world.lastTicket;
        }
        for (const auto &[deadline, ticket] : byDeadline) {
            CPPUNIT_ASSERT(world.takeReady().empty());
            world.finish(0, attempt_outcome::answered, milliseconds(10));
            const auto ready = world.takeReady();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), ready.size());
            CPPUNIT_ASSERT_EQUAL(ticket, ready.front().ticket);
        }
    }

    // Guards against a queue that grows with a flood.
    void queueIsBounded()
    {
        dispatcher_settings settings = dispatcher_world::defaultSettings();
        settings.queueLimit = 5;
        dispatcher_world world(settings);
        world.add(revisions, home, 1);
        world.assign();
        decision last;
        for (int request = 0; request < 100; ++request)
            last = world.submit(revisions, milliseconds(60'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), world.dispatcher.queued());
        CPPUNIT_ASSERT(refusal(last) == result_code::queue_full);
    }

    // Guards against a flood of one class, with more slots than the entry has places, that leaves
    // no place for the others.
    void floodLeavesOtherClassesTheirPlaces()
    {
        for (const class_name &flooded : {postings, lookups, revisions}) {
            dispatcher_settings settings = dispatcher_world::defaultSettings();
            settings.concurrency = 60;
            dispatcher_world world(settings);
            for (const class_name &each : {postings, lookups, revisions})
                world.add(each, home, 100).connectionLimit = 400;
            world.assign();
            decision last;
            for (int request = 0; request < 300; ++request)
                last = world.submit(flooded);
            CPPUNIT_ASSERT(refusal(last) == result_code::class_limit);
            for (const class_name &other : {postings, lookups, revisions}) {
                // 36 places are guaranteed: 6 to each class and 18 by worth 10, 3 and 1.
                for (int request = 0; other != flooded && request < 7; ++request)
                    CPPUNIT_ASSERT_MESSAGE(other.text() + " beside " + flooded.text(),
                                           isForward(world.submit(other)));
            }
        }
    }

    // Guards against refusals that lead operators to the wrong cause.
    void refusalsNameTheirCause()
    {
        dispatcher_world world;
        CPPUNIT_ASSERT(refusal(world.submit(class_name("none"))) == result_code::class_unknown);
        CPPUNIT_ASSERT(refusal(world.submit(lookups)) == result_code::no_upstream);
        world.add(lookups, home, 0);
        world.assign();
        CPPUNIT_ASSERT(refusal(world.submit(lookups, milliseconds(100)))
                       == result_code::slots_exhausted);
        world.add(postings, away, 9);
        world.assign();
        // The first movement of an interval is always allowed.
        CPPUNIT_ASSERT(isForward(world.submit(postings)));
        CPPUNIT_ASSERT(refusal(world.submit(postings)) == result_code::shift_cap);
    }

    // Guards against clients that get around the shift cap by naming regions that do not exist.
    void inventedRegionsDoNotEvadeTheCap()
    {
        dispatcher_world world;
        world.add(lookups, away, 9);
        world.assign();
        int sent = 0;
        for (std::uint64_t request = 1; request <= 5; ++request) {
            const region_name invented("invented " + std::to_string(request));
            sent += isForward(world.dispatcher.submit(
                {ticket_id(request), lookups, invented, 1, world.now + milliseconds(900), true},
                world.now));
        }
        CPPUNIT_ASSERT_EQUAL(1, sent);
    }

    // Guards against a choice that does not follow what was measured.
    void fasterUpstreamGetsTheWork()
    {
        dispatcher_world world;
        world.add(lookups, home, 9);
        world.add(lookups, home, 9);
        world.assign();
        const upstream_id slow = world.upstreams.front().id;
        int toSlow = 0;
        for (int request = 0; request < 400; ++request) {
            world.pass(milliseconds(5));
            static_cast<void>(world.submit(lookups));
            const bool isSlow = world.open.front().upstream == slow;
            toSlow += isSlow && request >= 100;
            world.finish(0, attempt_outcome::answered, milliseconds(isSlow ? 60 : 20));
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(toSlow) + " to the slow upstream", toSlow <= 3);
    }

    // Guards against requests that go to a slow upstream because the others are taken just now.
    void slowUpstreamIsLeftWhileAnotherSlotIsNear()
    {
        dispatcher_world world;
        world.add(lookups, home, 4);
        world.add(lookups, home, 4);
        world.assign();
        const upstream_id slow = world.upstreams.front().id;
        for (int request = 0; request < 100; ++request) {
            // Long enough in all for the upstream that was not chosen to be measured as well.
            world.pass(milliseconds(150));
            static_cast<void>(world.submit(lookups));
            const bool isSlow = world.open.front().upstream == slow;
            world.finish(0, attempt_outcome::answered, milliseconds(isSlow ? 200 : 20));
        }
        for (int request = 0; request < 4; ++request)
            CPPUNIT_ASSERT(isForward(world.submit(lookups)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.inFlight(slow));
        const decision fifth = world.submit(lookups);
        CPPUNIT_ASSERT_MESSAGE(std::string(name(refusal(fifth))), isQueued(fifth));
    }

    // Guards against a queue that makes every request of an overloaded class late. Once the queue
    // has stood for a second, requests wait for less than half of the target.
    void acceptedRequestsOfAnOverloadedClassAreInTime()
    {
        dispatcher_world world = busyWorld();
        int late = 0;
        int served = 0;
        std::map<std::uint64_t, instant> sent;
        for (int step = 0; step < 2000; ++step) {
            world.pass(milliseconds(1));
            for (int request = 0; request < 4; ++request) {
                static_cast<void>(world.submit(postings, milliseconds(3000)));
                sent[world.lastTicket.number()] = world.now;
            }
            // Two postings upstreams with 4 slots each and 20 ms of service: 400 requests a second.
            if (step % 5 == 0) {
                for (int answer = 0; answer < 2 && !world.open.empty(); ++answer) {
                    ++served;
                    const milliseconds bound(step < 1500 ? 400 : 200);
                    late += world.now - sent[world.open.front().ticket.number()] > bound;
                    world.finish(0, attempt_outcome::answered, milliseconds(20));
                }
            }
            static_cast<void>(world.takeReady());
        }
        CPPUNIT_ASSERT(served > 700);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(late) + " late", late * 100 < served);
    }

    // Guards against a restarted upstream that gets a full limit beside the requests that its
    // former process still runs (found by steering-experiments, experiment cold, seed 1).
    void limitCoversRequestsOfAFormerProcess()
    {
        dispatcher_world world;
        world.add(revisions, home, 3);
        world.assign();
        static_cast<void>(world.submit(revisions));
        static_cast<void>(world.submit(revisions));
        world.upstreams.front().incarnation = incarnation_id("2");
        world.assign();
        CPPUNIT_ASSERT(isForward(world.submit(revisions)));
        CPPUNIT_ASSERT(isQueued(world.submit(revisions)));
        world.finish(0, attempt_outcome::answered, milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.takeReady().size());
    }

    // Guards against memory that is lost when a caller gives a ticket up without saying so.
    void forgottenTicketsAreDropped()
    {
        dispatcher_world world = busyWorld();
        static_cast<void>(world.submit(postings, milliseconds(500)));
        world.finish(world.open.size() - 1, attempt_outcome::shed, milliseconds(1));
        world.pass(milliseconds(500));
        static_cast<void>(world.takeReady());
        CPPUNIT_ASSERT(refusal(world.dispatcher.retry(world.lastTicket, world.now))
                       == result_code::retry_budget_spent);
    }

    // Guards against slot shares that do not follow a class whose requests are all refused.
    void refusedRequestsCountAsDemand()
    {
        dispatcher_world world;
        for (int request = 0; request < 200; ++request) {
            world.pass(milliseconds(10));
            static_cast<void>(world.submit(postings));
        }
        for (const class_demand &each : world.dispatcher.demand(world.now)) {
            const bool refused = each.workClass == postings;
            CPPUNIT_ASSERT_EQUAL(refused, each.concurrency > 5);
            CPPUNIT_ASSERT_EQUAL(refused, each.arrivalsPerSecond > 50);
        }
    }

    // Guards against a caller that mixes up two requests.
    void repeatedTicketIsAnError()
    {
        dispatcher_world world = busyWorld();
        static_cast<void>(world.submit(postings));
        const request_facts again{
            world.lastTicket, postings, home, 1, world.now + milliseconds(100), false};
        CPPUNIT_ASSERT_THROW(static_cast<void>(world.dispatcher.submit(again, world.now)), error);
    }

private:
    // Two upstreams of each class that have answered 100 requests in 20 ms each.
    static dispatcher_world busyWorld()
    {
        dispatcher_world world;
        for (const class_name &each : {postings, lookups, revisions}) {
            world.add(each, home, 4);
            world.add(each, home, 4);
        }
        world.assign();
        for (int request = 0; request < 100; ++request) {
            for (const class_name &each : {postings, lookups, revisions}) {
                world.pass(milliseconds(5));
                static_cast<void>(world.submit(each));
                world.finish(0, attempt_outcome::answered, milliseconds(20));
            }
        }
        return world;
    }

    static void randomStep(dispatcher_world &world)
    {
        const auto classes = {postings, lookups, revisions};
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            changeAssignment(world);
            break;
        case 1:
            world.pass(milliseconds(*rc::gen::element(1, 100, 7000)));
            break;
        case 2:
        case 3:
            if (!world.open.empty())
                endOne(world);
            break;
        case 4:
            static_cast<void>(world.takeReady());
            break;
        case 5:
            if (!world.open.empty()) {
                const world_attempt of = world.open.front();
                world.note(of.ticket, of.workClass, world.dispatcher.hedge(of.ticket, world.now));
            }
            break;
        default:
            static_cast<void>(world.submit(*rc::gen::elementOf(std::vector<class_name>(classes))));
        }
    }

    static void endOne(dispatcher_world &world)
    {
        const auto position = *rc::gen::inRange<std::size_t>(0, world.open.size());
        const world_attempt ended = world.open[position];
        const auto outcome = *rc::gen::element(
            attempt_outcome::answered, attempt_outcome::answered, attempt_outcome::answered,
            attempt_outcome::shed, attempt_outcome::connect_refused, attempt_outcome::failed);
        world.finish(position, outcome, milliseconds(*rc::gen::inRange(1, 100)));
        if (outcome == attempt_outcome::answered)
            return;
        world.note(ended.ticket, ended.workClass, world.dispatcher.retry(ended.ticket, world.now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_dispatcher_test);
