#include "kingcuptiller/relay/request_relay.h"
#include "tests/relay/relay_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>

using namespace kingcuptiller;

namespace {

constexpr std::size_t bodyBytes = 400'000;

// An upstream whose connections a test reads and answers itself.
class manual_upstream
{
public:
    manual_upstream()
        : m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
    }

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    asio::ip::tcp::socket accept() { return m_acceptor.accept(); }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
};

std::string makeHead(const std::string &length)
{
    return "POST /uploads/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\nX-Time: 4000\r\n" + length
        + "\r\n";
}

const std::string knownLength = "Content-Length: " + std::to_string(bodyBytes) + "\r\n";

// Reads until `bytes` bytes of the body have come; returns the whole text.
std::string readBody(asio::ip::tcp::socket &socket, std::size_t bytes, std::string text = {})
{
    std::array<char, 65'536> buffer{};
    boost::system::error_code problem;
    while (!problem
           && (text.find("\r\n\r\n") == std::string::npos
               || text.size() - text.find("\r\n\r\n") - 4 < bytes)) {
        const std::size_t got = socket.read_some(asio::buffer(buffer), problem);
        text.append(buffer.data(), got);
    }
    return text;
}

std::string readAll(asio::ip::tcp::socket &socket)
{
    std::string text;
    boost::system::error_code ignored;
    asio::read(socket, asio::dynamic_buffer(text), ignored);
    return text;
}

std::string bodyIn(const std::string &request)
{
    return request.substr(request.find("\r\n\r\n") + 4);
}

} // namespace

class streamed_uploads_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(streamed_uploads_test);
    CPPUNIT_TEST(bodyIsSentBeforeItIsComplete);
    CPPUNIT_TEST(chunkedBodyArrivesWhole);
    CPPUNIT_TEST(rejectedUploadIsSentAgainWhole);
    CPPUNIT_TEST(upstreamNeverSeesAnUploadWhoseClientHasLeft);
    CPPUNIT_TEST(earlyFailureReachesTheClient);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against holding a body back until all of it has come, so that it takes twice the time.
    void bodyIsSentBeforeItIsComplete()
    {
        manual_upstream upstream;
        relay_fixture relay(upstream.port(), bodyBytes);
        asio::ip::tcp::socket client = relay.connect();
        const std::string body(bodyBytes, 'u');
        asio::write(client, asio::buffer(makeHead("Connection: close\r\n" + knownLength)));
        asio::write(client, asio::buffer(body.data(), bodyBytes / 2));
        asio::ip::tcp::socket connection = upstream.accept();
        std::string request = readBody(connection, bodyBytes / 2);
        asio::write(client, asio::buffer(body.data(), bodyBytes - bodyBytes / 2));
        request = readBody(connection, bodyBytes, request);
        CPPUNIT_ASSERT(bodyIn(request) == body);
        asio::write(connection, asio::buffer(completeResponse));
        CPPUNIT_ASSERT_EQUAL(std::string("200"), statusCodeOf(readAll(client)));
    }

    // Guards against chunks that are lost or joined wrongly.
    void chunkedBodyArrivesWhole()
    {
        manual_upstream upstream;
        relay_fixture relay(upstream.port(), bodyBytes);
        asio::ip::tcp::socket client = relay.connect();
        asio::write(client,
                    asio::buffer(makeHead("Connection: close\r\nTransfer-Encoding: chunked\r\n")
                                 + "4\r\nbody\r\n"));
        asio::ip::tcp::socket connection = upstream.accept();
        std::string request = readBody(connection, std::string("4\r\nbody\r\n").size());
        asio::write(client, asio::buffer(std::string("3\r\nend\r\n0\r\n\r\n")));
        const std::string whole = "4\r\nbody\r\n3\r\nend\r\n0\r\n\r\n";
        request = readBody(connection, whole.size(), request);
        CPPUNIT_ASSERT_EQUAL(whole, bodyIn(request));
        asio::write(connection, asio::buffer(completeResponse));
        CPPUNIT_ASSERT_EQUAL(std::string("200"), statusCodeOf(readAll(client)));
    }

    // Guards against losing an upload that its first upstream has not run, and against sending only
    // the rest of it to the next one.
    void rejectedUploadIsSentAgainWhole()
    {
        manual_upstream first;
        manual_upstream second;
        relay_fixture relay({first.port(), second.port()}, bodyBytes);
        asio::ip::tcp::socket client = relay.connect();
        const std::string body(bodyBytes, 'u');
        asio::write(client, asio::buffer(makeHead("Connection: close\r\n" + knownLength)));
        asio::write(client, asio::buffer(body.data(), bodyBytes / 2));
        asio::ip::tcp::socket rejecting = first.accept();
        (void)readBody(rejecting, 1);
        asio::write(rejecting,
                    asio::buffer(std::string("HTTP/1.1 503 Full\r\nX-Id: 7\r\nX-NotRun: 1\r\n"
                                             "Content-Length: 0\r\n\r\n")));
        asio::ip::tcp::socket connection = second.accept();
        asio::write(client, asio::buffer(body.data(), bodyBytes - bodyBytes / 2));
        CPPUNIT_ASSERT(bodyIn(readBody(connection, bodyBytes)) == body);
        asio::write(connection, asio::buffer(completeResponse));
        CPPUNIT_ASSERT_EQUAL(std::string("200"), statusCodeOf(readAll(client)));
    }

    // Guards against running an upload of which the client has sent only a part.
    void upstreamNeverSeesAnUploadWhoseClientHasLeft()
    {
        for (const std::string &length :
             {knownLength, std::string("Transfer-Encoding: chunked\r\n")}) {
            manual_upstream upstream;
            relay_fixture relay(upstream.port(), bodyBytes);
            asio::ip::tcp::socket client = relay.connect();
            asio::write(client, asio::buffer(makeHead(length) + "4\r\nbody\r\n"));
            asio::ip::tcp::socket connection = upstream.accept();
            client.close();
            const std::string request = readAll(connection);
            CPPUNIT_ASSERT_MESSAGE(request, request.size() < bodyBytes);
            CPPUNIT_ASSERT_MESSAGE(request, !bodyIn(request).ends_with("0\r\n\r\n"));
        }
    }

    // Guards against a client that waits for the response to an upload that has failed early, and
    // against telling it that the upload has not run.
    void earlyFailureReachesTheClient()
    {
        manual_upstream upstream;
        relay_fixture relay(upstream.port(), bodyBytes);
        asio::ip::tcp::socket client = relay.connect();
        asio::write(client, asio::buffer(makeHead(knownLength) + std::string(1'000, 'u')));
        asio::ip::tcp::socket connection = upstream.accept();
        (void)readBody(connection, 1);
        connection.close();
        CPPUNIT_ASSERT_EQUAL(std::string("502"), statusCodeOf(readAll(client)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(streamed_uploads_test);
