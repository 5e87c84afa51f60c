#include "kingcuptiller/relay/request_relay.h"
#include "tests/relay/relay_world.h"

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

// What sockets on both sides may hold beyond what the relay has read.
constexpr std::size_t socketBytes = 16'000'000;
// How long the relay may take until it closes the connection.
constexpr int mostRounds = 200;
constexpr milliseconds roundLength{50};
// Time of a request. A sanitized build reads a million chunks in several seconds.
constexpr milliseconds requestTime{30'000};
// An upstream gives up after so many bytes.
constexpr std::size_t mostBytes = 400'000'000;

// Reads one request on each connection, then sends `begin` and repeats `piece` until its caller
// closes.
class endless_upstream
{
public:
    endless_upstream(std::string begin, const std::string &piece)
        : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
        , m_begin(std::move(begin))
    {
        constexpr std::size_t block = 16'384;
        while (m_block.size() < block)
            m_block += piece;
        m_thread = std::thread([this] { serveAll(); });
    }

    ~endless_upstream()
    {
        m_ending = true;
        asio::ip::tcp::socket wake(m_context);
        boost::system::error_code ignored;
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }
    endless_upstream(const endless_upstream &) = delete;
    endless_upstream &operator=(const endless_upstream &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    // The most bytes that one connection took.
    [[nodiscard]] std::size_t taken() const { return m_taken; }
    // Connections that the relay has closed.
    [[nodiscard]] int closed() const { return m_closed; }

private:
    void serveAll()
    {
        while (!m_ending) {
            boost::system::error_code problem;
            asio::ip::tcp::socket socket(m_context);
            m_acceptor.accept(socket, problem);
            if (!problem && !m_ending)
                serve(socket);
        }
    }

    void serve(asio::ip::tcp::socket &socket)
    {
        boost::system::error_code problem;
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", problem);
        std::size_t sent = asio::write(socket, asio::buffer(m_begin), problem);
        while (!problem && sent < mostBytes)
            sent += asio::write(socket, asio::buffer(m_block), problem);
        m_taken = std::max(m_taken.load(), sent);
        ++m_closed;
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::string m_begin;
    std::string m_block;
    std::atomic<bool> m_ending = false;
    std::atomic<std::size_t> m_taken = 0;
    std::atomic<int> m_closed = 0;
    std::thread m_thread;
};

struct endless_case
{
    std::string name;
    std::string begin;
    std::string piece;
    std::string expectedStatus;
};

const std::string goodHead = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\n";
const std::string chunkedHead = goodHead + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<endless_case> endlessCases = {
    {"no answer at all", "", "noise ", "502"},
    {"empty lines", "", "\r\n", "502"},
    {"status line", "HTTP/1.1 200 ", "a", "502"},
    {"one header", goodHead + "X-More: ", "a", "502"},
    {"headers", goodHead, "X-More: a\r\n", "502"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", "502"},
    {"answers to others", "",
     "HTTP/1.1 200 OK\r\nX-Id: 6\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", "502"},
    {"body without a length", goodHead + "\r\n", "a", "502"},
    {"body of a length beyond all reason", goodHead + "Content-Length: 900000000000\r\n\r\n", "a",
     "502"},
    {"chunks", chunkedHead, "4\r\nbody\r\n", "502"},
    {"small chunks", chunkedHead, "1\r\na\r\n", "502"},
    {"one chunk", chunkedHead + "ffffffff\r\n", "a", "502"},
    {"size of a chunk", chunkedHead, "0", "502"},
    {"extension of a chunk", chunkedHead + "4;", "a", "502"},
    {"trailers", chunkedHead + "0\r\n", "X-More: a\r\n", "502"},
    {"bytes behind the answer", sealed, "a", "200"},
};

} // namespace

class endless_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endless_answer_test);
    CPPUNIT_TEST(answersWithoutEndAreClosed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an upstream whose bytes never end filling the memory and the link of an entry.
    void answersWithoutEndAreClosed()
    {
        for (const endless_case &each : endlessCases) {
            for (const std::string route : {"reads", "writes"}) {
                endless_upstream upstream(each.begin, each.piece);
                {
                    relay_world world(upstream.port());
                    const std::string answer = world.ask(world.request(route, requestTime));
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.expectedStatus, statusOf(answer));
                    for (int i = 0; i < mostRounds && upstream.closed() == 0; ++i) {
                        world.runPeriodicTasks();
                        std::this_thread::sleep_for(roundLength);
                    }
                    CPPUNIT_ASSERT_MESSAGE(each.name, upstream.closed() > 0);
                }
                CPPUNIT_ASSERT_MESSAGE(each.name + " took " + std::to_string(upstream.taken()),
                                       upstream.taken()
                                           <= relay_options().maximumResponseBytes + socketBytes);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_answer_test);
