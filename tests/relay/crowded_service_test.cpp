#include "kingcuptiller/relay/upstream_choice.h"
#include "tests/relay/one_region.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

const service_name lookups("lookups");

// Requests of one route with the same deadline and service time.
struct request_kind
{
    std::string route;
    double perSecond = 0;
    milliseconds latencyTarget{1'000};
    milliseconds timeLimit{1'000};
    // The number of objects that the requests refer to; 0 for requests without an object.
    int objects = 0;
    double workSeconds = 1;
};

struct load_case
{
    std::string name;
    int entries = 0;
    int upstreams = 0;
    request_kind longRequests;
    request_kind shortRequests;
};

struct request_counts
{
    int sent = 0;
    int refused = 0;
    int served = 0;

    [[nodiscard]] double servedShare() const { return static_cast<double>(served) / sent; }
};

// Simulates upstreams with request slots and FIFO queues, and entries that share them. Entries know
// of each other's requests only from the load reports of upstreams. The clock is simulated.
class service_simulation
{
public:
    explicit service_simulation(const load_case &scenario)
        : m_case(scenario)
        , m_upstreams(static_cast<std::size_t>(scenario.upstreams))
    {
        traffic_configuration configuration;
        configuration.services = {{lookups, 390, milliseconds(0), 0}};
        fleet_view view;
        for (int i = 0; i < scenario.upstreams; ++i) {
            view.upstreams.push_back(makeUpstream(fmt::format("u{:03}", i), lookups, slots));
            m_upstreamIndexes[view.upstreams.back().id] = static_cast<std::size_t>(i);
        }
        upstream_choice_settings settings = oneRegionSettings();
        for (int i = 0; i < scenario.entries; ++i) {
            settings.entrySeed = static_cast<std::uint64_t>(i) + 1;
            m_entries.push_back(std::make_unique<upstream_choice>(settings));
            m_entries.back()->update(view, route_table(configuration), timeOf(0));
        }
    }

    void run(double seconds)
    {
        schedule(0, m_case.longRequests, longResult, seconds);
        schedule(0, m_case.shortRequests, shortResult, seconds);
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
        }
    }

    request_counts longResult;
    request_counts shortResult;

private:
    struct event
    {
        double at = 0;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const event &other) const
        {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };
    struct simulated_request
    {
        upstream_choice *entry = nullptr;
        upstream_id upstream;
        upstream_attempt_record attempt;
        double startTime = 0;
        double work = 0;
        request_counts *result = nullptr;
        bool ended = false;
        bool running = false;
    };
    struct simulated_upstream
    {
        int running = 0;
        std::deque<std::shared_ptr<simulated_request>> waiting;
    };

    static constexpr int slots = 9;
    static constexpr std::size_t maxQueueLength = 27;
    // Requests in these first seconds are not counted.
    static constexpr double warmUpSeconds = 5;

    static instant timeOf(double at)
    {
        return instant(milliseconds(100'900)) + microseconds(std::llround(at * 1e6));
    }

    void at(double when, std::function<void()> action)
    {
        m_events.push({when, m_nextEventNumber++, std::move(action)});
    }

    void schedule(double from, const request_kind &kind, request_counts &result, double seconds)
    {
        std::exponential_distribution<double> gap(kind.perSecond);
        const double when = from + gap(m_random);
        if (when >= seconds)
            return;
        at(when, [this, when, &kind, &result, seconds] {
            arrive(kind, result);
            schedule(when, kind, result, seconds);
        });
    }

    void arrive(const request_kind &kind, request_counts &result)
    {
        std::uniform_int_distribution<std::size_t> any(0, m_entries.size() - 1);
        upstream_choice &entry = *m_entries[any(m_random)];
        request_counts *const countedResult = m_now < warmUpSeconds ? nullptr : &result;
        if (countedResult)
            ++countedResult->sent;
        std::string object;
        if (kind.objects > 0)
            object = fmt::format("object-{}",
                                 std::uniform_int_distribution<int>(1, kind.objects)(m_random));
        choice_failure reason;
        const auto chosen = entry.choose(
            {lookups, object, {}, kind.latencyTarget, kind.timeLimit, {}, std::nullopt, kind.route},
            timeOf(m_now), reason);
        if (!chosen) {
            if (countedResult)
                ++countedResult->refused;
            return;
        }
        auto request = std::make_shared<simulated_request>();
        request->entry = &entry;
        request->upstream = chosen->incarnation.id;
        request->attempt =
            entry.attemptStarted(request->upstream, object, timeOf(m_now), kind.route);
        request->startTime = m_now;
        request->work =
            kind.workSeconds * std::uniform_real_distribution<double>(0.85, 1.15)(m_random);
        request->result = countedResult;
        simulated_upstream &upstream = m_upstreams[m_upstreamIndexes.at(request->upstream)];
        if (upstream.running < slots) {
            start(upstream, request);
        } else if (upstream.waiting.size() >= maxQueueLength) {
            end(upstream, request, upstream_attempt_outcome::shed);
            return;
        } else {
            upstream.waiting.push_back(request);
        }
        at(m_now + static_cast<double>(kind.timeLimit.count()) / 1'000,
           [this, &upstream, request] { timeOut(upstream, request); });
    }

    void start(simulated_upstream &upstream, const std::shared_ptr<simulated_request> &request)
    {
        ++upstream.running;
        request->running = true;
        at(m_now + request->work, [this, &upstream, request] {
            if (request->ended)
                return;
            release(upstream);
            end(upstream, request, upstream_attempt_outcome::answered);
        });
    }

    // Removes a request that has timed out from its slot or from the queue.
    void timeOut(simulated_upstream &upstream, const std::shared_ptr<simulated_request> &request)
    {
        if (request->ended)
            return;
        if (request->running)
            release(upstream);
        else
            std::erase(upstream.waiting, request);
        end(upstream, request, upstream_attempt_outcome::timed_out);
    }

    void release(simulated_upstream &upstream)
    {
        --upstream.running;
        if (upstream.waiting.empty())
            return;
        const auto next = upstream.waiting.front();
        upstream.waiting.pop_front();
        start(upstream, next);
    }

    void end(const simulated_upstream &upstream, const std::shared_ptr<simulated_request> &request,
             upstream_attempt_outcome outcome)
    {
        request->ended = true;
        std::optional<upstream_load_report> load;
        if (outcome != upstream_attempt_outcome::timed_out)
            load = upstream_load_report{static_cast<std::uint32_t>(upstream.running),
                                        static_cast<std::uint32_t>(upstream.waiting.size()), slots};
        request->entry->attemptFinished(
            request->upstream, request->attempt, outcome,
            microseconds(std::llround((m_now - request->startTime) * 1e6)), load, timeOf(m_now));
        if (request->result && outcome == upstream_attempt_outcome::answered)
            ++request->result->served;
    }

    const load_case &m_case;
    std::mt19937 m_random{42};
    double m_now = 0;
    std::uint64_t m_nextEventNumber = 0;
    std::priority_queue<event> m_events;
    std::map<upstream_id, std::size_t> m_upstreamIndexes;
    std::vector<simulated_upstream> m_upstreams;
    std::vector<std::unique_ptr<upstream_choice>> m_entries;
};

constexpr milliseconds target{1'000};

request_kind longRequests(double perSecond, int objects = 200)
{
    return {"long", perSecond, target, milliseconds(6'000), objects, 1};
}

const request_kind shortRequests{"short", 6, target, milliseconds(950), 0, 0.02};

// Each upstream serves nine long requests per second.
const std::vector<load_case> loadCases = {
    {"enough slots", 30, 46, longRequests(300), shortRequests},
    {"a third more load than slots", 30, 46, longRequests(550), shortRequests},
    {"twice as much load as slots", 30, 46, longRequests(830), shortRequests},
    {"few entries", 3, 46, longRequests(550), shortRequests},
    {"enough slots, no objects", 30, 46, longRequests(300, 0), shortRequests},
    {"a third more load than slots, no objects", 30, 46, longRequests(550, 0), shortRequests},
};

} // namespace

class crowded_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crowded_service_test);
    CPPUNIT_TEST(shortRequestsAreServedAlongWithLongOnes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against queues that leave no time for requests with short deadlines. Their served
    // share must be at least a quarter of that of the long requests.
    void shortRequestsAreServedAlongWithLongOnes()
    {
        std::string failures;
        for (const load_case &each : loadCases) {
            service_simulation simulation(each);
            simulation.run(30);
            const request_counts &longRequests = simulation.longResult;
            const request_counts &shortRequests = simulation.shortResult;
            const std::string summary = fmt::format(
                "{}: long {} sent, {} refused, {} served; short {} sent, {} refused, {} served\n",
                each.name, longRequests.sent, longRequests.refused, longRequests.served,
                shortRequests.sent, shortRequests.refused, shortRequests.served);
            if (shortRequests.servedShare() < longRequests.servedShare() / 4)
                failures += summary;
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crowded_service_test);
