#include "kingcuptiller/relay/request_relay.h"

#include "tests/relay/relay_fixture.h"
#include "tests/support/scripted_server.h"

#include <boost/asio/read_until.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace kingcuptiller;

namespace {

constexpr milliseconds pollInterval{5};
constexpr int mostPolls = 400;
constexpr milliseconds longLimit{10'000};
constexpr milliseconds shortLimit{1'500};
constexpr milliseconds processTime{3'000};
// Less than any wait of a request that is not told that the process exits.
constexpr milliseconds promptness{400};

const std::string shedResponse =
    "HTTP/1.1 503 Full\r\nX-Id: 7\r\nX-NotRun: 1\r\nContent-Length: 0\r\n\r\n";
const std::string closeWithoutResponse;

struct retry_case
{
    std::string name;
    std::string route;
    milliseconds limit{0};
    // How the first upstream ends the first attempt, after the process was told to exit.
    std::string firstResponse;
    std::string expectedStatus;
    int expectedAttempts = 0;
};

const std::vector<retry_case> retryCases = {
    {"shed, deadline before the exit", "writes", shortLimit, shedResponse, "200", 2},
    {"shed, deadline after the exit", "writes", longLimit, shedResponse, "503", 1},
    {"broken, deadline before the exit", "reads", shortLimit, closeWithoutResponse, "200", 2},
    {"broken, deadline after the exit", "reads", longLimit, closeWithoutResponse, "502", 1},
};

struct body_case
{
    std::string name;
    std::string route;
    milliseconds limit{0};
    // Whether the head arrives before the process is told to exit.
    bool isHeadEarlier = false;
    bool isRejected = false;
};

const std::vector<body_case> bodyCases = {
    {"head earlier, deadline after the exit", "writes", longLimit, true, true},
    {"head earlier, deadline before the exit", "writes", shortLimit, true, false},
    {"head later, deadline after the exit", "writes", longLimit, false, true},
    {"head later, deadline before the exit", "writes", shortLimit, false, false},
    {"streamed, head later, deadline after the exit", "uploads", longLimit, false, true},
    {"streamed, head later, deadline before the exit", "uploads", shortLimit, false, false},
};

std::string makeHead(const body_case &sent)
{
    return "POST /" + sent.route + "/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\nX-Time: "
        + std::to_string(sent.limit.count())
        + "\r\nConnection: close\r\nContent-Length: 9000\r\n\r\nbegin";
}

std::string readAll(asio::ip::tcp::socket &socket)
{
    std::string response;
    boost::system::error_code ignored;
    asio::read(socket, asio::dynamic_buffer(response), ignored);
    return response;
}

void waitFor(const std::function<bool()> &condition)
{
    for (int i = 0; i < mostPolls && !condition(); ++i)
        std::this_thread::sleep_for(pollInterval);
    CPPUNIT_ASSERT(condition());
}

} // namespace

// Requests that have not been sent to an upstream, or not for the last time, when the process is
// told to exit.
class request_shutdown_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_shutdown_test);
    CPPUNIT_TEST(retriesBeginOnlyIfTheyEndInTime);
    CPPUNIT_TEST(requestThatWaitsForCreditsIsRejectedAtOnce);
    CPPUNIT_TEST(bodiesAreReceivedOnlyForRequestsThatEndInTime);
    CPPUNIT_TEST(keptConnectionsCloseAfterTheirResponses);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a retry that begins while the entry leaves and is cut at its end.
    void retriesBeginOnlyIfTheyEndInTime()
    {
        for (const retry_case &each : retryCases) {
            std::promise<void> mayEnd;
            const std::shared_future<void> ending = mayEnd.get_future().share();
            scripted_server first([&, ending](int, const std::string &) {
                ending.wait();
                return each.firstResponse;
            });
            scripted_server second([](int, const std::string &) { return completeResponse; });
            relay_fixture relay(std::vector<std::uint16_t>{first.port(), second.port()});
            auto response = std::async(std::launch::async, [&] {
                return relay.sendAndReadAll(relay.makeRequest(each.route, each.limit));
            });
            waitFor([&] { return first.requests() == 1; });
            relay.leave(processTime);
            mayEnd.set_value();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.expectedStatus,
                                         statusCodeOf(response.get()));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.expectedAttempts,
                                         first.requests() + second.requests());
        }
    }

    // Guards against a request that goes on waiting for a credit of its account, and is sent or
    // rejected only when its wait is over.
    void requestThatWaitsForCreditsIsRejectedAtOnce()
    {
        scripted_server upstream([](int, const std::string &) { return completeResponse; });
        relay_fixture relay(upstream.port());
        relay.reconfigure([](traffic_configuration &changed) {
            client_account account;
            account.name = account_name("one");
            account.keys = {digestOfKey("k1")};
            account.limit = {0.01, 10};
            changed.accounts = {account};
            // Requests wait for half of it.
            for (traffic_route &route : changed.routes)
                route.latencyTarget = longLimit;
        });
        std::string request = relay.makeRequest("writes", longLimit);
        request.insert(request.find("X-Id"), "X-Key: Token k1\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("200"), statusCodeOf(relay.sendAndReadAll(request)));
        // From now on the leader grants each credit, but none at present.
        relay.replyWithCredits([](const credit_request &asked) {
            credit_reply reply{asked.sequence, milliseconds(10'000), milliseconds(100), {}, {}};
            reply.constrained = {{account_name("one"), milliseconds(0)}};
            return reply;
        });
        auto waiting =
            std::async(std::launch::async, [&] { return relay.sendAndReadAll(request); });
        CPPUNIT_ASSERT(waiting.wait_for(promptness) == std::future_status::timeout);
        relay.leave(processTime);
        CPPUNIT_ASSERT(waiting.wait_for(promptness) == std::future_status::ready);
        const std::string response = waiting.get();
        CPPUNIT_ASSERT_EQUAL(std::string("503"), statusCodeOf(response));
        CPPUNIT_ASSERT(response.find("process_ends") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, upstream.requests());
    }

    // Guards against receiving a whole body for a request that is rejected then.
    void bodiesAreReceivedOnlyForRequestsThatEndInTime()
    {
        for (const body_case &each : bodyCases) {
            scripted_server upstream([](int, const std::string &) { return completeResponse; });
            relay_fixture relay(upstream.port(), 10'000);
            asio::ip::tcp::socket client = relay.connect();
            if (each.isHeadEarlier) {
                asio::write(client, asio::buffer(makeHead(each)));
                std::this_thread::sleep_for(promptness);
            }
            relay.leave(processTime);
            if (!each.isHeadEarlier)
                asio::write(client, asio::buffer(makeHead(each)));
            auto response = std::async(std::launch::async, [&] { return readAll(client); });
            if (!each.isRejected)
                asio::write(client, asio::buffer(std::string(8'995, 'b')));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, std::string(each.isRejected ? "503" : "200"),
                                         statusCodeOf(response.get()));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.isRejected ? 0 : 1, upstream.requests());
        }
    }

    // Guards against clients that go on using a connection of an entry that leaves.
    void keptConnectionsCloseAfterTheirResponses()
    {
        scripted_server upstream([](int, const std::string &) { return completeResponse; });
        relay_fixture relay(upstream.port());
        std::string request = relay.makeRequest("writes", shortLimit);
        request.erase(request.find("Connection: close\r\n"), 19);
        asio::ip::tcp::socket client = relay.connect();
        std::string responses;
        asio::write(client, asio::buffer(request));
        asio::read_until(client, asio::dynamic_buffer(responses), "body");
        CPPUNIT_ASSERT(responses.find("Connection: close") == std::string::npos);
        relay.leave(processTime);
        asio::write(client, asio::buffer(request));
        const std::string last = readAll(client);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), statusCodeOf(last));
        CPPUNIT_ASSERT(last.find("Connection: close") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_shutdown_test);
