#include "kingcuptiller/relay/request_relay.h"
#include "tests/relay/relay_fixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

using namespace kingcuptiller;

namespace {

// Bytes that may be in the socket buffers of the relay and the upstream, not yet read by the relay.
constexpr std::size_t maximumSocketBufferBytes = 16'000'000;
// The relay must close the connection within this number of polls.
constexpr int maximumPolls = 200;
constexpr milliseconds pollInterval{50};
// Time limit of each request. A sanitizer build takes several seconds to read a million chunks.
constexpr milliseconds requestTimeout{30'000};
// The upstream stops sending on a connection after this number of bytes.
constexpr std::size_t maximumSentBytes = 400'000'000;

// Reads one request on each connection, then sends `prefix` and after it `repeatedText`
// repeatedly, until the peer closes the connection.
class endless_upstream
{
public:
    endless_upstream(std::string prefix, const std::string &repeatedText)
        : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
        , m_prefix(std::move(prefix))
    {
        constexpr std::size_t blockBytes = 16'384;
        while (m_repeatedBlock.size() < blockBytes)
            m_repeatedBlock += repeatedText;
        m_thread = std::thread([this] { serveAll(); });
    }

    ~endless_upstream()
    {
        m_stopping = true;
        asio::ip::tcp::socket wake(m_context);
        boost::system::error_code ignored;
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }
    endless_upstream(const endless_upstream &) = delete;
    endless_upstream &operator=(const endless_upstream &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    // Returns the largest number of bytes sent on one connection.
    [[nodiscard]] std::size_t maximumBytesPerConnection() const
    {
        return m_maximumBytesPerConnection;
    }
    // Returns the number of connections on which sending has ended.
    [[nodiscard]] int closedConnections() const { return m_closedConnections; }

private:
    void serveAll()
    {
        while (!m_stopping) {
            boost::system::error_code errorCode;
            asio::ip::tcp::socket socket(m_context);
            m_acceptor.accept(socket, errorCode);
            if (!errorCode && !m_stopping)
                serve(socket);
        }
    }

    void serve(asio::ip::tcp::socket &socket)
    {
        boost::system::error_code errorCode;
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", errorCode);
        std::size_t sent = asio::write(socket, asio::buffer(m_prefix), errorCode);
        while (!errorCode && sent < maximumSentBytes)
            sent += asio::write(socket, asio::buffer(m_repeatedBlock), errorCode);
        m_maximumBytesPerConnection = std::max(m_maximumBytesPerConnection.load(), sent);
        ++m_closedConnections;
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::string m_prefix;
    std::string m_repeatedBlock;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::size_t> m_maximumBytesPerConnection = 0;
    std::atomic<int> m_closedConnections = 0;
    std::thread m_thread;
};

struct endless_response_case
{
    std::string name;
    std::string prefix;
    std::string repeatedText;
    std::string expectedStatus;
};

const std::string validHeaders = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\n";
const std::string chunkedHeaders = validHeaders + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<endless_response_case> endlessResponseCases = {
    {"not HTTP", "", "noise ", "502"},
    {"empty lines", "", "\r\n", "502"},
    {"status line", "HTTP/1.1 200 ", "a", "502"},
    {"one endless header", validHeaders + "X-More: ", "a", "502"},
    {"headers", validHeaders, "X-More: a\r\n", "502"},
    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", "502"},
    {"responses to other requests", "",
     "HTTP/1.1 200 OK\r\nX-Id: 6\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", "502"},
    {"body without Content-Length", validHeaders + "\r\n", "a", "502"},
    {"body with excessive Content-Length", validHeaders + "Content-Length: 900000000000\r\n\r\n",
     "a", "502"},
    {"chunks", chunkedHeaders, "4\r\nbody\r\n", "502"},
    {"small chunks", chunkedHeaders, "1\r\na\r\n", "502"},
    {"one chunk", chunkedHeaders + "ffffffff\r\n", "a", "502"},
    {"chunk size", chunkedHeaders, "0", "502"},
    {"chunk extension", chunkedHeaders + "4;", "a", "502"},
    {"trailers", chunkedHeaders + "0\r\n", "X-More: a\r\n", "502"},
    {"bytes after the response", completeResponse, "a", "200"},
};

} // namespace

class endless_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endless_response_test);
    CPPUNIT_TEST(connectionWithEndlessResponseIsClosed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an upstream that sends bytes without end and so exhausts the memory and the
    // network link of an entry.
    void connectionWithEndlessResponseIsClosed()
    {
        for (const endless_response_case &each : endlessResponseCases) {
            for (const std::string route : {"reads", "writes"}) {
                endless_upstream upstream(each.prefix, each.repeatedText);
                {
                    relay_fixture relay(upstream.port());
                    const std::string response =
                        relay.sendAndReadAll(relay.makeRequest(route, requestTimeout));
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.expectedStatus,
                                                 statusCodeOf(response));
                    for (int i = 0; i < maximumPolls && upstream.closedConnections() == 0; ++i) {
                        relay.runPeriodicTasks();
                        std::this_thread::sleep_for(pollInterval);
                    }
                    CPPUNIT_ASSERT_MESSAGE(each.name, upstream.closedConnections() > 0);
                }
                CPPUNIT_ASSERT_MESSAGE(each.name + ", bytes sent on one connection: "
                                           + std::to_string(upstream.maximumBytesPerConnection()),
                                       upstream.maximumBytesPerConnection()
                                           <= relay_options().maximumResponseBytes
                                               + maximumSocketBufferBytes);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_response_test);
