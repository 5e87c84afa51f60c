#include "kingcuptiller/relay/weighted_split.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cmath>
#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

// How far the share of a part may be from the share that its weight gives it.
constexpr double maxShareError = 0.1;

using service_weights = std::map<std::string, double>;

// Requests under one configuration.
struct split_phase
{
    service_weights weights;
    int requests = 0;
    // Entries that start anew, or join, before the phase.
    int newEntries = 0;
};

struct split_case
{
    std::string name;
    int entries = 0;
    std::vector<split_phase> phases;
};

traffic_route routeWith(const service_weights &weights)
{
    traffic_route route;
    route.name = "route";
    for (const auto &[service, weight] : weights)
        route.weightedServices.push_back({service_name(service), weight});
    return route;
}

weighted_split makeSplit(std::mt19937 &random)
{
    return weighted_split(random());
}

// Sends each request of a phase to a random entry. Returns the number that each service got.
std::map<std::string, int> play(const split_phase &phase, std::vector<weighted_split> &entries,
                                std::mt19937 &random)
{
    const traffic_route route = routeWith(phase.weights);
    std::uniform_int_distribution<std::size_t> any(0, entries.size() - 1);
    for (int i = 0; i < phase.newEntries; ++i)
        entries[static_cast<std::size_t>(i) % entries.size()] = makeSplit(random);
    std::map<std::string, int> counts;
    for (int i = 0; i < phase.requests; ++i)
        ++counts[entries[any(random)].assign(route).text()];
    return counts;
}

double totalOf(const service_weights &weights)
{
    double total = 0;
    for (const auto &[service, weight] : weights)
        total += weight;
    return total;
}

std::string findWrongShares(const split_case &scenario)
{
    std::mt19937 random(42);
    std::vector<weighted_split> entries;
    entries.reserve(static_cast<std::size_t>(scenario.entries));
    for (int i = 0; i < scenario.entries; ++i)
        entries.push_back(makeSplit(random));
    std::string failures;
    for (std::size_t number = 0; number < scenario.phases.size(); ++number) {
        const split_phase &phase = scenario.phases[number];
        std::map<std::string, int> counts = play(phase, entries, random);
        for (const auto &[service, weight] : phase.weights) {
            const double due = weight / totalOf(phase.weights);
            const double share = static_cast<double>(counts[service]) / phase.requests;
            if (std::abs(share - due) > maxShareError)
                failures +=
                    fmt::format("{}, {} entries, phase {}: {} got {:.3f} for {:.3f}\n",
                                scenario.name, scenario.entries, number, service, share, due);
        }
    }
    return failures;
}

// The same phases with few and with many entries.
std::string findWrongShares(const std::string &name, const std::vector<split_phase> &phases)
{
    std::string failures;
    for (const int entries : {1, 3, 7, 31, 113})
        failures += findWrongShares({name, entries, phases});
    return failures;
}

const service_weights mostlyA = {{"a", 90}, {"b", 10}};
const service_weights mostlyB = {{"a", 10}, {"b", 90}};
const service_weights even = {{"a", 50}, {"b", 50}};

} // namespace

class weighted_split_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(weighted_split_test);
    CPPUNIT_TEST(changedWeightsHoldFromTheNextRequestOn);
    CPPUNIT_TEST(fewRequestsOfManyEntriesFollowTheWeights);
    CPPUNIT_TEST(restartsAndJoinsDoNotChangeTheShares);
    CPPUNIT_TEST(routeThatReturnsWithOtherServicesStartsAnew);
    CPPUNIT_TEST(everySpanOfOneEntryFollowsTheWeights);
    CPPUNIT_TEST(partsWithoutWeightGetNothing);
    CPPUNIT_TEST(countsOfPartsAreTakenOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests under old weights that decide under the new ones.
    void changedWeightsHoldFromTheNextRequestOn()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string(),
            findWrongShares("reversed", {{mostlyA, 1'000}, {mostlyB, 300}})
                + findWrongShares("evened", {{mostlyA, 1'000}, {even, 300}})
                + findWrongShares("back and forth",
                                  {{mostlyA, 5'000}, {mostlyB, 300}, {mostlyA, 300}, {even, 300}}));
    }

    // Guards against entries that all give their first requests to the same part.
    void fewRequestsOfManyEntriesFollowTheWeights()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string(),
            findWrongShares("80 to 20", {{{{"a", 80}, {"b", 20}}, 300}})
                + findWrongShares("200 requests", {{{{"a", 70}, {"b", 30}}, 200}})
                + findWrongShares("three parts", {{{{"a", 1}, {"b", 1}, {"c", 2}}, 300}}));
    }

    // Guards against a part that starts again, or misses requests, with each new process.
    void restartsAndJoinsDoNotChangeTheShares()
    {
        const std::vector<split_phase> rolling(8, {{{"a", 75}, {"b", 25}}, 300, 113});
        CPPUNIT_ASSERT_EQUAL(
            std::string(),
            findWrongShares("all restart", {{mostlyA, 1'000}, {mostlyA, 300, 113}})
                + findWrongShares("all restart with new weights",
                                  {{mostlyA, 1'000}, {mostlyB, 300, 113}})
                + findWrongShares("a third joins", {{even, 1'000}, {even, 300, 37}})
                + findWrongShares("rolling restarts", rolling));
    }

    // Guards against counts that are kept for a name.
    void routeThatReturnsWithOtherServicesStartsAnew()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             findWrongShares("other service",
                                             {{{{"a", 50}, {"b", 50}}, 1'000},
                                              {{{"b", 50}, {"c", 50}}, 300},
                                              {{{"a", 50}, {"c", 50}}, 300}})
                                 + findWrongShares("further service",
                                                   {{{{"a", 100}}, 1'000},
                                                    {{{"a", 50}, {"b", 50}}, 300},
                                                    {{{"a", 40}, {"b", 40}, {"c", 20}}, 300}}));
    }

    // Guards against long runs of one part.
    void everySpanOfOneEntryFollowsTheWeights()
    {
        std::mt19937 random(42);
        weighted_split split = makeSplit(random);
        const traffic_route route = routeWith({{"a", 85}, {"b", 15}});
        std::vector<int> gotB(2'000);
        for (int &each : gotB)
            each = split.assign(route).text() == "b" ? 1 : 0;
        constexpr std::size_t span = 50;
        for (std::size_t first = 0; first + span <= gotB.size(); ++first) {
            int count = 0;
            for (std::size_t i = first; i < first + span; ++i)
                count += gotB[i];
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.15, static_cast<double>(count) / span, maxShareError);
        }
    }

    void partsWithoutWeightGetNothing()
    {
        std::mt19937 random(42);
        weighted_split split = makeSplit(random);
        const traffic_route route = routeWith({{"a", 0}, {"b", 3}, {"c", 0}});
        for (int i = 0; i < 200; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("b"), split.assign(route).text());
    }

    void countsOfPartsAreTakenOnce()
    {
        std::mt19937 random(42);
        weighted_split split = makeSplit(random);
        const traffic_route single = routeWith({{"a", 1}});
        split.recordEnd(single, split.assign(single), "answered");
        CPPUNIT_ASSERT(split.take().empty());
        const traffic_route route = routeWith({{"a", 0}, {"b", 3}});
        for (const char *outcome : {"answered", "answered", "refused", "open_end"})
            split.recordEnd(route, split.assign(route), outcome);
        const std::vector<split_part_counts> expected = {{"route", service_name("b"), 1, 4, 2, 1}};
        CPPUNIT_ASSERT(expected == split.take());
        CPPUNIT_ASSERT(split.take().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(weighted_split_test);
