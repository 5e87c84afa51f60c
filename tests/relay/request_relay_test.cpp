#include "kingcuptiller/relay/request_relay.h"

#include "kingcuptiller/transport/free_port.h"
#include "tests/relay/relay_world.h"
#include "tests/support/scripted_server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <mutex>
#include <optional>
#include <thread>

using namespace kingcuptiller;

namespace {

struct answer_case
{
    std::string name;
    std::string route;
    std::string upstream;
    std::string expectedStatus;
    std::string expectedBody;
};

} // namespace

class request_relay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_relay_test);
    CPPUNIT_TEST(clientsAreToldTheTruth);
    CPPUNIT_TEST(bytesAfterAnAnswerEndTheUseOfItsConnection);
    CPPUNIT_TEST(completeAnswersKeepTheirConnection);
    CPPUNIT_TEST(unreachableUpstreamProvesThatNothingRan);
    CPPUNIT_TEST(upstreamsWithoutConnectionUseNoAttempt);
    CPPUNIT_TEST(requestIsForwardedUnchangedButForItsOwnHeaders);
    CPPUNIT_TEST(bodyAboveTheLimitIsRefusedUnread);
    CPPUNIT_TEST(malformedRequestsAreRefused);
    CPPUNIT_TEST(upstreamIsToldThatTheClientLeft);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusals while other upstreams are there: a lost zone leaves upstreams that
    // accept no connection, and nothing was sent to them that could count as an attempt.
    void upstreamsWithoutConnectionUseNoAttempt()
    {
        scripted_server upstream([](int, const std::string &) { return sealed; });
        relay_world world({findFreePort(), findFreePort(), upstream.port()}, 1'000, 1);
        for (const char *route : {"writes", "reads"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(route, std::string("200"),
                                         statusOf(world.ask(world.request(route))));
    }

    // Guards against a request that runs twice, a refusal that is not true, and a success that is
    // not the upstream's whole answer to this request.
    void clientsAreToldTheTruth()
    {
        const std::string foreign =
            "HTTP/1.1 200 OK\r\nX-Id: 6\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nother";
        const std::string failedTail = "\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad";
        const std::string cutHead =
            "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nConnection: close\r\n";
        const std::vector<answer_case> cases = {
            {"success", "writes", sealed, "200", "body"},
            {"closed without an answer", "writes", "", "502", ""},
            {"closed without an answer", "reads", "", "502", ""},
            {"cut short", "writes",
             "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nConnection: close\r\n"
             "Content-Length: 4\r\n\r\nbod",
             "502", ""},
            {"not HTTP", "writes", "garbage\r\n\r\n", "502", ""},
            {"head cut after a line", "writes", cutHead, "502", ""},
            {"head cut after a line", "reads", cutHead, "502", ""},
            {"head cut in a name", "writes", cutHead + "Content-Le", "502", ""},
            {"head cut after the length", "writes", cutHead + "Content-Length: 4\r\n", "502", ""},
            {"head cut after a length of nothing", "writes", cutHead + "Content-Length: 0\r\n",
             "502", ""},
            {"head cut before its last byte", "writes", cutHead + "\r", "502", ""},
            {"head cut in its first line", "writes",
             "HTTP/1.1 100 Continue\r\nConnection: close\r\n\r\nHTTP/1.1 200 O", "502", ""},
            {"head cut after an answer to another request", "writes", foreign + cutHead, "502", ""},
            {"not sealed", "writes", "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n",
             "502", ""},
            {"answer to another request first", "writes", foreign + sealed, "200", "body"},
            {"only an answer to another request", "writes",
             "HTTP/1.1 200 OK\r\nX-Id: 6\r\nX-Seal: s\r\nConnection: close\r\n"
             "Content-Length: 0\r\n\r\n",
             "502", ""},
            {"refused truthfully", "writes",
             "HTTP/1.1 503 Full\r\nX-NotRun: 1\r\nContent-Length: 0\r\n\r\n", "503", ""},
            {"unavailable, and may have run", "writes", "HTTP/1.1 503 Bad" + failedTail, "502", ""},
            {"unavailable, and may have run", "reads", "HTTP/1.1 503 Bad" + failedTail, "502", ""},
            {"too many requests, and may have run", "writes", "HTTP/1.1 429 Bad" + failedTail,
             "502", ""},
            {"timeout, and may have run", "writes", "HTTP/1.1 408 Bad" + failedTail, "502", ""},
            {"failed", "writes", "HTTP/1.1 500 Bad\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad",
             "500", "bad"},
            {"without length", "writes",
             "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nConnection: close\r\n\r\nbody", "200",
             "body"},
            {"chunked", "writes",
             "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
             "4\r\nbody\r\n0\r\n\r\n",
             "200", "body"},
        };
        for (const answer_case &each : cases) {
            // One answer a connection, then a close.
            scripted_server upstream([&](int request, const std::string &) {
                return request == 1 ? each.upstream : std::string();
            });
            relay_world world(upstream.port());
            const std::string answer = world.ask(world.request(each.route));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name + " " + each.route, each.expectedStatus,
                                         statusOf(answer));
            CPPUNIT_ASSERT_MESSAGE(each.name, answer.ends_with(each.expectedBody));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, 1, upstream.requests());
        }
    }

    // Guards against an answer of nobody's being handed to the next request.
    void bytesAfterAnAnswerEndTheUseOfItsConnection()
    {
        scripted_server upstream([](int, const std::string &) { return sealed + "HTTP/1.1 200"; });
        relay_world world(upstream.port());
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(world.ask(world.request("writes"))));
        CPPUNIT_ASSERT_EQUAL(3, upstream.connections());
    }

    void completeAnswersKeepTheirConnection()
    {
        scripted_server upstream([](int, const std::string &) { return sealed; });
        relay_world world(upstream.port());
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(world.ask(world.request("writes"))));
        CPPUNIT_ASSERT_EQUAL(1, upstream.connections());
    }

    // Guards against an open outcome where the client could have tried again.
    void unreachableUpstreamProvesThatNothingRan()
    {
        std::uint16_t port = 0;
        {
            const scripted_server gone([](int, const std::string &) { return std::string(); });
            port = gone.port();
        }
        relay_world world(port);
        const std::string answer = world.ask(world.request("writes"));
        CPPUNIT_ASSERT_EQUAL(std::string("503"), statusOf(answer));
        CPPUNIT_ASSERT(answer.find("Retry-After: ") != std::string::npos);
    }

    void requestIsForwardedUnchangedButForItsOwnHeaders()
    {
        std::string seen;
        std::mutex mutex;
        scripted_server upstream([&](int, const std::string &text) {
            const std::lock_guard lock(mutex);
            seen = text;
            return sealed;
        });
        relay_world world(upstream.port());
        world.ask("PUT /writes/a%20b?c=d HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\nX-Time: 900\r\n"
                  "X-Other: kept\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\n"
                  "Content-Length: 2\r\n\r\nhi");
        const std::lock_guard lock(mutex);
        for (const char *part :
             {"PUT /writes/a%20b?c=d HTTP/1.1\r\n", "X-Id: 7\r\n", "X-Other: kept\r\n",
              "X-Upstream: u\r\n", "Content-Length: 2\r\n", "\r\n\r\nhi"})
            CPPUNIT_ASSERT_MESSAGE(part, seen.find(part) != std::string::npos);
        CPPUNIT_ASSERT(seen.find("X-Mine") == std::string::npos);
        CPPUNIT_ASSERT(seen.find("X-Time: 900") == std::string::npos);
    }

    // Guards against a client that makes an entry's memory grow.
    void bodyAboveTheLimitIsRefusedUnread()
    {
        scripted_server upstream([](int, const std::string &) { return sealed; });
        relay_world world(upstream.port(), 10);
        const std::string answer =
            world.ask("POST /writes/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\n"
                      "Content-Length: 99000000000\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("413"), statusOf(answer));
        CPPUNIT_ASSERT_EQUAL(0, upstream.requests());
    }

    // Guards against a second request smuggled behind a first one.
    void malformedRequestsAreRefused()
    {
        scripted_server upstream([](int, const std::string &) { return sealed; });
        relay_world world(upstream.port());
        const std::string head = "POST /writes/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\n";
        for (const std::string &bytes :
             {std::string("garbage\r\n\r\n"),
              head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
              head + "Content-Length: x\r\n\r\n"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string("400"), statusOf(world.ask(bytes)));
        CPPUNIT_ASSERT_EQUAL(std::string("404"),
                             statusOf(world.ask("GET /other/ HTTP/1.1\r\nHost: a.example\r\n"
                                                "Connection: close\r\n\r\n")));
        CPPUNIT_ASSERT_EQUAL(0, upstream.requests());
    }

    // Guards against upstreams that work for clients which are gone.
    void upstreamIsToldThatTheClientLeft()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, parseTcpEndpoint("127.0.0.1:0"));
        relay_world world(acceptor.local_endpoint().port());
        std::optional<asio::ip::tcp::socket> client = world.connect();
        asio::write(*client,
                    asio::buffer(std::string("GET /reads/1 HTTP/1.1\r\nHost: a.example\r\n"
                                             "X-Id: 7\r\nX-Time: 4000\r\n\r\n")));
        asio::ip::tcp::socket upstream = acceptor.accept();
        std::string request;
        asio::read_until(upstream, asio::dynamic_buffer(request), "\r\n\r\n");
        client.reset();
        char byte = 0;
        boost::system::error_code problem;
        asio::read(upstream, asio::buffer(&byte, 1), problem);
        CPPUNIT_ASSERT_MESSAGE(problem.message(),
                               problem == asio::error::eof
                                   || problem == asio::error::connection_reset);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_relay_test);
