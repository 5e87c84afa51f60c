#include "kingcuptiller/transport/free_port.h"
#include "kingcuptiller/values/error.h"
#include "stand_in/announcer.h"
#include "stand_in/entry_finder.h"
#include "stand_in/load_generator.h"
#include "stand_in/run_journal.h"
#include "stand_in/stand_in_upstream.h"
#include "stand_in/upstream_model.h"
#include "stand_in/work_payload.h"

#include "kingcuptiller/transport/http_message.h"

#include <cpprest/http_client.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <filesystem>
#include <set>
#include <string>
#include <vector>

using namespace kingcuptiller;
using namespace kingcuptiller::stand_in;

namespace {

endpoint_address freeAddress()
{
    return endpoint_address("127.0.0.1:" + std::to_string(findFreePort()));
}

upstream_options optionsFor(const std::string &journal)
{
    upstream_options options;
    options.id = upstream_id("u1");
    options.region = region_name("luzon");
    options.zone = zone_name("luzon-a");
    options.workClass = class_name("payments");
    options.listen = freeAddress();
    options.entries = {freeAddress()};
    options.slots = 2;
    options.queue = 1;
    options.serviceTime = milliseconds(5);
    options.drainTime = milliseconds(0);
    options.journal = journal;
    return options;
}

pplx::task<web::http::http_response> sendTo(const endpoint_address &address, const std::string &key)
{
    web::http::client::http_client client("http://" + address.text());
    web::http::http_request message(web::http::methods::POST);
    message.headers().add("Kct-Request-Key", key);
    message.headers().add("Kct-Attempt", "attempt-" + key);
    message.set_body(toBytes(makeRequestBody(request_key(key), 0, 100)));
    return client.request(message);
}

} // namespace

class stand_in_upstream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stand_in_upstream_test);
    CPPUNIT_TEST(theJournalHoldsExactlyWhatRan);
    CPPUNIT_TEST(serviceTimesRepeatWithTheSeedAndShrinkWhenWarm);
    CPPUNIT_TEST(loadReportsLagAndLieAsTold);
    CPPUNIT_TEST(announcementsCarryEveryField);
    CPPUNIT_TEST(aGeneratorReadsAnEntryList);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_journal = std::filesystem::temp_directory_path()
            / ("kct-journal-" + std::to_string(findFreePort()));
    }

    void tearDown() override { std::filesystem::remove(m_journal); }

    // Guards against a run that at-most-once is not checked on, and a shed request that ran.
    void theJournalHoldsExactlyWhatRan()
    {
        std::set<std::string> ran;
        {
            const upstream_options options = optionsFor(m_journal.string());
            stand_in_upstream upstream(options);
            std::vector<std::pair<std::string, pplx::task<web::http::http_response>>> tasks;
            for (int number = 0; number < 20; ++number) {
                const std::string key = "k" + std::to_string(number);
                tasks.emplace_back(key, sendTo(options.listen, key));
            }
            for (auto &[key, task] : tasks) {
                web::http::http_response response = task.get();
                CPPUNIT_ASSERT_EQUAL(key, response.headers()["Kct-Request-Key"]);
                CPPUNIT_ASSERT_EQUAL("attempt-" + key, response.headers()["Kct-Attempt"]);
                const bool served = response.status_code() == web::http::status_codes::OK;
                CPPUNIT_ASSERT_EQUAL(std::string(served ? "ran" : "shed"),
                                     response.headers()["Kct-Upstream-Result"]);
                if (!served)
                    continue;
                ran.insert(key);
                CPPUNIT_ASSERT_EQUAL(makeAnswerBody(makeRequestBody(request_key(key), 0, 100)),
                                     toText(response.extract_vector().get()));
            }
            upstream.leave();
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, upstream.tally().ran + upstream.tally().shed);
        }
        std::set<std::string> written;
        for (const run_record &each : readJournal(m_journal.string()))
            CPPUNIT_ASSERT_MESSAGE(each.key.text(), written.insert(each.key.text()).second);
        CPPUNIT_ASSERT(!ran.empty() && ran == written);
    }

    // Guards against runs that cannot be repeated.
    void serviceTimesRepeatWithTheSeedAndShrinkWhenWarm()
    {
        upstream_options options = optionsFor("");
        options.spread = 0;
        options.coldStart = milliseconds(1000);
        options.coldFactor = 4;
        const instant start{};
        upstream_model model(options, start);
        CPPUNIT_ASSERT(model.nextServiceTime(start) == milliseconds(20));
        CPPUNIT_ASSERT(model.nextServiceTime(start + milliseconds(1000)) == milliseconds(5));
        options.spread = 0.5;
        upstream_model first(options, start);
        upstream_model second(options, start);
        for (int number = 0; number < 100; ++number) {
            const microseconds time = first.nextServiceTime(start + milliseconds(1000));
            CPPUNIT_ASSERT(time == second.nextServiceTime(start + milliseconds(1000)));
            CPPUNIT_ASSERT(time >= microseconds(2500) && time <= microseconds(7500));
        }
    }

    // Guards against steering tests that believe to face delayed or false measurements.
    void loadReportsLagAndLieAsTold()
    {
        upstream_options options = optionsFor("");
        options.loadLag = milliseconds(2000);
        const instant start{};
        upstream_model model(options, start);
        CPPUNIT_ASSERT_EQUAL(0.0, model.reportLoad(0.1, start));
        CPPUNIT_ASSERT_EQUAL(0.0, model.reportLoad(0.2, start + milliseconds(1000)));
        CPPUNIT_ASSERT_EQUAL(0.1, model.reportLoad(0.3, start + milliseconds(2000)));
        CPPUNIT_ASSERT_EQUAL(0.2, model.reportLoad(0.4, start + milliseconds(3000)));
        options.loadLie = 0.0;
        upstream_model liar(options, start);
        CPPUNIT_ASSERT_EQUAL(0.0, liar.reportLoad(1, start));
    }

    // Guards against a difference to the announcement of docs/design.md, section 8.
    void announcementsCarryEveryField()
    {
        upstream_announcement announcement;
        announcement.id = upstream_id("u1");
        announcement.leaving = true;
        const std::string body = announcementBody(announcement);
        for (const std::string field :
             {R"("id":"u1")", R"("incarnation":)", R"("address":)", R"("region":)", R"("zone":)",
              R"("class":)", R"("slots":)", R"("connections":)", R"("load":)",
              R"("lifetimeMs":3000)", R"("state":"leaving")"})
            CPPUNIT_ASSERT_MESSAGE(body + field, body.find(field) != std::string::npos);
    }

    // Guards against a generator that misreads the list of entries.
    void aGeneratorReadsAnEntryList()
    {
        const entry_list_answer answer = parseEntryList(
            R"({"entries":[{"host":"e1","address":"10.0.0.1:80","region":"r","zone":"z"}],)"
            R"("lifetimeMs":5000})");
        CPPUNIT_ASSERT(
            (answer == entry_list_answer{{endpoint_address("10.0.0.1:80")}, milliseconds(5000)}));
        for (const std::string body : {"", "{}", R"({"entries":[{}],"lifetimeMs":1})"})
            CPPUNIT_ASSERT_THROW_MESSAGE(body, static_cast<void>(parseEntryList(body)), error);
    }

private:
    std::filesystem::path m_journal;
};

CPPUNIT_TEST_SUITE_REGISTRATION(stand_in_upstream_test);
