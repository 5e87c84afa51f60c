#include "kingcuptiller/relay/request_relay.h"
#include "kingcuptiller/relay/upstream_signals.h"
#include "relay_fixture.h"

#include "tests/support/scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

const instant start{std::chrono::seconds(100)};

// A response to a request of `relay_fixture`, with further headers.
std::string responseWith(const std::string &status, const std::string &headers)
{
    return "HTTP/1.1 " + status + "\r\nX-Id: 7\r\nX-Seal: s\r\n" + headers
        + "Content-Length: 4\r\n\r\nbody";
}

} // namespace

class upstream_signals_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_signals_test);
    CPPUNIT_TEST(retryAfterHasADefinedMeaning);
    CPPUNIT_TEST(signalsAreReadFromResponses);
    CPPUNIT_TEST(backoffEndsAndLeavingDoesNot);
    CPPUNIT_TEST(noRequestFollowsASignal);
    CPPUNIT_TEST(requestIsRejectedUntilTheFirstBackoffEnds);
    CPPUNIT_TEST(signalsOfAnotherIncarnationDoNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a malformed or extreme value that disables an upstream or is taken for none.
    void retryAfterHasADefinedMeaning()
    {
        struct row
        {
            std::string text;
            std::optional<milliseconds> expected;
        };
        const std::vector<row> rows = {
            {"2", milliseconds(2'000)},
            {"0.25", milliseconds(250)},
            {"1e3", std::nullopt},
            {"", std::nullopt},
            {"0", std::nullopt},
            {"0.0", std::nullopt},
            {"-1", std::nullopt},
            {"soon", std::nullopt},
            {"2 s", std::nullopt},
            {"nan", std::nullopt},
            {"inf", std::nullopt},
            {"Sun, 06 Nov 1994 08:49:37 GMT", std::nullopt},
            {"99999999999", milliseconds(600'000)},
            {std::string(400, '9'), milliseconds(600'000)},
            {"-" + std::string(400, '9'), std::nullopt},
        };
        for (const row &each : rows)
            CPPUNIT_ASSERT_MESSAGE(each.text, parseRetryAfter(each.text) == each.expected);
    }

    // Guards against a Retry-After of other statuses that stops all requests to an upstream.
    void signalsAreReadFromResponses()
    {
        struct row
        {
            unsigned status;
            std::string leaving;
            std::string retryAfter;
            upstream_signals expected;
        };
        const std::vector<row> rows = {
            {200, "", "", {false, std::nullopt}},
            {200, "1", "", {true, std::nullopt}},
            {200, "0", "2", {false, std::nullopt}},
            {503, "", "2", {false, milliseconds(2'000)}},
            {503, "1", "0.5", {true, milliseconds(500)}},
            {429, "", "2", {false, std::nullopt}},
        };
        for (const row &each : rows)
            CPPUNIT_ASSERT_MESSAGE(std::to_string(each.status) + each.leaving + each.retryAfter,
                                   readUpstreamSignals(each.status, each.leaving, each.retryAfter)
                                       == each.expected);
    }

    // Guards against a late response without signals, or with a shorter backoff, that takes back
    // what the upstream stated before.
    void backoffEndsAndLeavingDoesNot()
    {
        upstream_availability availability;
        CPPUNIT_ASSERT(availability.permitsRequests(start));
        CPPUNIT_ASSERT(availability.apply({false, milliseconds(2'000)}, start).backoff);
        CPPUNIT_ASSERT(!availability.apply({false, milliseconds(500)}, start).backoff);
        availability.apply({}, start);
        CPPUNIT_ASSERT(!availability.permitsRequests(start + milliseconds(1'999)));
        CPPUNIT_ASSERT(availability.permitsRequests(start + milliseconds(2'000)));
        CPPUNIT_ASSERT(availability.apply({true, std::nullopt}, start).leaving);
        CPPUNIT_ASSERT(!availability.apply({true, std::nullopt}, start).leaving);
        availability.apply({}, start);
        CPPUNIT_ASSERT(!availability.permitsRequests(start + std::chrono::hours(1)));
    }

    // Guards against new requests to an upstream that drains or has asked for a pause, whatever the
    // control hosts say of it.
    void noRequestFollowsASignal()
    {
        const std::vector<std::string> signals = {
            responseWith("200 OK", "X-Leaving: 1\r\n"),
            responseWith("503 Service Unavailable", "X-NotRun: 1\r\nRetry-After: 30\r\n"),
            responseWith("503 Service Unavailable", "Retry-After: 30\r\n"),
        };
        for (const std::string &signal : signals) {
            scripted_server first([&](int, const std::string &) { return signal; });
            scripted_server second([](int, const std::string &) { return completeResponse; });
            relay_fixture relay(std::vector<std::uint16_t>{first.port(), second.port()});
            for (int i = 0; i < 6; ++i)
                relay.sendAndReadAll(relay.makeRequest("writes"));
            CPPUNIT_ASSERT_MESSAGE(signal, first.requests() <= 1);
            CPPUNIT_ASSERT_MESSAGE(signal, second.requests() >= 5);
        }
    }

    // Guards against clients that come back before an upstream accepts requests again, and against
    // a request that waits although nothing can serve it.
    void requestIsRejectedUntilTheFirstBackoffEnds()
    {
        scripted_server upstream([](int, const std::string &) {
            return responseWith("503 Service Unavailable", "X-NotRun: 1\r\nRetry-After: 30\r\n");
        });
        relay_fixture relay(upstream.port());
        for (int i = 0; i < 3; ++i) {
            const std::string response = relay.sendAndReadAll(relay.makeRequest("reads"));
            CPPUNIT_ASSERT_EQUAL(std::string("503"), statusCodeOf(response));
            const std::size_t position = response.find("Retry-After: ");
            CPPUNIT_ASSERT_MESSAGE(response, position != std::string::npos);
            const double seconds = std::stod(response.substr(position + 13));
            CPPUNIT_ASSERT_MESSAGE(response, seconds > 25 && seconds <= 30);
        }
        CPPUNIT_ASSERT_EQUAL(1, upstream.requests());
    }

    // Guards against taking the statement of another incarnation, which now has the address, for
    // one of the expected incarnation.
    void signalsOfAnotherIncarnationDoNotCount()
    {
        scripted_server upstream([](int, const std::string &) {
            return responseWith("421 Misdirected Request", "X-NotRun: 1\r\nX-Leaving: 1\r\n");
        });
        relay_fixture relay(upstream.port());
        const std::string response = relay.sendAndReadAll(relay.makeRequest("reads"));
        CPPUNIT_ASSERT_EQUAL(std::string("503"), statusCodeOf(response));
        CPPUNIT_ASSERT(response.find("all_back_off") == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_signals_test);
