#include "kingcuptiller/entry/announcement_book.h"
#include "kingcuptiller/entry/work_message.h"
#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace kingcuptiller;

namespace {

const std::string validAnnouncement =
    R"({"id":"u-1","incarnation":"i","address":"10.0.0.1:80","region":"east","zone":"a",)"
    R"("class":"lookup","slots":9,"connections":400,"load":0.5,"lifetimeMs":3000,"state":"serving"})";

std::string replaced(std::string text, const std::string &part, const std::string &by)
{
    return text.replace(text.find(part), part.size(), by);
}

template <typename Action>
std::string refusalOf(Action &&action)
{
    try {
        action();
    } catch (const error &refusal) {
        return std::string(name(refusal.code()));
    }
    return "accepted";
}

http_request workRequest(const std::string &path, const header_map &headers = {})
{
    return {.method = "POST", .path = path, .query = {}, .headers = headers, .body = "b"};
}

struct work_case
{
    std::string name;
    http_request request;
    bool accepted;
};

// Texts near the valid ones reach deeper into a parser than random bytes.
rc::Gen<std::string> mutated(const std::string &valid)
{
    return rc::gen::map(
        rc::gen::pair(rc::gen::arbitrary<std::vector<std::pair<std::uint16_t, char>>>(),
                      rc::gen::arbitrary<std::uint16_t>()),
        [valid](const auto &changes) {
            std::string text = valid;
            for (const auto &[position, letter] : changes.first)
                text[position % text.size()] = letter;
            return text.substr(0, text.size() - changes.second % 3);
        });
}

} // namespace

