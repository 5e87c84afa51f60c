#include "kingcuptiller/steering/admission_limits.h"
#include "kingcuptiller/steering/class_queue.h"
#include "kingcuptiller/steering/link_budget.h"
#include "kingcuptiller/steering/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <numeric>

using namespace kingcuptiller;

namespace {

instant atMicroseconds(std::int64_t value)
{
    return instant(microseconds(value));
}

} // namespace

class limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limits_test);
    CPPUNIT_TEST(guaranteedPartsStayAvailableUnderOverload);
    CPPUNIT_TEST(lessUrgentRanksLeaveSharedCapacity);
    CPPUNIT_TEST(bytesInAnyWindowStayWithinTheLinkBudget);
    CPPUNIT_TEST(lessUrgentRanksLeaveLinkCapacity);
    CPPUNIT_TEST(adjustmentsAreChargedToLaterRequests);
    CPPUNIT_TEST(additionalAttemptsStayWithinTheBudget);
    CPPUNIT_TEST(queueKeepsDeadlineOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an overloaded class that uses the guaranteed concurrency of another class, and
    // against more requests in flight than the limit of the entry.
    void guaranteedPartsStayAvailableUnderOverload()
    {
        CPPUNIT_ASSERT(rc::check("guaranteed parts", [] {
            const auto capacity = *rc::gen::inRange<std::uint32_t>(1, 600);
            const auto worths = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::inRange<std::uint32_t>(1, 20)));
            std::vector<admission_class> classes;
            for (std::size_t index = 0; index < worths.size(); ++index)
                classes.push_back({rank_number(1 + index % 3), worths[index], true});
            admission_limits limits(capacity);
            limits.setClasses(classes);
            const auto requestClasses = *rc::gen::container<std::vector<class_index>>(
                2000, rc::gen::inRange<class_index>(0, static_cast<class_index>(classes.size())));
            std::uint32_t used = 0;
            for (const class_index each : requestClasses) {
                if (limits.mayTake(each)) {
                    limits.take(each);
                    ++used;
                }
                RC_ASSERT(used <= capacity);
                for (class_index other = 0; other < classes.size(); ++other) {
                    if (limits.used(other) < limits.guaranteed(other))
                        RC_ASSERT(limits.mayTake(other));
                }
                if (*rc::gen::inRange(0, 4) == 0 && limits.used(each) > 0) {
                    limits.release(each);
                    --used;
                }
            }
        }));
    }

    // Guards against less urgent classes that use up the shared concurrency before more urgent
    // ones.
    void lessUrgentRanksLeaveSharedCapacity()
    {
        struct test_case
        {
            std::uint64_t rank;
            std::uint32_t expectedUsed;
        };
        // Of a concurrency limit of 500, 300 are guaranteed (100 to each class, with equal worth)
        // and 200 shared.
        for (const test_case &each : {test_case{1, 300}, test_case{2, 250}, test_case{3, 200}}) {
            admission_limits limits(500);
            limits.setClasses({{rank_number(each.rank), 1, true},
                               {rank_number(2), 1, true},
                               {rank_number(3), 1, true}});
            while (limits.mayTake(0))
                limits.take(0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("rank " + std::to_string(each.rank), each.expectedUsed,
                                         limits.used(0));
        }
    }

    // Guards against exceeding the capacity of the link by a burst or by a change of the number of
    // entries.
    void bytesInAnyWindowStayWithinTheLinkBudget()
    {
        CPPUNIT_ASSERT(rc::check("link bytes", [] {
            const double link = 1e6;
            link_budget budget(link);
            std::int64_t time = 0;
            double taken = 0;
            double earned = 0;
            double largest = 0;
            std::size_t entries = 1;
            const double burst = link / 2 * 0.25;
            for (int step = 0; step < 300; ++step) {
                const auto gap = *rc::gen::inRange<std::int64_t>(0, 50'000);
                earned += link / 2 / double(entries) * double(gap) / 1e6;
                time += gap;
                const double bytes = *rc::gen::inRange(1, 60'000);
                if (budget.mayTake(0, bytes, rank_number(1), atMicroseconds(time))) {
                    budget.take(0, bytes, atMicroseconds(time));
                    taken += bytes;
                    largest = std::max(largest, bytes);
                }
                RC_ASSERT(taken <= burst + earned + largest + 1);
                if (*rc::gen::inRange(0, 20) == 0) {
                    entries = *rc::gen::inRange<std::size_t>(1, 5);
                    budget.setEntriesInRegion(entries, atMicroseconds(time));
                }
            }
        }));
    }

    // Guards against less urgent requests that use up the link before urgent requests arrive.
    void lessUrgentRanksLeaveLinkCapacity()
    {
        link_budget budget(1e6);
        const auto takeAll = [&budget](std::uint64_t rank) {
            double sum = 0;
            for (; budget.mayTake(0, 1000, rank_number(rank), atMicroseconds(0)); sum += 1000)
                budget.take(0, 1000, atMicroseconds(0));
            return sum;
        };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(125'000.0 / 3, takeAll(3), 1000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(125'000.0 / 3, takeAll(2), 1000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(125'000.0 / 3, takeAll(1), 1000);
    }

    // Guards against answers that are larger than expected and whose additional bytes are not
    // charged to the budget.
    void adjustmentsAreChargedToLaterRequests()
    {
        link_budget budget(1e6);
        budget.take(0, 1000, atMicroseconds(0));
        budget.adjust(0, 500'000);
        CPPUNIT_ASSERT(!budget.mayTake(0, 1, rank_number(1), atMicroseconds(700'000)));
        CPPUNIT_ASSERT(budget.mayTake(0, 1, rank_number(1), atMicroseconds(800'000)));
    }

    // Guards against retries or hedges that amplify an overload.
    void additionalAttemptsStayWithinTheBudget()
    {
        CPPUNIT_ASSERT(rc::check("budget", [] {
            const double share = *rc::gen::element(retryBudgetShare, hedgeBudgetShare);
            retry_budget budget(share);
            std::uint64_t requests = 0;
            std::uint64_t extra = 0;
            for (int step = 0; step < 1000; ++step) {
                if (*rc::gen::inRange(0, 3) > 0) {
                    budget.recordRequest();
                    ++requests;
                } else if (budget.maySpend()) {
                    budget.spend();
                    ++extra;
                }
                RC_ASSERT(double(extra) <= share * double(requests) + 1e-6);
            }
        }));
    }

    // Guards against a queued request that is placed behind one with a later deadline.
    void queueKeepsDeadlineOrder()
    {
        CPPUNIT_ASSERT(rc::check("queue order", [] {
            class_queue queue(64);
            const auto deadlines = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
            std::uint64_t ticket = 0;
            for (const int deadline : deadlines) {
                const queue_item item{atMicroseconds(deadline), ticket_id(++ticket)};
                if (queue.full())
                    break;
                const std::size_t ahead = queue.countAhead(item);
                queue.insert(item);
                RC_ASSERT(queue.items()[ahead] == item);
                if (ticket % 5 == 0)
                    queue.remove(queue.items().front());
            }
            RC_ASSERT(std::is_sorted(queue.items().begin(), queue.items().end(),
                                     [](const queue_item &left, const queue_item &right) {
                                         return left.deadline < right.deadline;
                                     }));
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limits_test);
