#include "kingcuptiller/steering/entry_list.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

using namespace kingcuptiller;

namespace {

entry_listing listing(const std::string &host, const std::string &region, const std::string &zone,
                      bool serving = true)
{
    entry_listing result;
    result.entry.host = host_id(host);
    result.entry.region = region_name(region);
    result.entry.zone = zone_name(zone);
    result.serving = serving;
    return result;
}

entry_list sampleEntries()
{
    return entry_list({listing("a1", "austro", "1"), listing("a2", "austro", "1"),
                       listing("a3", "austro", "2"), listing("l1", "litoral", "1"),
                       listing("l2", "litoral", "2"), listing("s1", "sierra-norte", "1"),
                       listing("s2", "sierra-norte", "2", false)});
}

std::string hosts(const std::vector<const entry_identity *> &answer, std::size_t first,
                  std::size_t count)
{
    std::map<std::string, int> sorted;
    for (std::size_t index = first; index < first + count; ++index)
        ++sorted[answer.at(index)->host.text()];
    std::string result;
    for (const auto &[host, times] : sorted)
        result += host + (times == 1 ? " " : " repeated ");
    return result;
}

} // namespace

class entry_list_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_list_test);
    CPPUNIT_TEST(entriesAreOrderedByZoneThenRegion);
    CPPUNIT_TEST(clientsInOneZoneSpreadOverItsEntries);
    CPPUNIT_TEST(unknownLocationsGetAllServingEntries);
    CPPUNIT_TEST(longListsAreTruncated);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against clients that get an entry in another region before one in their own zone, and
    // against entries that are listed twice or although they are not serving.
    void entriesAreOrderedByZoneThenRegion()
    {
        const entry_list list = sampleEntries();
        for (int client = 0; client < 50; ++client) {
            const auto answer = list.answer({region_name("austro"), zone_name("1")},
                                            "client " + std::to_string(client));
            CPPUNIT_ASSERT_EQUAL(std::size_t(6), answer.size());
            CPPUNIT_ASSERT_EQUAL(std::string("a1 a2 "), hosts(answer, 0, 2));
            CPPUNIT_ASSERT_EQUAL(std::string("a3 "), hosts(answer, 2, 1));
            CPPUNIT_ASSERT_EQUAL(std::string("l1 l2 s1 "), hosts(answer, 3, 3));
        }
    }

    // Guards against all clients of a zone starting with the same entry, and against a client whose
    // order of entries changes between two look-ups.
    void clientsInOneZoneSpreadOverItsEntries()
    {
        const entry_list list = sampleEntries();
        const client_location location{region_name("austro"), zone_name("1")};
        std::map<std::string, int> first;
        for (int client = 0; client < 1000; ++client) {
            const std::string name = "client " + std::to_string(client);
            const auto answer = list.answer(location, name);
            CPPUNIT_ASSERT(answer == list.answer(location, name));
            ++first[answer.front()->host.text()];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), first.size());
        for (const auto &[host, count] : first)
            CPPUNIT_ASSERT_MESSAGE(host + " " + std::to_string(count), count > 400);
    }

    // Guards against a client that gets no entry because it did not report its location.
    void unknownLocationsGetAllServingEntries()
    {
        const entry_list list = sampleEntries();
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), list.answer({}, "client").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(6),
                             list.answer({region_name("none"), zone_name("1")}, "").size());
        CPPUNIT_ASSERT(entry_list().answer({}, "client").empty());
    }

    // Guards against answers that grow with the number of entries.
    void longListsAreTruncated()
    {
        std::vector<entry_listing> many;
        many.reserve(100);
        for (int host = 0; host < 100; ++host)
            many.push_back(listing(std::to_string(host), "austro", "1"));
        CPPUNIT_ASSERT_EQUAL(maxEntryListLength, entry_list(many).answer({}, "client").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_list_test);
