#include "tests/consensus/fake_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptiller;
using kingcuptiller::testing::fake_fleet;

namespace {

} // namespace

class replica_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_test);
    CPPUNIT_TEST(foundingHostsFormAFleetThatCommits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a new fleet that needs an operator, or that commits without a majority.
    void foundingHostsFormAFleetThatCommits()
    {
        fake_fleet fleet(3, 1);
        fleet.settle();
        fleet.propose(100);
        fleet.settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, fleet.committedCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_test);
