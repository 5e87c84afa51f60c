#include "kingcuptiller/transport/free_port.h"
#include "kingcuptiller/transport/http_forwarder.h"
#include "tests/support/scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>

using namespace kingcuptiller;

namespace {

constexpr milliseconds longLimit{20'000};

forward_request requestTo(std::uint16_t port, bool fresh)
{
    forward_request request;
    request.upstream = endpoint_address("127.0.0.1:" + std::to_string(port));
    request.message = {.method = "POST",
                       .path = "/a%20path",
                       .query = "x=1",
                       .headers = {{"Kct-Request-Key", "key-1"}, {"Content-Type", "text/plain"}},
                       .body = "body"};
    request.timeout = longLimit;
    request.freshConnection = fresh;
    request.maximumAnswer = 100;
    return request;
}

forward_result exchangeWith(http_forwarder &forwarder, const forward_request &request)
{
    auto promise = std::make_shared<std::promise<forward_result>>();
    forwarder.send(request,
                   [promise](forward_result result) { promise->set_value(std::move(result)); });
    return promise->get_future().get();
}

std::string answerWith(const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body;
}

struct answer_case
{
    std::string name;
    std::string bytes;
    forward_outcome expected;
};

} // namespace

class http_forwarder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_forwarder_test);
    CPPUNIT_TEST(freshConnectionIsNeverSentTwice);
    CPPUNIT_TEST(outcomesAreToldApart);
    CPPUNIT_TEST(refusedConnectionProvesThatNothingWasSent);
    CPPUNIT_TEST(silentUpstreamTimesOut);
    CPPUNIT_TEST(cancellationEndsTheExchangeOnce);
    CPPUNIT_TEST(requestArrivesUnchanged);
    CPPUNIT_TEST(malformedAddressSendsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against duplicated work: cpprest's client sends a POST again, without a word, when its
    // pooled connection is closed before the answer. The stand-in answers the first request of each
    // connection and closes the connection after it has read a second one. The pooled client reuses
    // a connection sooner or later, since it returns connections to its pool in the background.
    void freshConnectionIsNeverSentTwice()
    {
        for (const bool fresh : {false, true}) {
            std::atomic<bool> reused{false};
            scripted_server server([&reused](int request, const std::string &) {
                reused = reused || request > 1;
                return request == 1 ? answerWith("Content-Length: 2\r\n", "ok") : std::string();
            });
            http_forwarder forwarder;
            int exchanges = 0;
            while (exchanges < (fresh ? 50 : 10'000) && !reused) {
                ++exchanges;
                exchangeWith(forwarder, requestTo(server.port(), fresh));
            }
            CPPUNIT_ASSERT_EQUAL(!fresh, reused.load());
            // A repeated request can meet another pooled connection and be repeated again.
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fresh ? "fresh" : "pooled", !fresh,
                                         server.requests() > exchanges);
        }
    }

    // Guards against a truncated, unbounded or oversized answer that passes for a complete one.
    void outcomesAreToldApart()
    {
        const std::string close = "Connection: close\r\n";
        const std::vector<answer_case> cases = {
            {"complete", answerWith("Content-Length: 3\r\n", "abc"), forward_outcome::complete},
            {"empty body", answerWith("Content-Length: 0\r\n", ""), forward_outcome::complete},
            {"body cut", answerWith(close + "Content-Length: 10\r\n", "abc"),
             forward_outcome::cut_short},
            {"no length", answerWith(close, "abc"), forward_outcome::cut_short},
            {"two lengths", answerWith("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"),
             forward_outcome::cut_short},
            {"negative length", answerWith("Content-Length: -3\r\n", "abc"),
             forward_outcome::cut_short},
            {"head cut", "HTTP/1.1 200 OK\r\nConnection: close\r\n", forward_outcome::cut_short},
            {"no HTTP", "what\r\nConnection: close\r\n\r\n", forward_outcome::cut_short},
            {"closed", "", forward_outcome::cut_short},
            {"too large", answerWith("Content-Length: 101\r\n", std::string(101, 'x')),
             forward_outcome::too_large},
            {"largest", answerWith("Content-Length: 100\r\n", std::string(100, 'x')),
             forward_outcome::complete},
        };
        for (const answer_case &each : cases) {
            for (const bool fresh : {true, false}) {
                scripted_server server([&each](int, const std::string &) { return each.bytes; });
                http_forwarder forwarder;
                const auto result = exchangeWith(forwarder, requestTo(server.port(), fresh));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name + ": " + result.reason,
                                             static_cast<int>(each.expected),
                                             static_cast<int>(result.outcome));
            }
        }
    }

    // Guards against "not run" being said of a request that was sent, and against an outcome that
    // stays open although nothing was sent.
    void refusedConnectionProvesThatNothingWasSent()
    {
        http_forwarder forwarder;
        const auto result = exchangeWith(forwarder, requestTo(findFreePort(), true));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.reason,
                                     static_cast<int>(forward_outcome::not_connected),
                                     static_cast<int>(result.outcome));
    }

    // Guards against a request that waits forever.
    void silentUpstreamTimesOut()
    {
        std::promise<void> end;
        scripted_server server([future = end.get_future().share()](int, const std::string &) {
            future.wait();
            return std::string();
        });
        http_forwarder forwarder;
        forward_request request = requestTo(server.port(), true);
        request.timeout = milliseconds(100);
        const auto result = exchangeWith(forwarder, request);
        end.set_value();
        CPPUNIT_ASSERT(result.outcome == forward_outcome::timed_out);
    }

    // Guards against a loser of a hedged race that reports twice.
    void cancellationEndsTheExchangeOnce()
    {
        std::promise<void> arrived;
        std::promise<void> end;
        scripted_server server([&, future = end.get_future().share()](int, const std::string &) {
            arrived.set_value();
            future.wait();
            return answerWith("Content-Length: 2\r\n", "ok");
        });
        http_forwarder forwarder;
        std::promise<forward_result> promise;
        const cancel_function cancel =
            forwarder.send(requestTo(server.port(), true), [&promise](forward_result result) {
                promise.set_value(std::move(result));
            });
        arrived.get_future().wait();
        cancel();
        cancel();
        end.set_value();
        CPPUNIT_ASSERT(promise.get_future().get().outcome == forward_outcome::cancelled);
    }

    // Guards against headers, path or body that change on the way.
    void requestArrivesUnchanged()
    {
        std::promise<std::string> arrived;
        scripted_server server([&arrived](int, const std::string &text) {
            arrived.set_value(text);
            return answerWith("Content-Length: 2\r\nKct-Attempt: a-1\r\n", "ok");
        });
        http_forwarder forwarder;
        const auto result = exchangeWith(forwarder, requestTo(server.port(), true));
        const std::string text = arrived.get_future().get();
        for (const std::string part :
             {"POST /a%20path?x=1 HTTP/1.1\r\n", "Kct-Request-Key:key-1\r\n",
              "Content-Type:text/plain\r\n", "\r\n\r\nbody"})
            CPPUNIT_ASSERT_MESSAGE(part, text.find(part) != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("a-1"), headerValue(result.answer.headers, "kct-attempt"));
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.answer.body);
    }

    // Guards against an exception in a traffic thread.
    void malformedAddressSendsNothing()
    {
        http_forwarder forwarder;
        forward_request request = requestTo(1, true);
        request.upstream = endpoint_address("not an address");
        CPPUNIT_ASSERT(exchangeWith(forwarder, request).outcome == forward_outcome::not_connected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_forwarder_test);
