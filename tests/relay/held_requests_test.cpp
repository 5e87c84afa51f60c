#include "kingcuptiller/relay/traffic_server.h"
#include "tests/relay/relay_fixture.h"
#include "tests/support/scripted_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

using namespace kingcuptiller;

namespace {

constexpr std::uint64_t heldRequestBytes = 1'000'000;
constexpr std::size_t largeBytes = 600'000;

// A server whose requests are handled when `release` is called, not before.
class holding_server
{
public:
    holding_server()
        : m_gate(m_context, asio::steady_timer::time_point::max())
        , m_server(
              m_context, parseTcpEndpoint("127.0.0.1:0"),
              [this](const relay_request &, client_disconnect_signal &) { return handle(); },
              [] { return client_limits(); }, nullptr, server_capacity{heldRequestBytes})
    {
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~holding_server()
    {
        m_context.stop();
        m_thread.join();
    }
    holding_server(const holding_server &) = delete;
    holding_server &operator=(const holding_server &) = delete;

    asio::ip::tcp::socket send(const std::string &bytes)
    {
        asio::ip::tcp::socket client(m_clientContext);
        client.connect(m_server.address());
        boost::system::error_code ignored;
        asio::write(client, asio::buffer(bytes), ignored);
        return client;
    }

    // Waits until `count` requests are being handled.
    void waitForRequests(int count) const
    {
        while (m_waiting < count)
            std::this_thread::sleep_for(milliseconds(1));
    }

    void release()
    {
        asio::post(m_context, [this] { m_gate.cancel(); });
    }

private:
    asio::awaitable<relay_response> handle()
    {
        ++m_waiting;
        boost::system::error_code ignored;
        co_await m_gate.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        --m_waiting;
        co_return relay_response{};
    }

    asio::io_context m_context;
    asio::io_context m_clientContext;
    asio::steady_timer m_gate;
    std::atomic<int> m_waiting = 0;
    traffic_server m_server;
    std::thread m_thread;
};

std::string readAll(asio::ip::tcp::socket &client)
{
    std::string response;
    boost::system::error_code ignored;
    asio::read(client, asio::dynamic_buffer(response), ignored);
    return response;
}

std::string requestWith(std::size_t bodyBytes, bool isChunked = false, bool closes = true)
{
    const std::string head =
        std::string("POST /1 HTTP/1.1\r\nHost: a\r\n") + (closes ? "Connection: close\r\n" : "");
    const std::string body(bodyBytes, 'x');
    if (!isChunked)
        return head + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + body;
    return head + "Transfer-Encoding: chunked\r\n\r\n" + fmt::format("{:x}", bodyBytes) + "\r\n"
        + body + "\r\n0\r\n\r\n";
}

struct body_case
{
    std::string name;
    std::size_t bodyBytes = 0;
    bool isChunked = false;
    std::string expectedStatus;
};

const std::vector<body_case> bodyCases = {
    {"another large body", largeBytes, false, "503"},
    {"another large body, chunked", largeBytes, true, "503"},
    {"a body that fits", 300'000, false, "200"},
    {"a small body", 1'000, false, "200"},
    {"a small body, chunked", 1'000, true, "200"},
    {"no body", 0, false, "200"},
};

} // namespace

class held_requests_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(held_requests_test);
    CPPUNIT_TEST(bodiesThatDoNotFitAreRejectedAndLeaveRoomForSmallOnes);
    CPPUNIT_TEST(bytesOfEndedRequestsAreGivenBack);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against large bodies that use up the memory of an entry, and against a large body that
    // keeps all others out.
    void bodiesThatDoNotFitAreRejectedAndLeaveRoomForSmallOnes()
    {
        for (const body_case &each : bodyCases) {
            holding_server server;
            asio::ip::tcp::socket first = server.send(requestWith(largeBytes));
            server.waitForRequests(1);
            asio::ip::tcp::socket second = server.send(requestWith(each.bodyBytes, each.isChunked));
            if (each.expectedStatus == "200") {
                server.waitForRequests(2);
                server.release();
            }
            const std::string response = readAll(second);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.expectedStatus, statusCodeOf(response));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.expectedStatus == "503",
                                         response.find("Retry-After: ") != std::string::npos);
            server.release();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, std::string("200"),
                                         statusCodeOf(readAll(first)));
        }
    }

    // Guards against bodies that idle connections keep.
    void bytesOfEndedRequestsAreGivenBack()
    {
        holding_server server;
        std::vector<asio::ip::tcp::socket> kept;
        for (int i = 0; i < 3; ++i) {
            kept.push_back(server.send(requestWith(largeBytes, false, false)));
            server.waitForRequests(1);
            server.release();
            std::string response(12, ' ');
            asio::read(kept.back(), asio::buffer(response));
            CPPUNIT_ASSERT_EQUAL(std::string("200"), statusCodeOf(response));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(held_requests_test);
