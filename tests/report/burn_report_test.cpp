#include "kingcuptiller/report/burn_report.h"
#include "kingcuptiller/report/service_recorder.h"
#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

constexpr wall_time noon = fromUnixMilliseconds(1'700'000'000'000);
const service_target halfSecond{milliseconds(500), 990, 10};

configuration oneClass()
{
    work_class postings;
    postings.name = class_name("postings");
    postings.rank = rank_number(1);
    postings.target = halfSecond;
    configuration result;
    result.classes.push_back(postings);
    return result;
}

service_counts counts(std::uint64_t inTime, std::uint64_t late, std::uint64_t refused)
{
    return {class_name("postings"),
            region_name("austro"),
            inTime,
            late,
            refused,
            0,
            {result_code::shift_cap},
            {refused}};
}

burn_report reportOf(const burn_tracker &tracker, wall_time now)
{
    return tracker.report(oneClass(), {{noon, "stop_started", "<zone> austro/a"}},
                          host_id("entry-1"), true, now);
}

} // namespace

class burn_report_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(burn_report_test);
    CPPUNIT_TEST(requestsAreJudgedByCodeAndLatency);
    CPPUNIT_TEST(burnRateIsTheMissedShareOverTheAllowedShare);
    CPPUNIT_TEST(oldStepsLeaveTheWindows);
    CPPUNIT_TEST(countsSinceARestartAreTakenInFull);
    CPPUNIT_TEST(everyCountedRequestIsInTheDifferences);
    CPPUNIT_TEST(jsonSurvivesARoundTrip);
    CPPUNIT_TEST(pageEscapesWhatClientsAndOperatorsWrote);
    CPPUNIT_TEST(namesOfRegionsCannotFillTheMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an error budget that a client's own mistakes use up, or refusals spare.
    void requestsAreJudgedByCodeAndLatency()
    {
        struct row
        {
            result_code code;
            int latencyMs;
            service_outcome expected;
        };
        const std::vector<row> rows = {
            {result_code::ok, 500, service_outcome::in_time},
            {result_code::ok, 501, service_outcome::late},
            {result_code::already_run, 3, service_outcome::in_time},
            {result_code::shift_cap, 1, service_outcome::refused},
            {result_code::entry_without_lease, 1, service_outcome::refused},
            {result_code::outcome_unknown, 1, service_outcome::unknown},
            {result_code::answer_incomplete, 1, service_outcome::unknown},
            {result_code::key_conflict, 1, service_outcome::ignored},
            {result_code::request_malformed, 1, service_outcome::ignored},
            {result_code::class_unknown, 1, service_outcome::ignored},
        };
        for (const row &each : rows)
            CPPUNIT_ASSERT_MESSAGE(std::string(name(each.code)),
                                   judgeService(each.code, milliseconds(each.latencyMs), halfSecond)
                                       == each.expected);
    }

    // Guards against a rate that is not relative to the target.
    void burnRateIsTheMissedShareOverTheAllowedShare()
    {
        burn_tracker tracker;
        tracker.add({counts(960, 30, 10)}, noon);
        const burn_report report = reportOf(tracker, noon + std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.rows.size());
        const class_burn &row = report.rows.front();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, row.longWindow.burnRate, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(-3.0, row.budgetLeft, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.96, row.achieved, 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::string("late"), row.causes.front().reason);
        CPPUNIT_ASSERT_EQUAL(std::string("shift_cap"), row.causes.back().reason);
    }

    // Guards against an alarm that never ends and against memory that grows with uptime.
    void oldStepsLeaveTheWindows()
    {
        burn_tracker tracker;
        tracker.add({counts(0, 0, 100)}, noon);
        for (int minute = 1; minute <= 70; ++minute)
            tracker.add({counts(100, 0, 0)}, noon + std::chrono::minutes(minute));
        const burn_report later = reportOf(tracker, noon + std::chrono::minutes(70));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), later.rows.front().longWindow.missed);
        CPPUNIT_ASSERT(later.rows.front().points.size() <= 361);
    }

    // Guards against an underflow when an entry's counts start again at zero.
    void countsSinceARestartAreTakenInFull()
    {
        const auto difference = countsSince({counts(100, 5, 7)}, {counts(3, 0, 1)});
        CPPUNIT_ASSERT(difference == std::vector<service_counts>({counts(3, 0, 1)}));
    }

    // Guards against requests that are counted twice or not at all between two syncs.
    void everyCountedRequestIsInTheDifferences()
    {
        CPPUNIT_ASSERT(rc::check([] {
            service_recorder recorder;
            std::vector<service_counts> former;
            std::uint64_t total = 0;
            std::uint64_t byCode = 0;
            const auto requests = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
            const std::vector<result_code> codes = {result_code::ok, result_code::shift_cap,
                                                    result_code::outcome_unknown};
            for (const int request : requests) {
                recorder.record(class_name("c"), region_name("r"),
                                codes[static_cast<std::size_t>(request)], milliseconds(1),
                                halfSecond);
                const auto current = recorder.counts();
                for (const service_counts &each : countsSince(former, current)) {
                    total += each.inTime + each.late + each.refused + each.unknown;
                    for (const std::uint64_t count : each.codeCounts)
                        byCode += count;
                }
                former = current;
            }
            const auto answered = std::count(requests.begin(), requests.end(), 0);
            RC_ASSERT(total == requests.size());
            RC_ASSERT(byCode + static_cast<std::uint64_t>(answered) == requests.size());
        }));
    }

    // Guards against a command line that shows another report than the page.
    void jsonSurvivesARoundTrip()
    {
        burn_tracker tracker;
        tracker.add({counts(960, 30, 10)}, noon);
        const burn_report report = reportOf(tracker, noon + std::chrono::seconds(1));
        CPPUNIT_ASSERT(reportFromJson(reportToJson(report)) == report);
        CPPUNIT_ASSERT_THROW(static_cast<void>(reportFromJson(Json::Value("text"))), error);
    }

    // Guards against script injected through the name of a region or a stop.
    void pageEscapesWhatClientsAndOperatorsWrote()
    {
        burn_tracker tracker;
        service_counts hostile = counts(1, 0, 0);
        hostile.origin = region_name("<script>alert(1)</script>");
        tracker.add({hostile}, noon);
        const std::string page = toHtml(reportOf(tracker, noon));
        CPPUNIT_ASSERT(page.find("<script>") == std::string::npos);
        CPPUNIT_ASSERT(page.find("&lt;zone&gt;") != std::string::npos);
        CPPUNIT_ASSERT(toTable(reportOf(tracker, noon)).find("stop_started") != std::string::npos);
    }

    // Guards against clients that invent a region with every request.
    void namesOfRegionsCannotFillTheMemory()
    {
        service_recorder recorder;
        for (int request = 0; request < 1000; ++request)
            recorder.record(class_name("c"), region_name(std::to_string(request)), result_code::ok,
                            milliseconds(1), halfSecond);
        CPPUNIT_ASSERT_EQUAL(service_recorder::maximumOrigins + 1, recorder.counts().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(burn_report_test);
