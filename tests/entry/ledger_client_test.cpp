#include "kingcuptiller/entry/ledger_client.h"
#include "kingcuptiller/transport/control_calls.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>
#include <set>
#include <thread>

using namespace kingcuptiller;

namespace {

claim claimOf(const std::string &attempt)
{
    claim wanted;
    wanted.key = request_key("key");
    wanted.attempt = attempt_id(attempt);
    wanted.bodyHash = body_hash("0");
    wanted.workClass = class_name("posting");
    wanted.entry = host_id("entry-1");
    wanted.entryIncarnation = incarnation_id("i");
    return wanted;
}

} // namespace

class ledger_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ledger_client_test);
    CPPUNIT_TEST(waitingClaimsShareOneCall);
    CPPUNIT_TEST(answersAreMatchedAndTheRestIsAskedAgain);
    CPPUNIT_TEST(itemsEndWhenTheirTimeIsOver);
    CPPUNIT_TEST(batchesStayBelowTheMessageLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against one call, and thus one commit, for each claim.
    void waitingClaimsShareOneCall()
    {
        std::vector<std::size_t> sizes;
        run(
            [&sizes](const Json::Value &params) {
                const auto claims = claimsFromJson(params);
                sizes.push_back(claims.size());
                return grantAll(claims);
            },
            40);
        CPPUNIT_ASSERT(sizes == std::vector<std::size_t>({40}));
    }

    // Guards against a grant that reaches another claim's request, and against claims that are lost
    // when a call fails or leaves them out.
    void answersAreMatchedAndTheRestIsAskedAgain()
    {
        int calls = 0;
        const auto results = run(
            [&calls](const Json::Value &params) {
                auto claims = claimsFromJson(params);
                if (++calls == 1)
                    throw no_answer_error(result_code::peer_unreachable, "lost");
                std::reverse(claims.begin(), claims.end());
                if (calls == 2)
                    claims.resize(3);
                return grantAll(claims);
            },
            10);
        CPPUNIT_ASSERT_EQUAL(3, calls);
        for (const auto &[asked, answer] : results)
            CPPUNIT_ASSERT_EQUAL(asked, answer);
    }

    // Guards against requests that wait for a control host that is gone.
    void itemsEndWhenTheirTimeIsOver()
    {
        const auto results = run(
            [this](const Json::Value &) -> Json::Value {
                m_clock = 5000;
                throw not_connected_error(result_code::peer_unreachable, "down");
            },
            3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), results.size());
        for (const auto &[asked, answer] : results)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(asked, std::string("none"), answer);
    }

    // Guards against a batch that the leader refuses because of its size, forever.
    void batchesStayBelowTheMessageLimit()
    {
        batch_queue<int, bool> queue;
        for (const std::size_t bytes : {600, 300, 300, 500, 2000, 1})
            queue.push({.item = 0, .giveUpAt = {}, .bytes = bytes, .done = {}});
        for (const std::size_t expected : {2, 2, 1, 1})
            CPPUNIT_ASSERT_EQUAL(expected, queue.take({}, 10, 1000).size());
    }

private:
    static Json::Value grantAll(const std::vector<claim> &claims)
    {
        std::vector<claim_answer> answers;
        answers.reserve(claims.size());
        for (const claim &each : claims)
            answers.push_back({.attempt = each.attempt, .code = result_code::ok, .answer = {}});
        return claimAnswersToJson(answers);
    }

    // Sends `count` claims through one thread with this control host. Returns the attempt that each
    // completion received, by the attempt that was asked for.
    std::map<std::string, std::string>
    run(const std::function<Json::Value(const Json::Value &)> &host, std::size_t count)
    {
        const auto now = [this] { return instant(milliseconds(m_clock)); };
        counter_registry counters;
        ledger_client client(
            [&] {
                return control_link(
                    {endpoint_address("c1")},
                    [&host](const endpoint_address &, std::string_view, const Json::Value &params,
                            milliseconds) { return host(params); },
                    now);
            },
            now, counters);
        std::map<std::string, std::string> results;
        std::promise<void> over;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string asked = std::to_string(i);
            client.requestClaim(claimOf(asked), instant(milliseconds(2000)),
                                [&, asked, count](const std::optional<claim_answer> &answer) {
                                    results[asked] = answer ? answer->attempt.text() : "none";
                                    if (results.size() == count)
                                        over.set_value();
                                });
        }
        {
            const std::jthread thread(
                [&client](const std::stop_token &stop) { client.runClaims(stop); });
            over.get_future().wait();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), client.open());
        return results;
    }

    std::atomic<std::int64_t> m_clock{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ledger_client_test);
