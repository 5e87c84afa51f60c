#include "kingcuptiller/transport/free_port.h"
#include "kingcuptiller/transport/http_forwarder.h"
#include "kingcuptiller/transport/http_server.h"
#include "kingcuptiller/values/error.h"
#include "tests/support/scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <stdexcept>
#include <thread>

using namespace kingcuptiller;

namespace {

// A connection whose calls fail after 10 s without progress.
int connectTo(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(
        0, connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address));
    const timeval limit{.tv_sec = 10, .tv_usec = 0};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    return descriptor;
}

// Sends raw bytes and returns the first line of the answer.
std::string statusLineFor(std::uint16_t port, const std::string &bytes)
{
    const int descriptor = connectTo(port);
    send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::string answer;
    char block[512];
    while (answer.find("\r\n") == std::string::npos) {
        const ssize_t received = recv(descriptor, block, sizeof block, 0);
        if (received <= 0)
            break;
        answer.append(block, static_cast<std::size_t>(received));
    }
    close(descriptor);
    return answer.substr(0, answer.find("\r\n"));
}

struct raw_case
{
    std::string name;
    std::string bytes;
    std::string expected;
};

} // namespace

class http_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(requestsAreHandledOrRefused);
    CPPUNIT_TEST(bodyAboveTheLimitIsNotRead);
    CPPUNIT_TEST(answerMayComeFromAnotherThread);
    CPPUNIT_TEST(takenPortIsReported);
    CPPUNIT_TEST(unusableTlsFilesAreReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_port = findFreePort();
        m_server = std::make_unique<http_server>(
            http_server::options{.address = "127.0.0.1", .port = m_port, .maximumBody = 10},
            [](const http_request &request, const http_reply &reply) { handle(request, reply); });
    }

    // Guards against bodies without a limit, and against a fault in one handler that leaves the
    // client without an answer or ends the process.
    void requestsAreHandledOrRefused()
    {
        const std::string ok = "HTTP/1.1 200 OK";
        const std::vector<raw_case> cases = {
            {"get", "GET /echo HTTP/1.1\r\nHost: x\r\n\r\n", ok},
            {"largest body",
             "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n0123456789", ok},
            {"large body",
             "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n0123456789a",
             "HTTP/1.1 413 Payload Too Large"},
            {"chunked",
             "POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "HTTP/1.1 411 Length Required"},
            {"other method", "DELETE /echo HTTP/1.1\r\nHost: x\r\n\r\n",
             "HTTP/1.1 405 Method Not Allowed"},
            {"handler throws", "GET /throw HTTP/1.1\r\nHost: x\r\n\r\n",
             "HTTP/1.1 500 Internal Server Error"},
            {"nobody answers", "GET /forget HTTP/1.1\r\nHost: x\r\n\r\n",
             "HTTP/1.1 500 Internal Server Error"},
            {"no HTTP", "what\r\n\r\n", "HTTP/1.1 400 Bad Request"},
        };
        for (const raw_case &each : cases)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.expected,
                                         statusLineFor(m_port, each.bytes));
    }

    // Guards against memory that a client fills by announcing a huge body and sending it: the
    // connection is closed after a small part of it.
    void bodyAboveTheLimitIsNotRead()
    {
        const int descriptor = connectTo(m_port);
        const std::string head =
            "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n";
        send(descriptor, head.data(), head.size(), MSG_NOSIGNAL);
        const std::string block(65'536, 'x');
        const std::size_t limit = std::size_t(64) * 1024 * 1024;
        std::size_t sent = 0;
        while (sent < limit) {
            const ssize_t written = send(descriptor, block.data(), block.size(), MSG_NOSIGNAL);
            if (written <= 0)
                break;
            sent += static_cast<std::size_t>(written);
        }
        close(descriptor);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent < limit);
    }

    // Guards against answers that are lost when they come later, from a thread of another module.
    void answerMayComeFromAnotherThread()
    {
        http_forwarder client;
        forward_request request;
        request.upstream = endpoint_address("127.0.0.1:" + std::to_string(m_port));
        request.message.path = "/later";
        request.message.headers["Kct-Request-Key"] = "key-1";
        request.timeout = milliseconds(20'000);
        std::promise<forward_result> promise;
        client.send(request,
                    [&promise](forward_result result) { promise.set_value(std::move(result)); });
        const forward_result result = promise.get_future().get();
        CPPUNIT_ASSERT_EQUAL(std::string("later"), result.answer.body);
        CPPUNIT_ASSERT_EQUAL(std::string("key-1"), headerValue(result.answer.headers, "Echo-Key"));
    }

    // Guards against a daemon that runs without its port.
    void takenPortIsReported()
    {
        const scripted_server other([](int, const std::string &) { return std::string(); });
        try {
            const http_server second({.address = "127.0.0.1", .port = other.port()}, handle);
            CPPUNIT_FAIL("the port was shared");
        } catch (const error &refusal) {
            CPPUNIT_ASSERT_EQUAL(std::string("port_unavailable"),
                                 std::string(name(refusal.code())));
        }
    }

    // Guards against a server that starts and then refuses every connection.
    void unusableTlsFilesAreReported()
    {
        try {
            const http_server secure({.address = "127.0.0.1",
                                      .port = findFreePort(),
                                      .certificateFile = "/nonexistent",
                                      .keyFile = "/nonexistent"},
                                     handle);
            CPPUNIT_FAIL("the files were accepted");
        } catch (const error &refusal) {
            CPPUNIT_ASSERT_EQUAL(std::string("settings_invalid"),
                                 std::string(name(refusal.code())));
        }
    }

private:
    static void handle(const http_request &request, const http_reply &reply)
    {
        if (request.path == "/throw")
            throw std::runtime_error("broken handler");
        if (request.path == "/forget")
            return;
        if (request.path == "/later") {
            std::thread([request, reply] {
                reply({.status = 200,
                       .headers = {{"Echo-Key", headerValue(request.headers, "Kct-Request-Key")}},
                       .body = "later"});
            }).detach();
            return;
        }
        reply({.status = 200, .headers = {}, .body = request.body});
    }

    std::uint16_t m_port = 0;
    std::unique_ptr<http_server> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);
