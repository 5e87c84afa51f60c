#include "kingcuptiller/relay/upstream_choice.h"
#include "tests/relay/one_region.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <set>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

const service_name lookups("lookups");
constexpr std::uint32_t slots = 9;
constexpr int reportingUpstreams = 10;
// Enough for the averages to settle.
constexpr int reportRounds = 40;
constexpr milliseconds serviceTime{1'000};

// An upstream that has never reported, beside others that report `loads` in turn.
struct report_case
{
    std::string name;
    std::vector<std::uint32_t> loads;
    // The bounds of the queue time to expect at the upstream that has not reported.
    milliseconds minQueueTime{0};
    milliseconds maxQueueTime{0};
};

// The mean load is 7 of 9 slots in the first three cases: no queue at an average upstream. Where
// half of the upstreams have 13 requests, the average queue is (13 + 1 - 9) / 9 / 2 of a service
// time, 278 ms.
const std::vector<report_case> reportCases = {
    {"equal loads", {7}, milliseconds(0), milliseconds(10)},
    {"slightly different loads", {6, 8}, milliseconds(0), milliseconds(60)},
    {"half of them with queues", {1, 13}, milliseconds(140), milliseconds(420)},
    {"idle, and equal", {1}, milliseconds(0), milliseconds(1)},
};

class reported_service
{
public:
    explicit reported_service(const std::vector<std::uint32_t> &loads)
        : m_choices(oneRegionSettings())
    {
        fleet_view view;
        for (int i = 0; i <= reportingUpstreams; ++i)
            view.upstreams.push_back(makeUpstream(fmt::format("u{}", i), lookups, slots));
        m_choices.update(view, route_table(traffic_configuration{}), m_now);
        for (int i = 0; i < reportRounds * reportingUpstreams; ++i) {
            const upstream_id id(fmt::format("u{}", i % reportingUpstreams));
            const std::uint32_t load = loads[static_cast<std::size_t>(i) % loads.size()];
            const upstream_attempt_record attempt = m_choices.attemptStarted(id, "", m_now);
            m_choices.attemptFinished(id, attempt, upstream_attempt_outcome::answered, serviceTime,
                                      upstream_load_report{load, 0, slots}, m_now);
        }
    }

    // Returns the choice for a request that may not use the first `excluded` upstreams.
    [[nodiscard]] chosen_upstream choose(int excluded)
    {
        std::set<upstream_id> tried;
        for (int i = 0; i < excluded; ++i)
            tried.insert(upstream_id(fmt::format("u{}", i)));
        choice_failure reason;
        const auto chosen = m_choices.choose(
            {lookups, "", {}, milliseconds(4'000), milliseconds(8'000), tried}, m_now, reason);
        CPPUNIT_ASSERT(chosen);
        return *chosen;
    }

private:
    instant m_now{std::chrono::seconds(100)};
    upstream_choice m_choices;
};

} // namespace

class uncertain_load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(uncertain_load_test);
    CPPUNIT_TEST(unknownLoadCountsWithTheQueueThatItMayHave);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests with short deadlines that are sent into queues nobody has reported.
    void unknownLoadCountsWithTheQueueThatItMayHave()
    {
        for (const report_case &each : reportCases) {
            const milliseconds queueTime =
                reported_service(each.loads).choose(reportingUpstreams).queueTime;
            const std::string seen = fmt::format("{}: {} ms", each.name, queueTime.count());
            CPPUNIT_ASSERT_MESSAGE(seen, queueTime >= each.minQueueTime);
            CPPUNIT_ASSERT_MESSAGE(seen, queueTime <= each.maxQueueTime);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(uncertain_load_test);
