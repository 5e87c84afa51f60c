#include "kingcuptiller/relay/request_relay.h"

#include "tests/relay/relay_fixture.h"
#include "tests/support/scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace kingcuptiller;

namespace {

constexpr int maximumTries = 500;
constexpr milliseconds tryInterval{10};

const std::string refusalOfRequestOne =
    "HTTP/1.1 503 Full\r\nX-Id: 1\r\nX-NotRun: 1\r\nContent-Length: 0\r\n\r\n";
const std::string refusalWithoutId =
    "HTTP/1.1 503 Full\r\nX-NotRun: 1\r\nContent-Length: 0\r\n\r\n";
const std::string successWithoutId =
    "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nother";
const std::string responseToRequestTwo =
    "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody";

struct repeated_response_case
{
    std::string name;
    // The upstream's response to the first request, and the response that it sends before its
    // response to the second request.
    std::string firstResponse;
    std::string repeatedResponse;
};

const std::vector<repeated_response_case> repeatedResponseCases = {
    {"refusal", refusalOfRequestOne, refusalOfRequestOne},
    {"refusal without request id", refusalWithoutId, refusalWithoutId},
    {"refusal repeated without request id", refusalOfRequestOne, refusalWithoutId},
    {"success without request id", refusalOfRequestOne, successWithoutId},
};

} // namespace

class connection_reuse_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_reuse_test);
    CPPUNIT_TEST(responseToEarlierRequestIsDiscarded);
    CPPUNIT_TEST(requestWithoutIdUsesNewConnection);
    CPPUNIT_TEST(connectionOfPreviousIncarnationIsNotReused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against telling the client that a request has not run although it has. This happens
    // when the upstream sends its refusal of an earlier request again on the same connection.
    void responseToEarlierRequestIsDiscarded()
    {
        for (const repeated_response_case &each : repeatedResponseCases) {
            for (const std::string route : {"reads", "writes"}) {
                scripted_server upstream([&](int request, const std::string &) {
                    return request == 1 ? each.firstResponse
                                        : each.repeatedResponse + responseToRequestTwo;
                });
                relay_fixture relay(upstream.port());
                relay.sendAndReadAll(relay.makeRequest(route, milliseconds(4'000), "1"));
                const std::string response = sendUntilForwarded(relay, upstream, route);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name + " " + route, std::string("200"),
                                             statusCodeOf(response));
                CPPUNIT_ASSERT_MESSAGE(each.name, response.ends_with("\r\n\r\nbody"));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, 1, upstream.connections());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, 2, upstream.requests());
            }
        }
    }

    // Guards against forwarding the response to another request. Without a request id, a response
    // on a reused connection cannot be assigned to its request.
    void requestWithoutIdUsesNewConnection()
    {
        scripted_server upstream([](int, const std::string &) {
            return std::string("HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody");
        });
        relay_fixture relay(upstream.port());
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("200"),
                                 statusCodeOf(relay.sendAndReadAll(
                                     relay.makeRequest("writes", milliseconds(4'000), ""))));
        CPPUNIT_ASSERT_EQUAL(2, upstream.connections());
    }

    // Guards against sending the same request twice on one connection, to two incarnations of an
    // upstream: a repeated refusal could not be told from the response to the second attempt.
    void connectionOfPreviousIncarnationIsNotReused()
    {
        scripted_server upstream([](int, const std::string &text) {
            return text.find("X-Upstream: u\r\n") != std::string::npos
                ? std::string("HTTP/1.1 421 Other\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n")
                : completeResponse;
        });
        relay_fixture relay(upstream.port());
        CPPUNIT_ASSERT_EQUAL(std::string("503"),
                             statusCodeOf(relay.sendAndReadAll(relay.makeRequest("writes"))));
        relay.updateUpstreams({{"later", upstream.port()}});
        CPPUNIT_ASSERT_EQUAL(std::string("200"),
                             statusCodeOf(relay.sendAndReadAll(relay.makeRequest("writes"))));
        CPPUNIT_ASSERT_EQUAL(2, upstream.connections());
    }

private:
    // Sends requests until the upstream receives a second request, because the relay avoids an
    // upstream for a short time after a refusal. Returns the last response.
    static std::string sendUntilForwarded(relay_fixture &relay, const scripted_server &upstream,
                                          const std::string &route)
    {
        std::string response;
        for (int i = 0; i < maximumTries && upstream.requests() < 2; ++i) {
            std::this_thread::sleep_for(tryInterval);
            response = relay.sendAndReadAll(relay.makeRequest(route, milliseconds(4'000), "2"));
        }
        return response;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_reuse_test);
