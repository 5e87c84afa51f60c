#include "kingcuptiller/relay/http_types.h"
#include "tests/platform/platform_processes.h"
#include "tests/platform/stand_in_callers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <map>
#include <numeric>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace kingcuptiller;

namespace {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;
namespace http = boost::beast::http;

// By the users' pages: how soon a confirmed change is in force, how far the share of a part may be
// from its weight's, and from how many requests on.
constexpr milliseconds applyLimit{2'500};
constexpr double maxShareError = 0.1;
constexpr std::size_t minRequests = 300;
// The part of the requests that must be answered, as no upstream is short of room.
constexpr double minAnsweredShare = 0.95;

constexpr std::size_t controls = 3;
constexpr std::size_t entries = 6;
// The entry that joins during a run; the others start with the fleet.
constexpr std::size_t lateEntry = entries - 1;
constexpr std::size_t clients = 30;
constexpr milliseconds startLimit{30'000};
constexpr milliseconds phaseLimit{10'000};
constexpr milliseconds pollInterval{50};
constexpr milliseconds callLimit{1'000};

using service_weights = std::map<std::string, double>;

// What happens together with a change of the weights.
enum class disruption { none, entry_restarts, entry_joins, route_returns };

struct weight_phase
{
    std::string name;
    service_weights weights;
    disruption change = disruption::none;
};

std::string routeResource(const service_weights &weights)
{
    std::string parts;
    for (const auto &[service, weight] : weights)
        parts += fmt::format(R"({}{{"service":"{}","weight":{}}})", parts.empty() ? "" : ",",
                             service, weight);
    return R"({"resourceKind":"routes","metadata":{"name":"r-split"},"spec":{)"
           R"("host":"split.example","pathPrefix":"/split/","kind":"safe","timeoutMs":1500,)"
           R"("targetLatencyMs":600,"priority":1,"trafficSplit":[)"
        + parts + R"(],"maxAttempts":2,"sessionAffinity":false,"allowedRegions":[]}},)";
}

std::string serviceResource(const std::string &name)
{
    return R"({"resourceKind":"services","metadata":{"name":")" + name
        + R"("},"spec":{"healthPath":"/health","maxConnections":390,"protocol":"h1","tls":false,)"
          R"("coldStartS":3.0,"coldPerS":8.0}},)";
}

// A fleet under load whose route divides its requests between the services "a" and "b".
class split_fleet
{
public:
    explicit split_fleet(std::uint32_t seed)
        : m_processes(controls, entries)
        , m_callers(m_processes, {"a", "b"}, 3, seed)
        , m_random(seed)
    {
        m_processes.start(lateEntry);
        for (std::size_t i = 0; i < lateEntry; ++i)
            m_inUse.push_back(i);
        m_callers.setEntries(m_inUse);
    }

    // Returns what was wrong, or an empty text.
    std::string start(const service_weights &weights)
    {
        if (!configure(routeResource(weights), startLimit))
            return "the first configuration is not accepted\n";
        for (const std::size_t entry : m_inUse) {
            if (!waitUntilReady(entry))
                return fmt::format("entry {} does not become ready\n", entry);
        }
        std::this_thread::sleep_for(applyLimit);
        m_callers.startClients(clients, "split.example", "/split/1");
        return {};
    }

    std::string play(const weight_phase &phase)
    {
        if (!apply(phase))
            return phase.name + ": the change or the entry was not there in time\n";
        const clock_type::time_point from = clock_type::now() + applyLimit;
        std::vector<client_record> records;
        while (records.size() < minRequests && clock_type::now() < from + phaseLimit) {
            std::this_thread::sleep_for(pollInterval);
            records = m_callers.recordsSince(from);
        }
        return findFaults(phase, records);
    }

private:
    bool apply(const weight_phase &phase)
    {
        std::optional<std::size_t> startedEntry;
        if (phase.change == disruption::entry_restarts) {
            startedEntry = m_inUse.at(
                std::uniform_int_distribution<std::size_t>(0, m_inUse.size() - 1)(m_random));
            std::vector<std::size_t> others = m_inUse;
            std::erase(others, *startedEntry);
            m_callers.setEntries(others);
            std::this_thread::sleep_for(callLimit);
            m_processes.entry(*startedEntry).kill();
        }
        if (phase.change == disruption::route_returns && !configure("", phaseLimit))
            return false;
        if (!configure(routeResource(phase.weights), phaseLimit))
            return false;
        if (phase.change == disruption::entry_joins) {
            startedEntry = lateEntry;
            m_inUse.push_back(lateEntry);
        }
        if (startedEntry) {
            m_processes.entry(*startedEntry).start();
            if (!waitUntilReady(*startedEntry))
                return false;
            m_callers.setEntries(m_inUse);
        }
        return true;
    }

    static std::string findFaults(const weight_phase &phase,
                                  const std::vector<client_record> &records)
    {
        std::map<std::string, std::size_t> counts;
        for (const client_record &each : records)
            ++counts[each.service];
        const std::size_t answered = records.size() - counts[""];
        std::string faults;
        if (records.size() < minRequests
            || static_cast<double>(answered)
                < minAnsweredShare * static_cast<double>(records.size()))
            faults += fmt::format("{}: {} of {} requests were answered\n", phase.name, answered,
                                  records.size());
        double total = 0;
        for (const auto &[service, weight] : phase.weights)
            total += weight;
        for (const auto &[service, weight] : phase.weights) {
            const double share =
                static_cast<double>(counts[service]) / std::max(static_cast<double>(answered), 1.0);
            if (std::abs(share - weight / total) > maxShareError)
                faults += fmt::format("{}: {} got {} of {}, its weight says {:.0f}\n", phase.name,
                                      service, counts[service], answered,
                                      weight / total * static_cast<double>(answered));
        }
        return faults;
    }

    bool configure(const std::string &route, milliseconds limit)
    {
        text_request request(http::verb::put, "/v1/config", 11);
        request.set(http::field::host, "control");
        request.set(http::field::content_type, "application/json");
        request.body() = fmt::format(R"({{"version":"r{}","baseVersion":"r{}","resources":[{}{}{})",
                                     m_version + 1, m_version, route, serviceResource("a"),
                                     serviceResource("b"));
        request.body() +=
            R"({"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,)"
            R"("maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]})";
        const clock_type::time_point until = clock_type::now() + limit;
        for (std::size_t i = 0; clock_type::now() < until; ++i) {
            const auto response =
                call(m_processes.controlEndpoint(i % controls), request, callLimit);
            if (response && response->result() == http::status::ok) {
                ++m_version;
                return true;
            }
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

    bool waitUntilReady(std::size_t entry)
    {
        text_request request(http::verb::get, "/v1/ready", 11);
        request.set(http::field::host, "entry");
        const clock_type::time_point until = clock_type::now() + startLimit;
        while (clock_type::now() < until) {
            const auto response = call(m_processes.readyEndpoint(entry), request, callLimit);
            if (response && response->result() == http::status::ok)
                return true;
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

    platform_processes m_processes;
    stand_in_callers m_callers;
    std::mt19937 m_random;
    std::vector<std::size_t> m_inUse;
    int m_version = 0;
};

// Every kind of disruption once, in random order and with random weights.
std::vector<weight_phase> drawPhases(std::uint32_t seed)
{
    std::mt19937 random(seed);
    std::vector<weight_phase> phases = {
        {"weights change", {}, disruption::none},
        {"weights change, an entry restarts", {}, disruption::entry_restarts},
        {"weights change, an entry joins", {}, disruption::entry_joins},
        {"the route returns", {}, disruption::route_returns},
    };
    std::shuffle(phases.begin(), phases.end(), random);
    double previous = 90;
    for (weight_phase &phase : phases) {
        // Far enough from the weights before, so that keeping those would be seen.
        double weight = previous;
        while (std::abs(weight - previous) < 30)
            weight = std::uniform_int_distribution<int>(10, 90)(random);
        phase.name += fmt::format(" to {}:{}", weight, 100 - weight);
        phase.weights = {{"a", weight}, {"b", 100 - weight}};
        previous = weight;
    }
    return phases;
}

// One seed in CI; more by the environment, such as KCT_SOAK_SEEDS="2 3 4".
std::vector<std::uint32_t> soakSeeds()
{
    // NOLINTNEXTLINE(concurrency-mt-unsafe): nothing changes the environment
    const char *const given = std::getenv("KCT_SOAK_SEEDS");
    std::istringstream text(given == nullptr ? "1" : given);
    std::vector<std::uint32_t> seeds;
    for (std::uint32_t seed = 0; text >> seed;)
        seeds.push_back(seed);
    return seeds;
}

} // namespace

class changing_weights_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(changing_weights_test);
    CPPUNIT_TEST(partsOfARouteFollowItsWeights);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that follow earlier weights, in real processes under load.
    void partsOfARouteFollowItsWeights()
    {
        std::string faults;
        for (const std::uint32_t seed : soakSeeds()) {
            split_fleet fleet(seed);
            std::string found = fleet.start({{"a", 90}, {"b", 10}});
            const bool isRunning = found.empty();
            if (isRunning)
                found += fleet.play({"the first weights", {{"a", 90}, {"b", 10}}});
            for (const weight_phase &phase : drawPhases(seed))
                found += isRunning ? fleet.play(phase) : "";
            if (!found.empty())
                faults += fmt::format("seed {}:\n{}", seed, found);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(changing_weights_test);
