#include "kingcuptiller/relay/traffic_server.h"

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(traffic_server_test);
