#include "kingcuptiller/relay/traffic_server.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <thread>

using namespace kingcuptiller;

namespace {

namespace asio = boost::asio;

constexpr milliseconds idleLimit{30};
// The event loop runs this often and this long, so that the server accepts the connection.
constexpr milliseconds eventLoopRunTime{3};
constexpr int eventLoopRunsUntilAccepted = 5;
// More than the number of handlers that run when the timeout of an idle connection expires.
constexpr int maximumHandlers = 6;
// More than the buffers of both ends of a connection hold.
constexpr std::size_t largeResponseBytes = 48'000'000;
constexpr milliseconds readingDelay{300};

client_limits shortLimits()
{
    client_limits limits;
    limits.idleTimeout = idleLimit;
    return limits;
}

} // namespace

class traffic_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(traffic_server_test);
    CPPUNIT_TEST(drainDuringIdleTimeoutDoesNotThrow);
    CPPUNIT_TEST(requestOfClosedConnectionIsDropped);
    CPPUNIT_TEST(slowReadersAreNoticed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an exception that ends the process, and with it the requests in progress, when
    // draining starts while the handlers of an expired idle timeout are still queued.
    void drainDuringIdleTimeoutDoesNotThrow()
    {
        for (int handlers = 0; handlers <= maximumHandlers; ++handlers) {
            asio::io_context context;
            traffic_server server(
                context, parseTcpEndpoint("127.0.0.1:0"),
                [](const relay_request &, client_disconnect_signal &)
                    -> asio::awaitable<relay_response> { co_return relay_response{}; },
                shortLimits);
            asio::io_context clientContext;
            asio::ip::tcp::socket client(clientContext);
            client.connect(server.address());
            for (int i = 0; i < eventLoopRunsUntilAccepted; ++i) {
                context.run_for(eventLoopRunTime);
                context.restart();
            }
            std::this_thread::sleep_for(2 * idleLimit);
            for (int i = 0; i < handlers; ++i)
                context.poll_one();
            CPPUNIT_ASSERT_NO_THROW_MESSAGE(std::to_string(handlers), server.startDraining());
        }
    }

    // Guards against handling a request that its client has given up and sent to another server,
    // after this process was suspended.
    void requestOfClosedConnectionIsDropped()
    {
        for (const bool isClosed : {false, true}) {
            asio::io_context context;
            int handledRequests = 0;
            traffic_server server(
                context, parseTcpEndpoint("127.0.0.1:0"),
                [&handledRequests](const relay_request &,
                                   client_disconnect_signal &) -> asio::awaitable<relay_response> {
                    ++handledRequests;
                    co_return relay_response{};
                },
                shortLimits);
            asio::io_context clientContext;
            asio::ip::tcp::socket client(clientContext);
            client.connect(server.address());
            const std::string request = "DELETE /orders/1 HTTP/1.1\r\nHost: a\r\n\r\n";
            asio::write(client, asio::buffer(request));
            if (isClosed)
                client.close();
            context.run_for(idleLimit);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(isClosed ? "closed" : "open", isClosed ? 0 : 1,
                                         handledRequests);
        }
    }

    // Guards against ending the process while clients usually still read the response.
    void slowReadersAreNoticed()
    {
        asio::io_context context;
        traffic_server server(
            context, parseTcpEndpoint("127.0.0.1:0"),
            [](const relay_request &,
               client_disconnect_signal &) -> asio::awaitable<relay_response> {
                co_return makeTextResponse(boost::beast::http::status::ok,
                                           std::string(largeResponseBytes, 'r'));
            },
            [] { return client_limits(); });
        CPPUNIT_ASSERT(server.longestDelivery() == milliseconds(0));
        const tcp_endpoint address = server.address();
        std::thread client([address] {
            asio::io_context clientContext;
            asio::ip::tcp::socket socket(clientContext);
            socket.connect(address);
            const std::string request = "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
            asio::write(socket, asio::buffer(request));
            std::this_thread::sleep_for(readingDelay);
            std::string response;
            boost::system::error_code ignored;
            asio::read(socket, asio::dynamic_buffer(response), ignored);
        });
        while (server.longestDelivery() == milliseconds(0) || server.requestsInProgress() > 0) {
            context.run_for(eventLoopRunTime);
            context.restart();
        }
        client.join();
        CPPUNIT_ASSERT(server.longestDelivery() >= readingDelay / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(traffic_server_test);
