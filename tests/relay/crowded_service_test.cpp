#include "kingcuptiller/relay/upstream_choice.h"

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

// Requests of one kind.
struct request_kind
{
    std::string route;
    double perSecond = 0;
    milliseconds latencyTarget{1'000};
    milliseconds timeLimit{1'000};
    // Objects that they are about; 0 for requests without an object.
    int objects = 0;
    double workSeconds = 1;
};

struct crowd_case
{
    std::string name;
    int entries = 0;
    int upstreams = 0;
    request_kind longOnes;
    request_kind shortOnes;
};

struct kind_result
{
    int sent = 0;
    int refused = 0;
    int served = 0;

    [[nodiscard]] double servedShare() const { return static_cast<double>(served) / sent; }
};

// Upstreams with slots and a queue in the order of arrival, shared by entries that know of each
// other only what upstreams report beside answers. Time is simulated.
class crowd_world
{
public:
    explicit crowd_world(const crowd_case &scenario)
        : m_case(scenario)
        , m_upstreams(static_cast<std::size_t>(scenario.upstreams))
    {
        traffic_configuration configuration;
        configuration.services = {{lookups, 390, milliseconds(0), 0}};
        fleet_view view;
        for (int i = 0; i < scenario.upstreams; ++i) {
            upstream_incarnation life;
            life.id = upstream_id(fmt::format("u{:03}", i));
            life.startTimeMs = 1;
            life.address = endpoint_address("10.0.0.1:80");
            life.service = lookups;
            life.zone = zone_name("a");
            life.slots = slots;
            view.upstreams.push_back(life);
            m_numbers[life.id] = static_cast<std::size_t>(i);
        }
        choice_settings settings;
        settings.region = region_name("r");
        settings.zone = zone_name("a");
        settings.regions = {{zone_name("a"), region_name("r")}};
        for (int i = 0; i < scenario.entries; ++i) {
            settings.entrySeed = static_cast<std::uint64_t>(i) + 1;
            m_entries.push_back(std::make_unique<upstream_choice>(settings));
            m_entries.back()->update(view, route_table(configuration), timeOf(0));
        }
    }

    void run(double seconds)
    {
        schedule(0, m_case.longOnes, longResult, seconds);
        schedule(0, m_case.shortOnes, shortResult, seconds);
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.happens();
        }
    }

    kind_result longResult;
    kind_result shortResult;

private:
    struct event
    {
        double at = 0;
        std::uint64_t number = 0;
        std::function<void()> happens;

        bool operator<(const event &other) const
        {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };
    struct model_request
    {
        upstream_choice *entry = nullptr;
        upstream_id upstream;
        sending_record sending;
        double began = 0;
        double work = 0;
        kind_result *result = nullptr;
        bool ended = false;
        bool running = false;
    };
    struct model_upstream
    {
        int running = 0;
        std::deque<std::shared_ptr<model_request>> waiting;
    };

    static constexpr int slots = 9;
    static constexpr std::size_t longestQueue = 27;
    // What came before says more of the beginning than of a crowd.
    static constexpr double begin = 5;

    static instant timeOf(double at)
    {
        return instant(milliseconds(100'900)) + microseconds(std::llround(at * 1e6));
    }

    void at(double when, std::function<void()> happens)
    {
        m_events.push({when, m_eventNumber++, std::move(happens)});
    }

    void schedule(double from, const request_kind &kind, kind_result &result, double seconds)
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

    void arrive(const request_kind &kind, kind_result &result)
    {
        std::uniform_int_distribution<std::size_t> any(0, m_entries.size() - 1);
        upstream_choice &entry = *m_entries[any(m_random)];
        kind_result *const counted = m_now < begin ? nullptr : &result;
        if (counted)
            ++counted->sent;
        std::string object;
        if (kind.objects > 0)
            object = fmt::format("object-{}",
                                 std::uniform_int_distribution<int>(1, kind.objects)(m_random));
        no_choice reason;
        const auto chosen = entry.choose(
            {lookups, object, {}, kind.latencyTarget, kind.timeLimit, {}, std::nullopt, kind.route},
            timeOf(m_now), reason);
        if (!chosen) {
            if (counted)
                ++counted->refused;
            return;
        }
        auto request = std::make_shared<model_request>();
        request->entry = &entry;
        request->upstream = chosen->life.id;
        request->sending = entry.started(request->upstream, object, timeOf(m_now), kind.route);
        request->began = m_now;
        request->work =
            kind.workSeconds * std::uniform_real_distribution<double>(0.85, 1.15)(m_random);
        request->result = counted;
        model_upstream &upstream = m_upstreams[m_numbers.at(request->upstream)];
        if (upstream.running < slots) {
            start(upstream, request);
        } else if (upstream.waiting.size() >= longestQueue) {
            end(upstream, request, sending_outcome::shed);
            return;
        } else {
            upstream.waiting.push_back(request);
        }
        at(m_now + static_cast<double>(kind.timeLimit.count()) / 1'000,
           [this, &upstream, request] { giveUp(upstream, request); });
    }

    void start(model_upstream &upstream, const std::shared_ptr<model_request> &request)
    {
        ++upstream.running;
        request->running = true;
        at(m_now + request->work, [this, &upstream, request] {
            if (request->ended)
                return;
            release(upstream);
            end(upstream, request, sending_outcome::answered);
        });
    }

    // A request whose client waits no longer leaves its slot or its place in the queue.
    void giveUp(model_upstream &upstream, const std::shared_ptr<model_request> &request)
    {
        if (request->ended)
            return;
        if (request->running)
            release(upstream);
        else
            std::erase(upstream.waiting, request);
        end(upstream, request, sending_outcome::timed_out);
    }

    void release(model_upstream &upstream)
    {
        --upstream.running;
        if (upstream.waiting.empty())
            return;
        const auto next = upstream.waiting.front();
        upstream.waiting.pop_front();
        start(upstream, next);
    }

    void end(const model_upstream &upstream, const std::shared_ptr<model_request> &request,
             sending_outcome outcome)
    {
        request->ended = true;
        std::optional<upstream_load> load;
        if (outcome != sending_outcome::timed_out)
            load = upstream_load{static_cast<std::uint32_t>(upstream.running),
                                 static_cast<std::uint32_t>(upstream.waiting.size()), slots};
        request->entry->finished(request->upstream, request->sending, outcome,
                                 microseconds(std::llround((m_now - request->began) * 1e6)), load,
                                 timeOf(m_now));
        if (request->result && outcome == sending_outcome::answered)
            ++request->result->served;
    }

    const crowd_case &m_case;
    std::mt19937 m_random{42};
    double m_now = 0;
    std::uint64_t m_eventNumber = 0;
    std::priority_queue<event> m_events;
    std::map<upstream_id, std::size_t> m_numbers;
    std::vector<model_upstream> m_upstreams;
    std::vector<std::unique_ptr<upstream_choice>> m_entries;
};

constexpr milliseconds target{1'000};

request_kind longOnes(double perSecond, int objects = 200)
{
    return {"long", perSecond, target, milliseconds(6'000), objects, 1};
}

const request_kind shortOnes{"short", 6, target, milliseconds(950), 0, 0.02};

// Each upstream answers nine of the long requests a second.
const std::vector<crowd_case> crowdCases = {
    {"enough slots", 30, 46, longOnes(300), shortOnes},
    {"a third too much for the slots", 30, 46, longOnes(550), shortOnes},
    {"twice too much for the slots", 30, 46, longOnes(830), shortOnes},
    {"few entries", 3, 46, longOnes(550), shortOnes},
    {"enough slots, no objects", 30, 46, longOnes(300, 0), shortOnes},
    {"a third too much, no objects", 30, 46, longOnes(550, 0), shortOnes},
};

} // namespace

class crowded_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crowded_service_test);
    CPPUNIT_TEST(shortRequestsAreServedBesideLongOnes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against queues that leave no time to requests with short limits: less than a quarter
    // as many served as of the others.
    void shortRequestsAreServedBesideLongOnes()
    {
        std::string failures;
        for (const crowd_case &each : crowdCases) {
            crowd_world world(each);
            world.run(30);
            const kind_result &longOnes = world.longResult;
            const kind_result &shortOnes = world.shortResult;
            const std::string seen = fmt::format(
                "{}: long {} sent, {} refused, {} served; short {} sent, {} refused, {} served\n",
                each.name, longOnes.sent, longOnes.refused, longOnes.served, shortOnes.sent,
                shortOnes.refused, shortOnes.served);
            if (shortOnes.servedShare() < longOnes.servedShare() / 4)
                failures += seen;
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crowded_service_test);
