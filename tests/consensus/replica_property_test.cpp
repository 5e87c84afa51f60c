#include "tests/consensus/fake_fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdint>
#include <tuple>
#include <vector>

using namespace kingcuptiller;
using kingcuptiller::testing::fake_fleet;

namespace {

enum class fault {
    quiet,
    isolate,
    cutOneWay,
    freeze,
    kill,
    clearDisk,
    flipBit,
    failDisk,
    endFaults,
    manyProposals,
};

// A fault, the host it hits and how long the fleet then runs.
using fault_step = std::tuple<fault, std::uint8_t, std::uint16_t>;

rc::Gen<std::vector<fault_step>> faultSteps()
{
    return rc::gen::container<std::vector<fault_step>>(rc::gen::tuple(
        rc::gen::weightedElement<fault>({{2, fault::quiet},
                                         {2, fault::isolate},
                                         {3, fault::cutOneWay},
                                         {3, fault::freeze},
                                         {3, fault::kill},
                                         {1, fault::clearDisk},
                                         {1, fault::flipBit},
                                         {1, fault::failDisk},
                                         {6, fault::endFaults},
                                         {2, fault::manyProposals}}),
        rc::gen::arbitrary<std::uint8_t>(), rc::gen::inRange<std::uint16_t>(0, 2500)));
}

std::size_t stoppedHosts(const fake_fleet &fleet)
{
    std::size_t stopped = 0;
    for (std::size_t host = 0; host < fleet.size(); ++host)
        stopped += fleet.isRunning(host) ? 0 : 1;
    return stopped;
}

// A disk may only be lost when every host is a voter again: of what a majority held before, the
// loss of more disks would leave nothing.
void loseDisk(fake_fleet &fleet, std::size_t host, bool clear)
{
    fleet.settle();
    if (clear)
        fleet.clearDisk(host);
    else
        fleet.flipBit(host);
    fleet.start(host);
}

void applyFault(fake_fleet &fleet, fault what, std::size_t host, std::uint16_t length)
{
    switch (what) {
    case fault::quiet:
        break;
    case fault::isolate:
        fleet.isolate(host);
        break;
    case fault::cutOneWay:
        fleet.cut(host, (host + 1 + length % (fleet.size() - 1)) % fleet.size());
        break;
    case fault::freeze:
        fleet.freeze(host, milliseconds(length + 700));
        break;
    case fault::kill:
        fleet.kill(host);
        break;
    case fault::clearDisk:
    case fault::flipBit:
        if (stoppedHosts(fleet) == 0)
            loseDisk(fleet, host, what == fault::clearDisk);
        break;
    case fault::failDisk:
        fleet.failDisk(host);
        break;
    case fault::endFaults:
        fleet.heal();
        for (std::size_t stopped = 0; stopped < fleet.size(); ++stopped) {
            if (!fleet.isRunning(stopped))
                fleet.start(stopped);
        }
        break;
    case fault::manyProposals:
        fleet.propose(60, 50);
        break;
    }
}

void runScenario(std::size_t hosts)
{
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
    const auto steps = *faultSteps();
    // Small sizes, so that a short run compacts and sends snapshots.
    replica_settings sizes;
    sizes.compactionEntries = 40;
    sizes.keptEntries = 10;
    sizes.snapshotPartBytes = 700;
    fake_fleet fleet(hosts, seed, sizes);
    fleet.settle();
    for (const auto &[what, host, length] : steps) {
        applyFault(fleet, what, host % hosts, length);
        for (std::uint16_t passed = 0; passed < length; passed += 100) {
            fleet.propose(2);
            fleet.run(milliseconds(100));
        }
    }
    fleet.settle();
    fleet.propose(1);
    fleet.settle();
}

} // namespace

class replica_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_property_test);
    CPPUNIT_TEST(threeReplicasKeepTheirPromisesUnderFaults);
    CPPUNIT_TEST(fiveReplicasKeepTheirPromisesUnderFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against every fault of the list breaking one of the promises that fake_fleet checks,
    // and against a fleet that does not recover by itself.
    void threeReplicasKeepTheirPromisesUnderFaults()
    {
        CPPUNIT_ASSERT(rc::check("three replicas", [] { runScenario(3); }));
    }

    void fiveReplicasKeepTheirPromisesUnderFaults()
    {
        CPPUNIT_ASSERT(rc::check("five replicas", [] { runScenario(5); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_property_test);
