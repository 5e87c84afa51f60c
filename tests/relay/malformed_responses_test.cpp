#include "kingcuptiller/relay/request_relay.h"
#include "tests/relay/relay_fixture.h"
#include "tests/support/scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

using namespace kingcuptiller;

namespace {

struct response_case
{
    std::string name;
    std::string response;
};

const std::string marks = "X-Id: 7\r\nX-Seal: s\r\n";
const std::string okLine = "HTTP/1.1 200 OK\r\n";
const std::string length = "Content-Length: 4\r\n";
const std::string body = "\r\nbody";

const std::vector<response_case> malformedCases = {
    {"status 000", "HTTP/1.1 000 Odd\r\n" + marks + length + body},
    {"status 000 before a response",
     "HTTP/1.1 000 Odd\r\n" + marks + length + body + completeResponse},
    {"status 099", "HTTP/1.1 099 Odd\r\n" + marks + length + body},
    {"status of four digits", "HTTP/1.1 2000 OK\r\n" + marks + length + body},
    {"status of two digits", "HTTP/1.1 20 OK\r\n" + marks + length + body},
    {"another protocol",
     "HTTP/1.1 101 Switching Protocols\r\n" + marks + "\r\n" + completeResponse},
    {"blank in a field name", okLine + "X Odd: 1\r\n" + marks + length + body},
    {"blank before the colon", okLine + "X-Odd : 1\r\n" + marks + length + body},
    {"control byte in a field name", okLine + "X\x01Odd: 1\r\n" + marks + length + body},
    {"delete in a field name", okLine + "X\x7fOdd: 1\r\n" + marks + length + body},
    {"non-ASCII byte in a field name", okLine + "X\xe9: 1\r\n" + marks + length + body},
    {"empty field name", okLine + ": 1\r\n" + marks + length + body},
    {"field without a colon", okLine + "X-Odd\r\n" + marks + length + body},
    {"control byte in a field value", okLine + "X-Odd: a\x01z\r\n" + marks + length + body},
    {"bare line feed in a field value", okLine + "X-Odd: a\nX-B: c\r\n" + marks + length + body},
    {"bare line feeds", "HTTP/1.1 200 OK\nX-Id: 7\nX-Seal: s\nContent-Length: 4\n\nbody"},
    {"both lengths",
     okLine + marks + length + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
    {"two lengths", okLine + marks + length + "Content-Length: 3\r\n" + body},
    {"list of lengths", okLine + marks + "Content-Length: 4, 3\r\n" + body},
    {"length that is no number", okLine + marks + "Content-Length: four\r\n" + body},
    {"negative length", okLine + marks + "Content-Length: -4\r\n" + body},
    {"unknown coding", okLine + marks + "Transfer-Encoding: odd\r\n" + body},
    {"coding before the chunks",
     okLine + marks + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
    {"chunk size that overflows",
     okLine + marks + "Transfer-Encoding: chunked\r\n\r\n10000000000000004\r\nbody\r\n0\r\n\r\n"},
    {"chunk size that is no number",
     okLine + marks + "Transfer-Encoding: chunked\r\n\r\nx\r\nbody\r\n0\r\n\r\n"},
    {"chunks without an end", okLine + marks + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
    {"body that is too short", okLine + marks + "Content-Length: 5\r\n" + body},
    {"interim responses only", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"no response", "\x16\x03\x01\x02"},
};

const std::vector<response_case> wellFormedCases = {
    {"length", okLine + marks + length + body},
    {"chunks", okLine + marks + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
    {"end of the connection", okLine + marks + "Connection: close\r\n" + body},
    {"interim response", "HTTP/1.1 102 Processing\r\n\r\n" + completeResponse},
    {"early hints", "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" + completeResponse},
    {"folded field", okLine + "X-Odd: a\r\n b\r\n" + marks + length + body},
    {"unknown status", "HTTP/1.1 299 Odd\r\n" + marks + length + body},
};

// An upstream that answers as soon as the begin of a request has arrived, reads no more, and ends
// the connection: by a reset, or in order.
class breaking_upstream
{
public:
    breaking_upstream(std::string response, bool resets)
        : m_response(std::move(response))
        , m_resets(resets)
        , m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_thread([this] { serve(); })
    {
    }

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void serve()
    {
        asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        std::array<char, 1'024> buffer{};
        socket.read_some(asio::buffer(buffer));
        asio::write(socket, asio::buffer(m_response));
        std::this_thread::sleep_for(timeUntilReset);
        if (m_resets)
            socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }

    // Long enough for the relay to have read the response, while it is still writing the request.
    static constexpr milliseconds timeUntilReset{200};

    std::string m_response;
    bool m_resets;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::jthread m_thread;
};

} // namespace

class malformed_responses_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(malformed_responses_test);
    CPPUNIT_TEST(malformedResponsesReachNoClient);
    CPPUNIT_TEST(wellFormedResponsesReachTheClient);
    CPPUNIT_TEST(bodyMayEndWithItsConnection);
    CPPUNIT_TEST(resetDuringAnUploadIsNoEndOfTheBody);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against passing on what an upstream in trouble sends, as if it were an answer, and
    // against telling the client that a request has not run although it was sent.
    void malformedResponsesReachNoClient()
    {
        std::string faults;
        for (const response_case &each : malformedCases) {
            for (const std::string route : {"reads", "writes"}) {
                scripted_server upstream([&](int request, const std::string &) {
                    return request == 1 ? each.response : std::string();
                });
                relay_fixture relay(upstream.port());
                const std::string status = statusCodeOf(
                    relay.sendAndReadAll(relay.makeRequest(route, milliseconds(1'000))));
                if ((status != "502" && status != "504") || upstream.requests() != 1)
                    faults += fmt::format("{}, {}: {}\n", each.name, route, status);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    }

    // Guards against rejecting what the protocol permits.
    void wellFormedResponsesReachTheClient()
    {
        for (const response_case &each : wellFormedCases) {
            scripted_server upstream([&](int request, const std::string &) {
                return request == 1 ? each.response : std::string();
            });
            relay_fixture relay(upstream.port());
            const std::string response =
                relay.sendAndReadAll(relay.makeRequest("writes", milliseconds(2'000)));
            CPPUNIT_ASSERT_MESSAGE(each.name + ": " + response, response.ends_with("\r\n\r\nbody"));
        }
    }

    // Guards against rejecting a body without a length whose connection ends in order.
    void bodyMayEndWithItsConnection()
    {
        breaking_upstream upstream(okLine + marks + body, false);
        relay_fixture relay(upstream.port());
        const std::string response = relay.sendAndReadAll(relay.makeRequest("writes"));
        CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("\r\n\r\nbody"));
    }

    // Guards against taking a reset for the end of a body without a length. While a request is
    // being written, the operating system reports the reset to the writer and then an orderly end
    // to the reader.
    void resetDuringAnUploadIsNoEndOfTheBody()
    {
        for (const std::string announcement : {"", "Connection: close\r\n"}) {
            breaking_upstream upstream(
                fmt::format("{}{}{}\r\npart of the body", okLine, marks, announcement), true);
            relay_fixture relay(upstream.port(), uploadBytes);
            const std::string response = relay.sendAndReadAll(
                "POST /writes/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\nX-Time: 4000\r\n"
                "Connection: close\r\nContent-Length: "
                + std::to_string(uploadBytes) + "\r\n\r\n" + std::string(uploadBytes, 'u'));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(announcement, std::string("502"), statusCodeOf(response));
        }
    }

private:
    // More than the buffers of a connection on loopback hold.
    static constexpr std::size_t uploadBytes = 24'000'000;
};

CPPUNIT_TEST_SUITE_REGISTRATION(malformed_responses_test);
