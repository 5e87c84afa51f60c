#include "kingcuptiller/node/metrics_page.h"
#include "kingcuptiller/relay/http_types.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>
#include <vector>

using namespace kingcuptiller;

namespace {

namespace asio = boost::asio;

struct page_case
{
    std::string request;
    std::string status;
    std::string contained;
};

} // namespace

class metrics_page_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metrics_page_test);
    CPPUNIT_TEST(countersAreServedAsText);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a process whose counters nobody can read, or one that shows them under any
    // path.
    void countersAreServedAsText()
    {
        counter_registry counters;
        counters.get("kct_example", {{"kind", "a"}}).add(3);
        asio::io_context context;
        const traffic_server server(context, parseTcpEndpoint("127.0.0.1:0"),
                                    metricsHandler(counters), [] { return client_limits(); });
        std::thread thread([&] { context.run(); });
        const std::vector<page_case> cases = {
            {"GET /metrics", "HTTP/1.1 200 OK", "kct_example{kind=\"a\"} 3\n"},
            {"GET /other", "HTTP/1.1 404 Not Found", "/metrics"},
            {"PUT /metrics", "HTTP/1.1 404 Not Found", "/metrics"},
        };
        for (const page_case &each : cases) {
            asio::io_context own;
            asio::ip::tcp::socket socket(own);
            socket.connect(server.address());
            asio::write(
                socket,
                asio::buffer(each.request + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
            std::string answer;
            boost::system::error_code ignored;
            asio::read(socket, asio::dynamic_buffer(answer), ignored);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.request, each.status,
                                         answer.substr(0, answer.find("\r\n")));
            CPPUNIT_ASSERT_MESSAGE(answer, answer.find(each.contained) != std::string::npos);
        }
        context.stop();
        thread.join();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_page_test);
