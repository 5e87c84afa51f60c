#include "kingcuptiller/relay/byte_budget.h"
#include "kingcuptiller/relay/request_relay.h"
#include "tests/relay/relay_fixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

using namespace kingcuptiller;

namespace {

constexpr std::size_t mebibyte = std::size_t{1} << 20U;
// Each faulty response begins with this many bytes of its body, and goes on when it is told to.
constexpr std::size_t sentBodyBytes = 3 * mebibyte;
constexpr std::size_t heldResponseBytes = 8 * mebibyte;
constexpr std::size_t requestCount = 8;
// Exchanges whose bytes fit into the budget together.
constexpr std::size_t fittingExchanges = heldResponseBytes / sentBodyBytes;
constexpr milliseconds requestTimeout{30'000};
constexpr milliseconds pollInterval{20};
constexpr int maximumPolls = 500;

// Answers a request for "/.../small" completely. To any other request it sends a part of a body and
// then nothing until it is stopped.
class stalling_upstream
{
public:
    stalling_upstream()
        : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
        , m_acceptThread([this] { acceptAll(); })
    {
    }

    ~stalling_upstream()
    {
        m_stopping = true;
        asio::ip::tcp::socket wake(m_context);
        boost::system::error_code ignored;
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_acceptThread.join();
        for (std::thread &each : m_threads)
            each.join();
    }
    stalling_upstream(const stalling_upstream &) = delete;
    stalling_upstream &operator=(const stalling_upstream &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    // Ends the responses that have begun.
    void stop() { m_stopping = true; }

private:
    void acceptAll()
    {
        while (!m_stopping) {
            boost::system::error_code errorCode;
            auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
            m_acceptor.accept(*socket, errorCode);
            if (!errorCode && !m_stopping)
                m_threads.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(asio::ip::tcp::socket &socket)
    {
        boost::system::error_code errorCode;
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", errorCode);
        if (request.find("/small ") != std::string::npos) {
            asio::write(socket, asio::buffer(completeResponse), errorCode);
            return;
        }
        const std::string response = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nContent-Length: "
            + std::to_string(2 * sentBodyBytes) + "\r\n\r\n" + std::string(sentBodyBytes, 'a');
        asio::write(socket, asio::buffer(response), errorCode);
        while (!m_stopping)
            std::this_thread::sleep_for(pollInterval);
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

} // namespace

class held_responses_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(held_responses_test);
    CPPUNIT_TEST(holdingsNeverExceedTheBudget);
    CPPUNIT_TEST(unfinishedResponsesDoNotUseUpTheMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against bytes that are never given back, or are given back twice.
    void holdingsNeverExceedTheBudget()
    {
        const byte_budget budget(10);
        byte_budget::holding first = budget.open();
        CPPUNIT_ASSERT(first.resize(6));
        {
            byte_budget::holding second = budget.open();
            CPPUNIT_ASSERT(!second.resize(5));
            CPPUNIT_ASSERT(second.resize(4));
            CPPUNIT_ASSERT(!second.resize(UINT64_MAX));
            byte_budget::holding moved = std::move(second);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, budget.heldBytes());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, budget.heldBytes());
        first = budget.open();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget.heldBytes());
        CPPUNIT_ASSERT(first.resize(10));
        CPPUNIT_ASSERT(first.resize(3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, budget.heldBytes());
    }

    // Guards against a faulty upstream whose unfinished responses together take all memory of an
    // entry, so that the requests of other clients end with the process, and against refusing short
    // responses meanwhile.
    void unfinishedResponsesDoNotUseUpTheMemory()
    {
        stalling_upstream upstream;
        relay_fixture relay({upstream.port()}, 1'000, 1, heldResponseBytes);
        std::atomic<std::size_t> failed = 0;
        std::vector<std::thread> clients;
        for (std::size_t i = 0; i < requestCount; ++i)
            clients.emplace_back([&] {
                const std::string response =
                    relay.sendAndReadAll(relay.makeRequest("writes", requestTimeout));
                failed += statusCodeOf(response) == "502" ? 1 : 0;
            });
        for (int i = 0; i < maximumPolls && failed < requestCount - fittingExchanges; ++i)
            std::this_thread::sleep_for(pollInterval);
        const std::size_t failedBeforeStop = failed;
        stalling_upstream other;
        relay.updateUpstreams({{"other", other.port()}});
        std::string small = relay.makeRequest("writes", requestTimeout);
        small.replace(small.find("/writes/1"), std::string("/writes/1").size(), "/writes/small");
        const std::string smallResponse = relay.sendAndReadAll(small);
        upstream.stop();
        for (std::thread &each : clients)
            each.join();
        CPPUNIT_ASSERT_EQUAL(requestCount - fittingExchanges, failedBeforeStop);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), statusCodeOf(smallResponse));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(held_responses_test);
