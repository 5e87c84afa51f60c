#include "tests/consensus/fake_fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <cstdint>
#include <ostream>
#include <tuple>
#include <vector>

using namespace kingcuptiller;
using kingcuptiller::testing::fake_fleet;

namespace {

enum class fault {
    quiet,
    isolate,
    cut_one_way,
    cut_pair,
    freeze,
    kill,
    restart,
    clear_disk,
    flip_bit,
    fail_disk,
    end_faults,
    many_proposals,
};

void showValue(fault what, std::ostream &stream)
{
    constexpr std::array names = {"quiet",    "isolate",   "cut_one_way", "cut_pair",
                                  "freeze",   "kill",      "restart",     "clear_disk",
                                  "flip_bit", "fail_disk", "end_faults",  "many_proposals"};
    stream << names.at(static_cast<std::size_t>(what));
}

// A fault, a number that selects the affected host, and the time in milliseconds for which the
// fleet then runs.
using fault_step = std::tuple<fault, std::uint8_t, std::uint16_t>;

rc::Gen<std::vector<fault_step>> faultSteps()
{
    return rc::gen::container<std::vector<fault_step>>(rc::gen::tuple(
        rc::gen::weightedElement<fault>({{2, fault::quiet},
                                         {2, fault::isolate},
                                         {3, fault::cut_one_way},
                                         {3, fault::cut_pair},
                                         {3, fault::freeze},
                                         {3, fault::kill},
                                         {3, fault::restart},
                                         {1, fault::clear_disk},
                                         {1, fault::flip_bit},
                                         {1, fault::fail_disk},
                                         {6, fault::end_faults},
                                         {2, fault::many_proposals}}),
        rc::gen::arbitrary<std::uint8_t>(), rc::gen::inRange<std::uint16_t>(0, 2500)));
}

std::size_t stoppedHosts(const fake_fleet &fleet)
{
    std::size_t stopped = 0;
    for (std::size_t host = 0; host < fleet.size(); ++host)
        stopped += fleet.isRunning(host) ? 0 : 1;
    return stopped;
}

// Erases or corrupts the disk of a host, but first waits until every host is a voter again: losing
// a second disk while the replica of the first one is still being replaced could lose committed
// entries.
void loseDiskAndRestart(fake_fleet &fleet, std::size_t host, bool clear)
{
    fleet.waitForRecovery();
    if (clear)
        fleet.clearDisk(host);
    else
        fleet.flipBit(host);
    fleet.start(host);
}

void injectFault(fake_fleet &fleet, fault what, std::size_t host,
                 std::uint16_t durationMilliseconds)
{
    const std::size_t other = (host + 1 + durationMilliseconds % (fleet.size() - 1)) % fleet.size();
    switch (what) {
    case fault::quiet:
        break;
    case fault::isolate:
        fleet.isolate(host);
        break;
    case fault::cut_one_way:
        fleet.blockLink(host, other);
        break;
    case fault::cut_pair:
        fleet.blockLink(host, other);
        fleet.blockLink(other, host);
        break;
    case fault::freeze:
        fleet.freeze(host, milliseconds(durationMilliseconds + 700));
        break;
    case fault::kill:
        fleet.crashHost(host);
        break;
    case fault::restart:
        fleet.crashHost(host);
        fleet.start(host);
        break;
    case fault::clear_disk:
    case fault::flip_bit:
        if (stoppedHosts(fleet) == 0)
            loseDiskAndRestart(fleet, host, what == fault::clear_disk);
        break;
    case fault::fail_disk:
        fleet.failDisk(host);
        break;
    case fault::end_faults:
        fleet.unblockAllLinks();
        for (std::size_t stopped = 0; stopped < fleet.size(); ++stopped) {
            if (!fleet.isRunning(stopped))
                fleet.start(stopped);
        }
        break;
    case fault::many_proposals:
        fleet.propose(60, 50);
        break;
    }
}

// Directs half of the faults at the leader, where they are most likely to violate an invariant.
std::size_t chooseHost(const fake_fleet &fleet, std::uint8_t choice)
{
    return choice % 2 == 0 ? fleet.leader().value_or(0) : choice / 2 % fleet.size();
}

void runScenario(std::size_t hosts)
{
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
    const auto steps = *faultSteps();
    // Small limits, so that a short run includes log compaction and snapshot transfers.
    replica_settings settings;
    settings.compactionThresholdEntries = 40;
    settings.trailingEntries = 10;
    settings.snapshotChunkBytes = 700;
    settings.maximumBatchJsonBytes = 300;
    fake_fleet fleet(hosts, seed, settings);
    fleet.waitForRecovery();
    for (const auto &[what, host, durationMilliseconds] : steps) {
        injectFault(fleet, what, chooseHost(fleet, host), durationMilliseconds);
        for (std::uint16_t passed = 0; passed < durationMilliseconds; passed += 100) {
            // Steps with an odd duration propose nothing, so that the log of an isolated host stays
            // as up to date as the logs of the other hosts, and the host could win an election.
            fleet.propose(durationMilliseconds % 2 == 0 ? 2 : 0);
            fleet.run(milliseconds(100));
        }
    }
    fleet.waitForRecovery();
    fleet.propose(1);
    fleet.waitForRecovery();
}

} // namespace

class replica_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_property_test);
    CPPUNIT_TEST(threeReplicasKeepInvariantsUnderFaults);
    CPPUNIT_TEST(fiveReplicasKeepInvariantsUnderFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against replicas that violate an invariant of `fake_fleet` under the injected faults,
    // and against a fleet that does not recover after the faults have ended.
    void threeReplicasKeepInvariantsUnderFaults()
    {
        CPPUNIT_ASSERT(rc::check("three replicas", [] { runScenario(3); }));
    }

    void fiveReplicasKeepInvariantsUnderFaults()
    {
        CPPUNIT_ASSERT(rc::check("five replicas", [] { runScenario(5); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_property_test);
