#include "kingcuptiller/relay/request_relay.h"

#include "kingcuptiller/transport/free_port.h"
#include "tests/relay/relay_fixture.h"
#include "tests/support/scripted_server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

using namespace kingcuptiller;

namespace {

struct response_case
{
    std::string name;
    std::string route;
    std::string upstreamResponse;
    std::string expectedStatus;
    std::string expectedBody;
};

} // namespace

class request_relay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_relay_test);
    CPPUNIT_TEST(clientGetsResponseThatMatchesOutcome);
    CPPUNIT_TEST(bytesAfterResponsePreventConnectionReuse);
    CPPUNIT_TEST(connectionIsReusedAfterCompleteResponse);
    CPPUNIT_TEST(unreachableUpstreamGivesServiceUnavailable);
    CPPUNIT_TEST(failedConnectionIsNotCountedAsAttempt);
    CPPUNIT_TEST(requestIsForwardedWithoutHopByHopHeaders);
    CPPUNIT_TEST(bodyAboveLimitIsRejectedUnread);
    CPPUNIT_TEST(malformedRequestIsRejected);
    CPPUNIT_TEST(upstreamConnectionIsClosedAfterClientDisconnects);
    CPPUNIT_TEST(partWithoutUpstreamsKeepsItsRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusing a request while another upstream is available. After the loss of an
    // availability zone, the relay still knows upstreams there that accept no connection; a failed
    // connection sends nothing and must not use up the attempts of a request.
    void failedConnectionIsNotCountedAsAttempt()
    {
        scripted_server upstream([](int, const std::string &) { return completeResponse; });
        relay_fixture relay({findFreePort(), findFreePort(), upstream.port()}, 1'000, 1);
        for (const char *route : {"writes", "reads"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                route, std::string("200"),
                statusCodeOf(relay.sendAndReadAll(relay.makeRequest(route))));
    }

    // Guards against running a request twice, against a refusal (503) of a request that may have
    // run, and against a success that is not the upstream's complete response to this request.
    void clientGetsResponseThatMatchesOutcome()
    {
        const std::string responseToOtherRequest =
            "HTTP/1.1 200 OK\r\nX-Id: 6\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nother";
        const std::string failureHeadersAndBody = "\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad";
        const std::string truncatedHeaders =
            "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nConnection: close\r\n";
        const std::vector<response_case> cases = {
            {"success", "writes", completeResponse, "200", "body"},
            {"closed without a response", "writes", "", "502", ""},
            {"closed without a response", "reads", "", "502", ""},
            {"truncated body", "writes",
             "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nConnection: close\r\n"
             "Content-Length: 4\r\n\r\nbod",
             "502", ""},
            {"not HTTP", "writes", "garbage\r\n\r\n", "502", ""},
            {"headers truncated after a line", "writes", truncatedHeaders, "502", ""},
            {"headers truncated after a line", "reads", truncatedHeaders, "502", ""},
            {"headers truncated within a name", "writes", truncatedHeaders + "Content-Le", "502",
             ""},
            {"headers truncated after Content-Length", "writes",
             truncatedHeaders + "Content-Length: 4\r\n", "502", ""},
            {"headers truncated after Content-Length 0", "writes",
             truncatedHeaders + "Content-Length: 0\r\n", "502", ""},
            {"headers truncated before the last byte", "writes", truncatedHeaders + "\r", "502",
             ""},
            {"status line truncated after an interim response", "writes",
             "HTTP/1.1 100 Continue\r\nConnection: close\r\n\r\nHTTP/1.1 200 O", "502", ""},
            {"headers truncated after a response to another request", "writes",
             responseToOtherRequest + truncatedHeaders, "502", ""},
            {"without upstream marker", "writes",
             "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n", "502", ""},
            {"response to another request first", "writes",
             responseToOtherRequest + completeResponse, "200", "body"},
            {"only a response to another request", "writes",
             "HTTP/1.1 200 OK\r\nX-Id: 6\r\nX-Seal: s\r\nConnection: close\r\n"
             "Content-Length: 0\r\n\r\n",
             "502", ""},
            {"refused as not run", "writes",
             "HTTP/1.1 503 Full\r\nX-NotRun: 1\r\nContent-Length: 0\r\n\r\n", "503", ""},
            {"unavailable, and may have run", "writes", "HTTP/1.1 503 Bad" + failureHeadersAndBody,
             "502", ""},
            {"unavailable, and may have run", "reads", "HTTP/1.1 503 Bad" + failureHeadersAndBody,
             "502", ""},
            {"too many requests, and may have run", "writes",
             "HTTP/1.1 429 Bad" + failureHeadersAndBody, "502", ""},
            {"timeout, and may have run", "writes", "HTTP/1.1 408 Bad" + failureHeadersAndBody,
             "502", ""},
            {"failed", "writes", "HTTP/1.1 500 Bad\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad",
             "500", "bad"},
            {"body without Content-Length", "writes",
             "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nConnection: close\r\n\r\nbody", "200",
             "body"},
            {"chunked", "writes",
             "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
             "4\r\nbody\r\n0\r\n\r\n",
             "200", "body"},
        };
        for (const response_case &each : cases) {
            // The upstream responds to the first request only and closes every further connection.
            scripted_server upstream([&](int request, const std::string &) {
                return request == 1 ? each.upstreamResponse : std::string();
            });
            relay_fixture relay(upstream.port());
            const std::string response = relay.sendAndReadAll(relay.makeRequest(each.route));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name + " " + each.route, each.expectedStatus,
                                         statusCodeOf(response));
            CPPUNIT_ASSERT_MESSAGE(each.name, response.ends_with(each.expectedBody));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, 1, upstream.requests());
        }
    }

    // Guards against forwarding bytes that belong to no request as the response to the next
    // request.
    void bytesAfterResponsePreventConnectionReuse()
    {
        scripted_server upstream(
            [](int, const std::string &) { return completeResponse + "HTTP/1.1 200"; });
        relay_fixture relay(upstream.port());
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("200"),
                                 statusCodeOf(relay.sendAndReadAll(relay.makeRequest("writes"))));
        CPPUNIT_ASSERT_EQUAL(3, upstream.connections());
    }

    void connectionIsReusedAfterCompleteResponse()
    {
        scripted_server upstream([](int, const std::string &) { return completeResponse; });
        relay_fixture relay(upstream.port());
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("200"),
                                 statusCodeOf(relay.sendAndReadAll(relay.makeRequest("writes"))));
        CPPUNIT_ASSERT_EQUAL(1, upstream.connections());
    }

    // Guards against reporting an unknown outcome where the request certainly has not run and the
    // client could safely retry.
    void unreachableUpstreamGivesServiceUnavailable()
    {
        std::uint16_t port = 0;
        {
            const scripted_server gone([](int, const std::string &) { return std::string(); });
            port = gone.port();
        }
        relay_fixture relay(port);
        const std::string response = relay.sendAndReadAll(relay.makeRequest("writes"));
        CPPUNIT_ASSERT_EQUAL(std::string("503"), statusCodeOf(response));
        CPPUNIT_ASSERT(response.find("Retry-After: ") != std::string::npos);
    }

    void requestIsForwardedWithoutHopByHopHeaders()
    {
        std::string forwardedRequest;
        std::mutex mutex;
        scripted_server upstream([&](int, const std::string &text) {
            const std::lock_guard lock(mutex);
            forwardedRequest = text;
            return completeResponse;
        });
        relay_fixture relay(upstream.port());
        relay.sendAndReadAll(
            "PUT /writes/a%20b?c=d HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\nX-Time: 900\r\n"
            "X-Other: kept\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\n"
            "Content-Length: 2\r\n\r\nhi");
        const std::lock_guard lock(mutex);
        for (const char *part :
             {"PUT /writes/a%20b?c=d HTTP/1.1\r\n", "X-Id: 7\r\n", "X-Other: kept\r\n",
              "X-Upstream: u\r\n", "Content-Length: 2\r\n", "\r\n\r\nhi"})
            CPPUNIT_ASSERT_MESSAGE(part, forwardedRequest.find(part) != std::string::npos);
        CPPUNIT_ASSERT(forwardedRequest.find("X-Mine") == std::string::npos);
        CPPUNIT_ASSERT(forwardedRequest.find("X-Time: 900") == std::string::npos);
    }

    // Guards against a client that exhausts the memory of an entry with a large body.
    void bodyAboveLimitIsRejectedUnread()
    {
        scripted_server upstream([](int, const std::string &) { return completeResponse; });
        relay_fixture relay(upstream.port(), 10);
        const std::string response =
            relay.sendAndReadAll("POST /writes/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\n"
                                 "Content-Length: 99000000000\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("413"), statusCodeOf(response));
        CPPUNIT_ASSERT_EQUAL(0, upstream.requests());
    }

    // Guards against request smuggling.
    void malformedRequestIsRejected()
    {
        scripted_server upstream([](int, const std::string &) { return completeResponse; });
        relay_fixture relay(upstream.port());
        const std::string head = "POST /writes/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\n";
        for (const std::string &bytes :
             {std::string("garbage\r\n\r\n"),
              head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
              head + "Content-Length: x\r\n\r\n"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string("400"),
                                         statusCodeOf(relay.sendAndReadAll(bytes)));
        CPPUNIT_ASSERT_EQUAL(
            std::string("404"),
            statusCodeOf(relay.sendAndReadAll("GET /other/ HTTP/1.1\r\nHost: a.example\r\n"
                                              "Connection: close\r\n\r\n")));
        CPPUNIT_ASSERT_EQUAL(0, upstream.requests());
    }

    // Guards against requests that move to another part of a split route.
    void partWithoutUpstreamsKeepsItsRequests()
    {
        scripted_server upstream([](int, const std::string &) { return completeResponse; });
        relay_fixture relay(upstream.port());
        std::map<std::string, int> statuses;
        for (int i = 0; i < 40; ++i)
            ++statuses[statusCodeOf(relay.sendAndReadAll(relay.makeRequest("halves")))];
        CPPUNIT_ASSERT_EQUAL(40, statuses["200"] + statuses["503"]);
        CPPUNIT_ASSERT_EQUAL(statuses["200"], upstream.requests());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, statuses["200"], 4);
    }

    // Guards against upstreams that keep working on requests whose clients have disconnected.
    void upstreamConnectionIsClosedAfterClientDisconnects()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, parseTcpEndpoint("127.0.0.1:0"));
        relay_fixture relay(acceptor.local_endpoint().port());
        std::optional<asio::ip::tcp::socket> client = relay.connect();
        asio::write(*client,
                    asio::buffer(std::string("GET /reads/1 HTTP/1.1\r\nHost: a.example\r\n"
                                             "X-Id: 7\r\nX-Time: 4000\r\n\r\n")));
        asio::ip::tcp::socket upstream = acceptor.accept();
        std::string request;
        asio::read_until(upstream, asio::dynamic_buffer(request), "\r\n\r\n");
        client.reset();
        char byte = 0;
        boost::system::error_code errorCode;
        asio::read(upstream, asio::buffer(&byte, 1), errorCode);
        CPPUNIT_ASSERT_MESSAGE(errorCode.message(),
                               errorCode == asio::error::eof
                                   || errorCode == asio::error::connection_reset);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_relay_test);
