#include "kingcuptiller/transport/free_port.h"
#include "kingcuptiller/transport/json_rpc_client.h"
#include "kingcuptiller/transport/json_rpc_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <json/json.h>

#include <future>
#include <stdexcept>

using namespace kingcuptiller;

namespace {

Json::Value handle(const std::string &method, const Json::Value &params)
{
    if (method == "refuse")
        throw error(result_code::revision_conflict, "based on revision 3");
    if (method == "redirect")
        throw not_leader_error(endpoint_address("10.0.0.7:7400"));
    if (method == "fault")
        throw std::runtime_error("secret detail");
    if (method == "large")
        return Json::Value(std::string(maximumMessageBytes, 'x'));
    return params;
}

endpoint_address addressOf(std::uint16_t port)
{
    return endpoint_address("127.0.0.1:" + std::to_string(port));
}

} // namespace

class json_rpc_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(json_rpc_test);
    CPPUNIT_TEST(resultComesBackOverOneKeptConnection);
    CPPUNIT_TEST(refusalsArriveWithTheirCode);
    CPPUNIT_TEST(leaderOfARefusalArrives);
    CPPUNIT_TEST(sizeLimitsHoldBothWays);
    CPPUNIT_TEST(unreachableServerIsToldFromASilentOne);
    CPPUNIT_TEST(takenPortIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a connection for each call, which would cost a round trip and a thread each.
    void resultComesBackOverOneKeptConnection()
    {
        json_rpc_client client(addressOf(m_server.port()));
        for (int i = 0; i < 20; ++i) {
            Json::Value params(Json::objectValue);
            params["number"] = i;
            const Json::Value result = client.call("echo", params, milliseconds(2000));
            CPPUNIT_ASSERT_EQUAL(i, result["number"].asInt());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), client.connects());
    }

    // Guards against a refusal that reaches the caller as another code, and against exceptions of a
    // handler that end the server or leak their text.
    void refusalsArriveWithTheirCode()
    {
        const std::vector<std::pair<std::string, result_code>> cases = {
            {"refuse", result_code::revision_conflict},
            {"redirect", result_code::not_leader},
            {"fault", result_code::internal_fault},
            {"unlisted", result_code::message_malformed},
        };
        json_rpc_client client(addressOf(m_server.port()));
        for (const auto &[method, expected] : cases) {
            try {
                client.call(method, Json::Value(Json::objectValue), milliseconds(2000));
                CPPUNIT_FAIL(method + " was not refused");
            } catch (const error &refusal) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(method, std::string(name(expected)),
                                             std::string(name(refusal.code())));
                CPPUNIT_ASSERT(std::string(refusal.what()).find("secret") == std::string::npos);
            }
        }
    }

    // Guards against entries that cannot follow the leader.
    void leaderOfARefusalArrives()
    {
        json_rpc_client client(addressOf(m_server.port()));
        try {
            client.call("redirect", Json::Value(Json::objectValue), milliseconds(2000));
            CPPUNIT_FAIL("not redirected");
        } catch (const not_leader_error &refusal) {
            CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.7:7400"), refusal.leader().text());
        }
    }

    // Guards against memory that a peer can fill at will.
    void sizeLimitsHoldBothWays()
    {
        json_rpc_client client(addressOf(m_server.port()));
        Json::Value large(Json::objectValue);
        large["text"] = std::string(maximumMessageBytes, 'x');
        for (const auto &[method, params] :
             {std::pair<std::string, Json::Value>("echo", large),
              std::pair<std::string, Json::Value>("large", Json::Value(Json::objectValue))}) {
            try {
                client.call(method, params, milliseconds(2000));
                CPPUNIT_FAIL(method + " passed the limit");
            } catch (const error &refusal) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(method, std::string("message_too_large"),
                                             std::string(name(refusal.code())));
            }
        }
    }

    // Guards against "nothing was sent" being said of a call that may have run.
    void unreachableServerIsToldFromASilentOne()
    {
        json_rpc_client refused(addressOf(findFreePort()));
        CPPUNIT_ASSERT_THROW(
            refused.call("echo", Json::Value(Json::objectValue), milliseconds(500)),
            not_connected_error);

        std::promise<void> asked;
        json_rpc_server silent({.address = "127.0.0.1", .methods = {"wait"}},
                               [&asked](const std::string &, const Json::Value &) {
                                   asked.get_future().wait();
                                   return Json::Value(Json::objectValue);
                               });
        json_rpc_client client(addressOf(silent.port()));
        CPPUNIT_ASSERT_THROW(client.call("wait", Json::Value(Json::objectValue), milliseconds(300)),
                             no_answer_error);
        asked.set_value();
    }

    // Guards against a daemon that runs without its port.
    void takenPortIsReported()
    {
        try {
            const json_rpc_server second(
                {.address = "127.0.0.1", .port = m_server.port(), .methods = {"echo"}}, handle);
            CPPUNIT_FAIL("the port was shared");
        } catch (const error &refusal) {
            CPPUNIT_ASSERT_EQUAL(std::string("port_unavailable"),
                                 std::string(name(refusal.code())));
        }
    }

private:
    json_rpc_server m_server{
        {.address = "127.0.0.1", .methods = {"echo", "refuse", "redirect", "fault", "large"}},
        handle};
};

CPPUNIT_TEST_SUITE_REGISTRATION(json_rpc_test);
