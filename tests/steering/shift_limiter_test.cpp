#include "kingcuptiller/steering/shift_limiter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

using namespace kingcuptiller;

namespace {

constexpr region_index regionCount = 3;
constexpr class_index classCount = 3;

instant atMilliseconds(std::int64_t value)
{
    return instant(milliseconds(value));
}

using source_key = std::pair<class_index, region_index>;

source_key keyOf(const flow_source &source)
{
    return {source.workClass, source.origin};
}

// Number of regions that shift_observer considers; at least `regionCount`.
constexpr region_index observedRegions = 8;

// Computes moved(o) from the sent requests by its definition, independently of shift_limiter.
// moved(o) is the number of requests of origin region o beyond the previous shares of their
// destination regions, summed over classes and destinations.
class shift_observer
{
public:
    void baseline(const counted_flow &flow)
    {
        m_previousFlows[keyOf(flow.source)][flow.destination] += double(flow.forwarded);
    }
    void arrive(const flow_source &source) { m_arrivals[keyOf(source)] += 1; }
    void send(const flow_source &source, region_index destination)
    {
        m_sent[keyOf(source)][destination] += 1;
    }
    [[nodiscard]] double moved(region_index origin) const
    {
        double sum = 0;
        for (const auto &[source, sent] : m_sent) {
            for (const auto &[destination, count] : sent) {
                const double expected =
                    share(source, destination) * countOrZero(m_arrivals, source);
                sum += source.second == origin ? std::max(0.0, count - expected) : 0;
            }
        }
        return sum;
    }
    [[nodiscard]] double cap(region_index origin) const
    {
        double sum = 0;
        for (const auto &[source, count] : m_arrivals)
            sum += source.second == origin ? count : 0;
        return std::max(1.0, 0.2 * sum);
    }
    void endInterval()
    {
        // Refused requests are attributed to the regions that got less than their previous share.
        for (const auto &flows : m_sent) {
            const source_key &source = flows.first;
            const std::map<region_index, double> &sent = flows.second;
            double total = 0;
            for (const auto &[destination, count] : sent)
                total += count;
            const double arrivals = countOrZero(m_arrivals, source);
            const double refused = std::max(0.0, arrivals - total);
            const auto shortfall = [&](region_index to) {
                return std::max(0.0, share(source, to) * arrivals - countOrZero(sent, to));
            };
            double missing = 0;
            for (region_index to = 0; to < observedRegions; ++to)
                missing += shortfall(to);
            std::map<region_index, double> next;
            for (region_index to = 0; to < observedRegions; ++to) {
                const double count =
                    countOrZero(sent, to) + (missing > 0 ? refused * shortfall(to) / missing : 0);
                if (count > 0)
                    next[to] = count;
            }
            m_previousFlows[source] = next;
        }
        m_sent.clear();
        m_arrivals.clear();
    }

private:
    template <typename Key>
    static double countOrZero(const std::map<Key, double> &counts, const Key &key)
    {
        const auto found = counts.find(key);
        return found == counts.end() ? 0 : found->second;
    }
    [[nodiscard]] double share(const source_key &source, region_index destination) const
    {
        const auto found = m_previousFlows.find(source);
        if (found == m_previousFlows.end())
            return source.second == destination ? 1 : 0;
        double total = 0;
        for (const auto &[each, count] : found->second)
            total += count;
        return countOrZero(found->second, destination) / total;
    }

    std::map<source_key, double> m_arrivals;
    std::map<source_key, std::map<region_index, double>> m_sent;
    std::map<source_key, std::map<region_index, double>> m_previousFlows;
};

// One simulated entry: a limiter and an independent observer of the requests that the limiter
// allows.
struct simulated_entry
{
    shift_limiter limiter;
    shift_observer observer;

