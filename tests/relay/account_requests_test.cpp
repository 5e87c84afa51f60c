#include "kingcuptiller/relay/request_relay.h"
#include "tests/relay/relay_fixture.h"
#include "tests/support/scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <mutex>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

struct request_case
{
    std::string name;
    std::string route;
    std::string fields;
    std::string status;
    // The account that the upstream is told; "-" for none, empty if nothing is to reach it.
    std::string account;
};

const std::vector<request_case> requestCases = {
    {"known key", "reads", "X-Key: Token k1\r\n", "200", "one"},
    {"name that the client sends", "reads", "X-Key: Token k1\r\nX-Account: two\r\n", "200", "one"},
    {"no key", "reads", "", "401", ""},
    {"unknown key", "reads", "X-Key: Token k9\r\n", "401", ""},
    {"two keys", "reads", "X-Key: Token k1\r\nX-Key: Token k2\r\n", "401", ""},
    {"no key, public route", "writes", "", "200", "-"},
    {"unknown key, public route", "writes", "X-Key: Token k9\r\nX-Account: one\r\n", "200", "-"},
    {"known key, public route", "writes", "X-Key: Token k2\r\n", "200", "two"},
    {"unknown route", "odd", "X-Key: Token k1\r\n", "404", ""},
    {"regions that exclude each other", "halves", "X-Key: Token k3\r\n", "503", ""},
};

client_account makeAccount(const std::string &name, const std::string &key)
{
    client_account account;
    account.name = account_name(name);
    account.keys = {digestOfKey(key)};
    return account;
}

// Accounts "one" to "three" with the keys "k1" to "k3".
void addAccounts(traffic_configuration &configuration)
{
    configuration.accounts = {makeAccount("one", "k1"), makeAccount("two", "k2"),
                              makeAccount("three", "k3")};
    configuration.accounts.back().regions = {region_name("elsewhere")};
    for (traffic_route &route : configuration.routes) {
        route.isPublic = route.name == "writes";
        if (route.name == "halves")
            route.regions = {region_name("r")};
    }
}

// An upstream that answers each request and keeps the last one.
class recording_upstream
{
public:
    recording_upstream()
        : m_server([this](int, const std::string &text) {
            const std::lock_guard lock(m_mutex);
            m_lastRequest = text;
            return completeResponse;
        })
    {
    }

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
    // Returns the last request, and forgets it.
    std::string takeRequest()
    {
        const std::lock_guard lock(m_mutex);
        return std::exchange(m_lastRequest, {});
    }

private:
    std::mutex m_mutex;
    std::string m_lastRequest;
    scripted_server m_server;
};

std::string makeRequest(const std::string &route, const std::string &fields)
{
    return "GET /" + route + "/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\nX-Time: 2000\r\n"
        + fields + "Connection: close\r\n\r\n";
}

std::string accountIn(const std::string &request)
{
    if (request.empty())
        return {};
    const std::string name = "\r\nX-Account: ";
    const std::size_t begin = request.find(name);
    if (begin == std::string::npos)
        return "-";
    const std::size_t end = request.find("\r\n", begin + name.size());
    return request.substr(begin + name.size(), end - begin - name.size());
}

} // namespace

class account_requests_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(account_requests_test);
    CPPUNIT_TEST(upstreamIsToldTheAccountAndNotTheKey);
    CPPUNIT_TEST(changedKeysHoldForTheNextRequest);
    CPPUNIT_TEST(keysPassUnchangedWithoutAccounts);
    CPPUNIT_TEST(limitedAccountIsRejectedUntilItHasCredits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against running a request for another account than the one whose key it carries, and
    // against showing the key.
    void upstreamIsToldTheAccountAndNotTheKey()
    {
        recording_upstream upstream;
        relay_fixture relay(upstream.port());
        relay.reconfigure(addAccounts);
        for (const request_case &each : requestCases) {
            const std::string response = relay.sendAndReadAll(makeRequest(each.route, each.fields));
            const std::string request = upstream.takeRequest();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.status, statusCodeOf(response));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.account, accountIn(request));
            CPPUNIT_ASSERT_MESSAGE(each.name, request.find("X-Key") == std::string::npos);
        }
    }

    // Guards against a key that is used after it was revoked or moved to another account.
    void changedKeysHoldForTheNextRequest()
    {
        recording_upstream upstream;
        relay_fixture relay(upstream.port());
        relay.reconfigure(addAccounts);
        const std::string request = makeRequest("reads", "X-Key: Token k1\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("200"), statusCodeOf(relay.sendAndReadAll(request)));
        relay.reconfigure([](traffic_configuration &changed) {
            std::swap(changed.accounts[0].keys, changed.accounts[1].keys);
        });
        CPPUNIT_ASSERT_EQUAL(std::string("200"), statusCodeOf(relay.sendAndReadAll(request)));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), accountIn(upstream.takeRequest()));
        relay.reconfigure([](traffic_configuration &changed) { changed.accounts[1].keys.clear(); });
        CPPUNIT_ASSERT_EQUAL(std::string("401"), statusCodeOf(relay.sendAndReadAll(request)));
    }

    // Guards against changing what deployments without accounts send to their upstreams.
    void keysPassUnchangedWithoutAccounts()
    {
        recording_upstream upstream;
        relay_fixture relay(upstream.port());
        CPPUNIT_ASSERT_EQUAL(std::string("200"),
                             statusCodeOf(relay.sendAndReadAll(
                                 makeRequest("reads", "X-Key: Token k1\r\nX-Account: x\r\n"))));
        const std::string request = upstream.takeRequest();
        CPPUNIT_ASSERT(request.find("X-Key: Token k1\r\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), accountIn(request));
    }

    // Guards against running requests beyond the rate limit of their account, and against a
    // rejection that does not say when to come back.
    void limitedAccountIsRejectedUntilItHasCredits()
    {
        recording_upstream upstream;
        relay_fixture relay(upstream.port());
        relay.reconfigure([](traffic_configuration &changed) {
            addAccounts(changed);
            // So slow that no credit comes up while the test runs.
            changed.accounts[0].limit = {0.01, 10};
        });
        const std::string request = makeRequest("reads", "X-Key: Token k1\r\n");
        // Without an answer of the leader the entry serves its part of the limit, which begins with
        // one request, and then says truthfully that it does not know.
        CPPUNIT_ASSERT_EQUAL(std::string("200"), statusCodeOf(relay.sendAndReadAll(request)));
        CPPUNIT_ASSERT_EQUAL(std::string("503"), statusCodeOf(relay.sendAndReadAll(request)));
        relay.replyWithCredits([](const credit_request &asked) {
            credit_reply reply{asked.sequence, milliseconds(10'000), milliseconds(100), {}, {}};
            reply.grants = {{account_name("one"), 1}};
            reply.constrained = {{account_name("one"), milliseconds(5'000)}};
            return reply;
        });
        CPPUNIT_ASSERT_EQUAL(std::string("200"), statusCodeOf(relay.sendAndReadAll(request)));
        const std::string rejection = relay.sendAndReadAll(request);
        CPPUNIT_ASSERT_EQUAL(std::string("429"), statusCodeOf(rejection));
        CPPUNIT_ASSERT(rejection.find("\r\nRetry-After: ") != std::string::npos);
        // Other accounts are not affected.
        CPPUNIT_ASSERT_EQUAL(
            std::string("200"),
            statusCodeOf(relay.sendAndReadAll(makeRequest("reads", "X-Key: Token k2\r\n"))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(account_requests_test);
