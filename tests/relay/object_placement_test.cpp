#include "kingcuptiller/relay/object_placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

constexpr std::size_t objectCount = 300;

std::vector<object_placement::member> makeMembers(const std::vector<std::string> &names,
                                                  proximity proximityToEntry = proximity::same_zone)
{
    std::vector<object_placement::member> result;
    result.reserve(names.size());
    for (const std::string &name : names)
        result.push_back({upstream_id(name), proximityToEntry});
    return result;
}

std::string objectName(std::size_t number)
{
    return "object-" + std::to_string(number);
}

// Returns the upstream with rank 0 among those of one proximity.
std::string preferredUpstream(object_placement &placement,
                              const std::vector<object_placement::member> &candidates,
                              std::size_t object, proximity proximityToEntry = proximity::same_zone)
{
    const auto &ranks = placement.ranksOf(objectName(object));
    for (std::size_t number = 0; number < candidates.size(); ++number) {
        if (candidates[number].proximityToEntry == proximityToEntry && ranks[number] == 0)
            return candidates[number].id.text();
    }
    return {};
}

} // namespace

class object_placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(object_placement_test);
    CPPUNIT_TEST(ranksDoNotDependOnTheOrderOfMembers);
    CPPUNIT_TEST(objectsAreSpreadEvenlyOverUpstreams);
    CPPUNIT_TEST(removedUpstreamMovesOnlyItsOwnObjects);
    CPPUNIT_TEST(eachProximityIsRankedSeparately);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against entries that prefer different upstreams for the same object, so that each
    // upstream gets more objects than it can cache.
    void ranksDoNotDependOnTheOrderOfMembers()
    {
        const auto firstOrder = makeMembers({"a", "b", "c", "d"});
        const auto secondOrder = makeMembers({"d", "b", "a", "c"});
        object_placement firstPlacement;
        firstPlacement.setMembers(firstOrder);
        object_placement secondPlacement;
        secondPlacement.setMembers(secondOrder);
        for (std::size_t object = 0; object < objectCount; ++object)
            CPPUNIT_ASSERT_EQUAL(preferredUpstream(firstPlacement, firstOrder, object),
                                 preferredUpstream(secondPlacement, secondOrder, object));
    }

    // Guards against an upstream that is preferred for far more objects than the others.
    void objectsAreSpreadEvenlyOverUpstreams()
    {
        const auto all = makeMembers({"a", "b", "c", "d"});
        object_placement placement;
        placement.setMembers(all);
        std::map<std::string, std::size_t> preferredUpstreams;
        for (std::size_t object = 0; object < objectCount; ++object)
            ++preferredUpstreams[preferredUpstream(placement, all, object)];
        for (const auto &each : all) {
            CPPUNIT_ASSERT_MESSAGE(each.id.text(),
                                   preferredUpstreams[each.id.text()] > objectCount / 6);
            CPPUNIT_ASSERT_MESSAGE(each.id.text(),
                                   preferredUpstreams[each.id.text()] < objectCount / 3);
        }
    }

    // Guards against cache misses for all objects whenever the set of upstreams changes.
    void removedUpstreamMovesOnlyItsOwnObjects()
    {
        const auto before = makeMembers({"a", "b", "c", "d"});
        const auto after = makeMembers({"a", "b", "d"});
        object_placement placement;
        placement.setMembers(before);
        std::vector<std::string> preferredUpstreams;
        preferredUpstreams.reserve(objectCount);
        for (std::size_t object = 0; object < objectCount; ++object)
            preferredUpstreams.push_back(preferredUpstream(placement, before, object));
        placement.setMembers(after);
        for (std::size_t object = 0; object < objectCount; ++object) {
            if (preferredUpstreams[object] != "c")
                CPPUNIT_ASSERT_EQUAL(preferredUpstreams[object],
                                     preferredUpstream(placement, after, object));
        }
    }

    // Guards against remote upstreams that get a high rank only because there are many local ones.
    void eachProximityIsRankedSeparately()
    {
        auto all = makeMembers({"a", "b", "c"});
        const auto remote = makeMembers({"x", "y"}, proximity::other_region);
        all.insert(all.end(), remote.begin(), remote.end());
        object_placement placement;
        placement.setMembers(all);
        for (std::size_t object = 0; object < objectCount; ++object) {
            std::vector<std::size_t> ranks = placement.ranksOf(objectName(object));
            std::sort(ranks.begin(), ranks.begin() + 3);
            std::sort(ranks.begin() + 3, ranks.end());
            CPPUNIT_ASSERT((ranks == std::vector<std::size_t>{0, 1, 2, 0, 1}));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(object_placement_test);
