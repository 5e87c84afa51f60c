#include "kingcuptiller/relay/request_relay.h"

#include "tests/relay/relay_world.h"
#include "tests/support/scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace kingcuptiller;

namespace {

constexpr int mostTries = 500;
constexpr milliseconds pauseBetweenTries{10};

const std::string refusalOfOne =
    "HTTP/1.1 503 Full\r\nX-Id: 1\r\nX-NotRun: 1\r\nContent-Length: 0\r\n\r\n";
const std::string refusalOfNobody = "HTTP/1.1 503 Full\r\nX-NotRun: 1\r\nContent-Length: 0\r\n\r\n";
const std::string successOfNobody =
    "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nother";
const std::string ownAnswerToTwo =
    "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody";

struct repeat_case
{
    std::string name;
    // What the upstream answers to a request, and what it sends before its answer to the next one.
    std::string first;
    std::string repeated;
};

const std::vector<repeat_case> repeatCases = {
    {"refusal", refusalOfOne, refusalOfOne},
    {"refusal that names no request", refusalOfNobody, refusalOfNobody},
    {"refusal without the name that it had", refusalOfOne, refusalOfNobody},
    {"success that names no request", refusalOfOne, successOfNobody},
};

} // namespace

class kept_connection_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(kept_connection_test);
    CPPUNIT_TEST(earlierAnswersAreNotTakenForTheNextOne);
    CPPUNIT_TEST(requestsWithoutAnIdUseNoKeptConnection);
    CPPUNIT_TEST(connectionOfAnEarlierLifetimeIsNotUsedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against "not run" for a request that ran, because its upstream wrote an earlier
    // refusal once more.
    void earlierAnswersAreNotTakenForTheNextOne()
    {
        for (const repeat_case &each : repeatCases) {
            for (const std::string route : {"reads", "writes"}) {
                scripted_server upstream([&](int request, const std::string &) {
                    return request == 1 ? each.first : each.repeated + ownAnswerToTwo;
                });
                relay_world world(upstream.port());
                world.ask(world.request(route, milliseconds(4'000), "1"));
                const std::string answer = askUntilSent(world, upstream, route);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name + " " + route, std::string("200"),
                                             statusOf(answer));
                CPPUNIT_ASSERT_MESSAGE(each.name, answer.ends_with("\r\n\r\nbody"));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, 1, upstream.connections());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, 2, upstream.requests());
            }
        }
    }

    // Guards against an answer that nothing ties to its request.
    void requestsWithoutAnIdUseNoKeptConnection()
    {
        scripted_server upstream([](int, const std::string &) {
            return std::string("HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody");
        });
        relay_world world(upstream.port());
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT_EQUAL(
                std::string("200"),
                statusOf(world.ask(world.request("writes", milliseconds(4'000), ""))));
        CPPUNIT_ASSERT_EQUAL(2, upstream.connections());
    }

    // Guards against the same request's being sent twice on one connection, where a repeated
    // refusal could not be told from an answer.
    void connectionOfAnEarlierLifetimeIsNotUsedAgain()
    {
        scripted_server upstream([](int, const std::string &text) {
            return text.find("X-Upstream: u\r\n") != std::string::npos
                ? std::string("HTTP/1.1 421 Other\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n")
                : sealed;
        });
        relay_world world(upstream.port());
        CPPUNIT_ASSERT_EQUAL(std::string("503"), statusOf(world.ask(world.request("writes"))));
        world.show({{"later", upstream.port()}});
        CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(world.ask(world.request("writes"))));
        CPPUNIT_ASSERT_EQUAL(2, upstream.connections());
    }

private:
    // Asks until the upstream gets a second request: it is avoided for a moment after a refusal.
    static std::string askUntilSent(relay_world &world, const scripted_server &upstream,
                                    const std::string &route)
    {
        std::string answer;
        for (int i = 0; i < mostTries && upstream.requests() < 2; ++i) {
            std::this_thread::sleep_for(pauseBetweenTries);
            answer = world.ask(world.request(route, milliseconds(4'000), "2"));
        }
        return answer;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(kept_connection_test);