class input_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(input_test);
    CPPUNIT_TEST(malformedAnnouncementsAreRefused);
    CPPUNIT_TEST(anyAnnouncementIsReadOrRefused);
    CPPUNIT_TEST(announcementsAreBoundedAndTheNewestWins);
    CPPUNIT_TEST(workRequestsAreChecked);
    CPPUNIT_TEST(anyWorkRequestIsReadOrRefused);
    CPPUNIT_TEST(connectionAndSystemHeadersAreNotPassedOn);
    CPPUNIT_TEST(hashTellsRequestsApart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against upstreams in control's state that nobody can reach or that break its sums.
    void malformedAnnouncementsAreRefused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("u-1"), parseAnnouncement(validAnnouncement).id.text());
        const std::vector<std::pair<std::string, std::string>> cases = {
            {R"("id":"u-1")", R"("id":"")"},
            {R"("id":"u-1")", R"("id":"a b")"},
            {R"("id":"u-1")", R"("id":7)"},
            {R"("id":"u-1",)", ""},
            {"10.0.0.1:80", "10.0.0.1"},
            {"10.0.0.1:80", "10.0.0.1:0"},
            {"10.0.0.1:80", "10.0.0.1:65536"},
            {"10.0.0.1:80", "host.example:80"},
            {R"("slots":9)", R"("slots":0)"},
            {R"("slots":9)", R"("slots":-1)"},
            {R"("slots":9)", R"("slots":1.5)"},
            {R"("slots":9)", R"("slots":100001)"},
            {R"("load":0.5)", R"("load":1.1)"},
            {R"("load":0.5)", R"("load":-0.1)"},
            {R"("load":0.5)", R"("load":"high")"},
            {R"("lifetimeMs":3000)", R"("lifetimeMs":99)"},
            {R"("state":"serving")", R"("state":"asleep")"},
            {R"("state":"serving"})", ""},
            {R"({"id")", R"([{"id")"},
            {"lookup", std::string(65, 'x')},
            {"lookup", std::string(maximumAnnouncementBytes, 'x')},
        };
        for (const auto &each : cases) {
            const std::string body = replaced(validAnnouncement, each.first, each.second);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                body, std::string("announcement_malformed"),
                refusalOf([&body] { static_cast<void>(parseAnnouncement(body)); }));
        }
    }

    // Guards against input that ends a traffic thread with another exception.
    void anyAnnouncementIsReadOrRefused()
    {
        CPPUNIT_ASSERT(rc::check("announcement", [] {
            const std::string body =
                *rc::gen::oneOf(mutated(validAnnouncement), rc::gen::arbitrary<std::string>());
            const std::string outcome =
                refusalOf([&] { static_cast<void>(parseAnnouncement(body)); });
            RC_ASSERT(outcome == "accepted" || outcome == "announcement_malformed");
        }));
    }

    // Guards against memory that strangers fill, and against an old announcement that overtakes a
    // withdrawal after a failed sync.
    void announcementsAreBoundedAndTheNewestWins()
    {
        announcement_book book;
        upstream_announcement announcement = parseAnnouncement(validAnnouncement);
        for (std::size_t i = 0; i < announcement_book::maximumUpstreams; ++i) {
            announcement.id = upstream_id(std::to_string(i));
            CPPUNIT_ASSERT(book.announce(announcement));
        }
        announcement.id = upstream_id("one-more");
        CPPUNIT_ASSERT(!book.announce(announcement));
        announcement.id = upstream_id("0");
        CPPUNIT_ASSERT(book.announce(announcement));
        entry_sync_request failed;
        book.takeInto(failed);
        CPPUNIT_ASSERT_EQUAL(announcement_book::maximumUpstreams, failed.announcements.size());
        CPPUNIT_ASSERT(book.withdraw(upstream_id("0")));
        book.putBack(failed);
        entry_sync_request next;
        book.takeInto(next);
        CPPUNIT_ASSERT_EQUAL(announcement_book::maximumUpstreams - 1, next.announcements.size());
        CPPUNIT_ASSERT(next.withdrawals == std::vector{upstream_id("0")});
    }

    // Guards against requests that reach an upstream although their headers cannot be right.
    void workRequestsAreChecked()
    {
        const std::vector<work_case> cases = {
            {"plain", workRequest("/v1/work/lookup/a/b"), true},
            {"no path below the class", workRequest("/v1/work/lookup"), true},
            {"no class", workRequest("/v1/work/"), false},
            {"class with spaces", workRequest("/v1/work/a%20b/x"), false},
            {"long path", workRequest("/v1/work/lookup/" + std::string(4096, 'x')), false},
            {"longest key", workRequest("/v1/work/c", {{"Kct-Request-Key", std::string(64, 'k')}}),
             true},
            {"long key", workRequest("/v1/work/c", {{"Kct-Request-Key", std::string(65, 'k')}}),
             false},
            {"key with a line end", workRequest("/v1/work/c", {{"Kct-Request-Key", "a\nb"}}),
             false},
            {"time as text", workRequest("/v1/work/c", {{"Kct-Issue-Time", "noon"}}), false},
            {"negative time", workRequest("/v1/work/c", {{"Kct-Issue-Time", "-1"}}), false},
            {"huge time", workRequest("/v1/work/c", {{"Kct-Issue-Time", "9999999999999999"}}),
             false},
            {"empty deadline", workRequest("/v1/work/c", {{"Kct-Deadline-Ms", ""}}), false},
            {"long deadline", workRequest("/v1/work/c", {{"Kct-Deadline-Ms", "86400001"}}), false},
            {"region with spaces", workRequest("/v1/work/c", {{"Kct-Client-Region", "a b"}}),
             false},
        };
        for (const work_case &each : cases)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                each.name, std::string(each.accepted ? "accepted" : "request_malformed"),
                refusalOf([&] { static_cast<void>(parseWorkRequest(each.request)); }));
    }

    // Guards against input that ends a traffic thread with another exception.
    void anyWorkRequestIsReadOrRefused()
    {
        CPPUNIT_ASSERT(rc::check("work request", [] {
            http_request request = workRequest(*mutated("/v1/work/lookup/a/b"));
            for (const char *header : {"Kct-Request-Key", "Kct-Issue-Time", "Kct-Deadline-Ms",
                                       "Kct-Client-Region", "Content-Type"})
                request.headers[header] =
                    *rc::gen::oneOf(mutated("123456789"), rc::gen::arbitrary<std::string>());
            const std::string outcome =
                refusalOf([&] { static_cast<void>(parseWorkRequest(request)); });
            RC_ASSERT(outcome == "accepted" || outcome == "request_malformed");
        }));
    }

    // Guards against clients that set the attempt themselves, and against hop-by-hop headers that
    // change how the next connection is read.
    void connectionAndSystemHeadersAreNotPassedOn()
    {
        const work_request request = parseWorkRequest(workRequest("/v1/work/c/x",
                                                                  {{"kct-attempt", "forged"},
                                                                   {"TRANSFER-ENCODING", "chunked"},
                                                                   {"Connection", "keep-alive"},
                                                                   {"content-length", "7"},
                                                                   {"Accept", "text/plain"}}));
        const http_request passed =
            toUpstreamRequest(request, request_key("k"), attempt_id("a"), milliseconds(5));
        const header_map expected = {{"Accept", "text/plain"},
                                     {"Kct-Attempt", "a"},
                                     {"Kct-Deadline-Ms", "5"},
                                     {"Kct-Request-Key", "k"}};
        CPPUNIT_ASSERT(passed.headers == expected);
    }

    // Guards against one key that stands for two different requests.
    void hashTellsRequestsApart()
    {
        const work_request request = parseWorkRequest(workRequest("/v1/work/c/x"));
        work_request other = request;
        CPPUNIT_ASSERT(hashOf(request) == hashOf(other));
        other.message.body = "c";
        CPPUNIT_ASSERT(hashOf(request) != hashOf(other));
        other = request;
        other.message.path = "/y";
        CPPUNIT_ASSERT(hashOf(request) != hashOf(other));
        other = request;
        other.message.query = "y";
        CPPUNIT_ASSERT(hashOf(request) != hashOf(other));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(input_test);
