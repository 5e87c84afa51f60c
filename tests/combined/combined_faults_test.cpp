#include "fault_script.h"
#include "fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>

using namespace kingcuptiller;
using namespace kingcuptiller::testing;

namespace {

constexpr std::uint64_t usualSeeds = 40;
constexpr milliseconds settleTime{5000};
constexpr milliseconds faultTime{15'000};
constexpr milliseconds recoveryLimit{15'000};

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable); // NOLINT(concurrency-mt-unsafe): one thread
    return text == nullptr ? otherwise : std::stoull(text);
}

// After the faults, each entry must answer each class and all control hosts must vote, in time.
void checkRecovery(fleet &target)
{
    const instant end = target.network.now() + recoveryLimit;
    const auto open = std::make_shared<std::set<std::pair<std::size_t, std::string>>>();
    for (std::size_t entry = 0; entry < fleet::entryCount; ++entry) {
        for (const std::string workClass : {"posting", "lookup"})
            open->emplace(entry, workClass);
    }
    while (target.network.now() < end && (!open->empty() || !target.control.allVote())) {
        for (const auto &each : *open) {
            target.probe(each.first, each.second, [open, each](result_code code) {
                if (code == result_code::ok)
                    open->erase(each);
            });
        }
        target.run(milliseconds(500));
    }
    target.facts.require(target.control.allVote(),
                         "not all control hosts vote 15 s after the faults");
    for (const auto &[entry, workClass] : *open)
        target.facts.require(
            false,
            fmt::format("entry {} does not serve {} 15 s after the faults", entry, workClass));
}

// Returns an empty text, or the fact that was broken and the faults that led to it.
std::string runSeed(std::uint64_t seed)
{
    fleet target(seed);
    fault_script script(target);
    try {
        target.run(settleTime);
        script.run(faultTime);
        target.operatorsWork = false;
        checkRecovery(target);
        target.checkMemory();
    } catch (const std::exception &failure) {
        return fmt::format("{}\nrepeat: KCT_COMBINED_SEED={} build/plain/tests/combined-tests\n{}",
                           failure.what(), seed, script.text());
    }
    if (std::getenv("KCT_COMBINED_VERBOSE") != nullptr) // NOLINT(concurrency-mt-unsafe)
        std::cerr << fmt::format("seed {}: {} runs, {} answers, {} of them complete, {} changes\n",
                                 seed, target.facts.runs, target.facts.told, target.facts.answered,
                                 target.facts.accepted);
    if (target.facts.answered == 0 || target.facts.accepted == 0)
        return fmt::format("seed {}: nothing was answered or accepted, so nothing was tested",
                           seed);
    return "";
}

} // namespace

// KCT_COMBINED_SEED=N runs this seed only; KCT_COMBINED_SEEDS=N runs the first N of the fixed list.
class combined_faults_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(combined_faults_test);
    CPPUNIT_TEST(factsHoldUnderCombinedFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against faults that the modules survive one by one but not together.
    void factsHoldUnderCombinedFaults()
    {
        const std::uint64_t only = numberFrom("KCT_COMBINED_SEED", 0);
        const std::uint64_t count = only != 0 ? 1 : numberFrom("KCT_COMBINED_SEEDS", usualSeeds);
        std::string failures;
        for (std::uint64_t each = 1; each <= count; ++each) {
            const std::string failure = runSeed(only != 0 ? only : each);
            if (failure.empty())
                continue;
            // CppUnit breaks long lines, so the message is printed here as well.
            std::cerr << failure << "\n";
            failures += failure + "\n";
        }
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(combined_faults_test);