    // Tries to send a request to `preferredRegion`, then to the regions after it, except
    // `failedRegion`; a value of `regionCount` or more means that no region has failed. Returns
    // false if the request is refused.
    bool request(const flow_source &source, region_index preferredRegion, region_index failedRegion,
                 instant now)
    {
        const rank_number rank(source.workClass + 1);
        observer.arrive(source);
        for (region_index step = 0; step < regionCount; ++step) {
            const region_index destination = (preferredRegion + step) % regionCount;
            if (destination == failedRegion
                || !limiter.mayForward(source, destination, rank, false, now))
                continue;
            limiter.recordForward(source, destination, false, now);
            observer.send(source, destination);
            return true;
        }
        limiter.recordRefusal(source, now);
        return false;
    }
};

} // namespace

class shift_limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shift_limiter_test);
    CPPUNIT_TEST(shiftedRequestsStayBelowTheCapInEveryInterval);
    CPPUNIT_TEST(restartedEntryAppliesTheCapToItsBaseline);
    CPPUNIT_TEST(sumOverEntriesStaysBelowTheCap);
    CPPUNIT_TEST(lessUrgentRanksLeaveShiftCapacity);
    CPPUNIT_TEST(trafficLeavesAFailedRegionAtTheCapPerInterval);
    CPPUNIT_TEST(classesWithFewRequestsCanShift);
    CPPUNIT_TEST(retriesCountAsShiftedButNotAsArrivals);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against traffic shift above the cap when preferred regions change at any time, several
    // classes move at once, request rates vary between intervals, and a region fails.
    void shiftedRequestsStayBelowTheCapInEveryInterval()
    {
        CPPUNIT_ASSERT(rc::check("cap", [] {
            simulated_entry entry;
            runIntervals({&entry}, 8);
        }));
    }

    // Guards against a restarted entry that has lost its previous flows and moves all requests at
    // once.
    void restartedEntryAppliesTheCapToItsBaseline()
    {
        CPPUNIT_ASSERT(rc::check("restart", [] {
            simulated_entry entry;
            std::vector<counted_flow> flows;
            for (class_index each = 0; each < classCount; ++each) {
                flows.push_back({{each, 0},
                                 *rc::gen::inRange<region_index>(0, regionCount),
                                 *rc::gen::inRange<std::uint64_t>(1, 500)});
                entry.observer.baseline(flows.back());
            }
            // A later baseline must replace an earlier one and not add to it.
            std::vector<counted_flow> earlier = flows;
            for (counted_flow &each : earlier)
                each.destination = (each.destination + 1) % regionCount;
            entry.limiter.setBaseline(earlier);
            entry.limiter.setBaseline(flows);
            runIntervals({&entry}, 4);
        }));
    }

    // Guards against entries that each stay below their cap but together exceed it.
    void sumOverEntriesStaysBelowTheCap()
    {
        CPPUNIT_ASSERT(rc::check("sum", [] {
            simulated_entry first;
            simulated_entry second;
            simulated_entry third;
            runIntervals({&first, &second, &third}, 4);
        }));
    }

    // Guards against less urgent requests that use up the traffic shift cap before urgent requests
    // arrive.
    void lessUrgentRanksLeaveShiftCapacity()
    {
        shift_limiter limiter;
        const auto moveAll = [&limiter](class_index workClass) {
            const flow_source source{workClass, 0};
            int moved = 0;
            const rank_number rank(workClass + 1);
            for (; limiter.mayForward(source, 1, rank, true, atMilliseconds(0)); ++moved)
                limiter.recordForward(source, 1, true, atMilliseconds(0));
            return moved;
        };
        // The refusals create 300 arrivals. The cap of 20% allows 60 requests to move, of which
        // each rank leaves a third to the next more urgent one.
        for (int count = 0; count < 300; ++count)
            limiter.recordRefusal({2, 0}, atMilliseconds(0));
        CPPUNIT_ASSERT_EQUAL(20, moveAll(2));
        CPPUNIT_ASSERT_EQUAL(20, moveAll(1));
        CPPUNIT_ASSERT_EQUAL(20, moveAll(0));
    }

    // Guards against requests that stay with a failed region, and against a cap that holds in the
    // first interval only: the requests allowed in one interval must not permit all others to move
    // in the next.
    void trafficLeavesAFailedRegionAtTheCapPerInterval()
    {
        simulated_entry entry;
        std::vector<int> served(7);
        for (int count = 0; count < 7000; ++count) {
            const bool isRegionFailed = count >= 1000;
            if (entry.request({0, 0}, 0, isRegionFailed ? 0 : regionCount, atMilliseconds(count)))
                ++served[static_cast<std::size_t>(count) / 1000];
            if (count % 1000 == 999)
                entry.observer.endInterval();
        }
        const std::vector<int> expected = {1000, 200, 400, 600, 800, 1000, 1000};
        for (std::size_t interval = 0; interval < expected.size(); ++interval) {
            // A tolerance of one request: the cap applies to the requests decided on so far, so a
            // request at the end of an interval may be refused although the whole interval would
            // allow it.
            CPPUNIT_ASSERT_MESSAGE("interval " + std::to_string(interval) + ": "
                                       + std::to_string(served[interval]),
                                   std::abs(served[interval] - expected[interval]) <= 1);
        }
    }

    // Guards against a class with fewer than five requests in an interval whose requests can never
    // move, because 20% of them is less than one.
    void classesWithFewRequestsCanShift()
    {
        for (class_index workClass = 0; workClass < classCount; ++workClass) {
            shift_limiter limiter;
            CPPUNIT_ASSERT(limiter.mayForward({workClass, 0}, 1, rank_number(workClass + 1), false,
                                              atMilliseconds(0)));
        }
    }

    // Guards against retries in other regions that do not count as traffic shift.
    void retriesCountAsShiftedButNotAsArrivals()
    {
        shift_limiter limiter;
        const flow_source source{0, 0};
        limiter.recordForward(source, 0, false, atMilliseconds(0));
        CPPUNIT_ASSERT(limiter.mayForward(source, 1, rank_number(1), true, atMilliseconds(0)));
        limiter.recordForward(source, 1, true, atMilliseconds(0));
        CPPUNIT_ASSERT(!limiter.mayForward(source, 1, rank_number(1), true, atMilliseconds(0)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), limiter.arrivals(0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, limiter.moved(0), 1e-9);
    }

private:
    static void runIntervals(const std::vector<simulated_entry *> &entries, int intervals)
    {
        for (int interval = 0; interval < intervals; ++interval) {
            const auto preferredRegions = *rc::gen::container<std::vector<region_index>>(
                classCount, rc::gen::inRange<region_index>(0, regionCount));
            const auto failedRegion = *rc::gen::inRange<region_index>(0, 2 * regionCount);
            for (simulated_entry *entry : entries) {
                const int requests = *rc::gen::element(0, 1, 7, 40, 200);
                for (int count = 0; count < requests; ++count) {
                    const flow_source source{*rc::gen::inRange<class_index>(0, classCount),
                                             *rc::gen::inRange<region_index>(0, 2)};
                    entry->request(source, preferredRegions[source.workClass], failedRegion,
                                   atMilliseconds(interval * 1000 + count));
                }
            }
            checkInterval(entries);
        }
    }

    static void checkInterval(const std::vector<simulated_entry *> &entries)
    {
        for (region_index origin = 0; origin < 2; ++origin) {
            double moved = 0;
            double cap = 0;
            for (simulated_entry *entry : entries) {
                RC_ASSERT(entry->observer.moved(origin) <= entry->observer.cap(origin) + 1e-3);
                moved += entry->observer.moved(origin);
                cap += entry->observer.cap(origin);
            }
            RC_ASSERT(moved <= cap + 1e-3);
        }
        for (simulated_entry *entry : entries)
            entry->observer.endInterval();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shift_limiter_test);
