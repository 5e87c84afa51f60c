#include "kingcuptiller/node/entry_node.h"
#include "kingcuptiller/transport/free_port.h"
#include "tests/node/fake_control_host.h"
#include "tests/relay/relay_fixture.h"
#include "tests/support/scripted_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace kingcuptiller;

namespace {

// The time between the stop's beginning and the end of the process.
constexpr milliseconds grace{2'000};
constexpr milliseconds pollInterval{20};
constexpr int mostPolls = 500;

struct stop_case
{
    std::string name;
    // When the last bytes of the request are sent, from the stop's beginning; nothing if the
    // upstream works on the request when the stop begins.
    std::optional<milliseconds> lastBytesAfter;
    // The time limit that the client states.
    milliseconds limit{0};
    milliseconds upstreamTakes{0};
    std::string expectedStatus;
    int expectedSendings = 0;
};

const std::vector<stop_case> stopCases = {
    {"sent before, ends in time", {}, milliseconds(6'000), milliseconds(700), "200", 1},
    {"sent before, does not end", {}, milliseconds(6'000), milliseconds(2'500), "502", 1},
    {"whole afterwards, ends in time by its limit", milliseconds(0), milliseconds(1'200),
     milliseconds(700), "200", 1},
    {"whole afterwards, exceeds its limit", milliseconds(0), milliseconds(1'000),
     milliseconds(1'300), "504", 1},
    {"whole afterwards, may last longer than the process", milliseconds(0), milliseconds(6'000),
     milliseconds(700), "503", 0},
    {"whole only late in the grace", milliseconds(1'400), milliseconds(6'000), milliseconds(1'000),
     "503", 0},
    {"whole only late in the grace, short limit", milliseconds(1'400), milliseconds(1'000),
     milliseconds(10), "503", 0},
};

// An entry with a control host and an upstream, on loopback, in a thread of its own.
class entry_world
{
public:
    explicit entry_world(milliseconds upstreamTakes)
        : upstream([upstreamTakes](int, const std::string &) {
            std::this_thread::sleep_for(upstreamTakes);
            return completeResponse;
        })
        , m_process(std::make_unique<process>(m_controlPort, settings()))
    {
        upstream_incarnation life;
        life.id = upstream_id("u");
        life.address = endpoint_address("127.0.0.1:" + std::to_string(upstream.port()));
        life.service = service_name("s");
        life.zone = zone_name("a");
        life.slots = 4;
        m_process->host.view.upstreams.push_back(life);
        m_process->host.view.version = revision_number(1);
        m_process->host.view.document = "a configuration";
        m_thread = std::thread([this] {
            m_process->context.run();
            m_process.reset();
        });
        waitUntilReady();
    }

    ~entry_world()
    {
        if (!m_stopping)
            asio::post(m_process->context, [this] { m_process->context.stop(); });
        m_thread.join();
    }
    entry_world(const entry_world &) = delete;
    entry_world &operator=(const entry_world &) = delete;

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(m_clientContext);
        socket.connect(parseTcpEndpoint("127.0.0.1:" + std::to_string(m_trafficPort)));
        return socket;
    }

    void waitUntilSent()
    {
        for (int i = 0; i < mostPolls && upstream.requests() == 0; ++i)
            std::this_thread::sleep_for(pollInterval);
        CPPUNIT_ASSERT_EQUAL(1, upstream.requests());
    }

    // The process ends, and with it all its connections, when the entry has left.
    void stop()
    {
        m_stopping = true;
        asio::post(m_process->context,
                   [this] { m_process->entry.leave([this] { m_process->context.stop(); }); });
    }

    scripted_server upstream;

private:
    struct process
    {
        process(std::uint16_t controlPort, const node_settings &settings)
            : host(context, "127.0.0.6", controlPort, host_mood::current)
            , entry(context, settings, platform(), counters)
        {
        }

        asio::io_context context;
        counter_registry counters;
        fake_control_host host;
        entry_node entry;
    };

    void waitUntilReady()
    {
        std::atomic<bool> ready = false;
        for (int i = 0; i < mostPolls && !ready; ++i) {
            asio::post(m_process->context, [&] { ready = m_process->entry.ready(); });
            std::this_thread::sleep_for(pollInterval);
        }
        CPPUNIT_ASSERT(ready);
    }

    node_settings settings() const
    {
        node_settings result;
        result.name = "entry";
        result.host = host_id("127.0.0.1");
        result.zone = zone_name("a");
        result.region = region_name("r");
        result.zones = {{zone_name("a"), region_name("r")}};
        result.traffic = endpoint_address("127.0.0.1:" + std::to_string(m_trafficPort));
        result.internalPort = m_controlPort;
        result.seeds = {host_id("127.0.0.6")};
        result.shutdownLimit = grace;
        return result;
    }

    static entry_platform platform()
    {
        return {{"X-Id", "X-Time", "X-Object", "X-Upstream", "X-Seal", "X-NotRun", "X-Load",
                 "X-Cold", "Retry-After", "X-Leaving"},
                [](const std::string &) {
                    traffic_configuration configuration;
                    configuration.version = revision_number(1);
                    configuration.services = {{service_name("s"), 390, milliseconds(0), 0}};
                    traffic_route route;
                    route.name = "writes";
                    route.host = "a.example";
                    route.pathPrefix = "/";
                    route.timeout = milliseconds(8'000);
                    route.weightedServices = {{service_name("s"), 1}};
                    route.maximumAttempts = 2;
                    configuration.routes.push_back(route);
                    return configuration;
                }};
    }

    std::uint16_t m_controlPort = findFreePort();
    std::uint16_t m_trafficPort = findFreePort();
    asio::io_context m_clientContext;
    std::unique_ptr<process> m_process;
    std::thread m_thread;
    bool m_stopping = false;
};

} // namespace

class entry_node_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_node_test);
    CPPUNIT_TEST(requestsAroundAPlannedStopAreAllAnswered);
    CPPUNIT_TEST(clientsAreSentToServingEntriesOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that are taken during a planned stop and cut at its end, or are
    // rejected though they were sent to an upstream.
    void requestsAroundAPlannedStopAreAllAnswered()
    {
        for (const stop_case &each : stopCases) {
            entry_world world(each.upstreamTakes);
            asio::ip::tcp::socket client = world.connect();
            const std::string head = "POST /1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\nX-Time: "
                + std::to_string(each.limit.count()) + "\r\nContent-Length: 2\r\n\r\nh";
            const std::string lastByte = "i";
            asio::write(client, asio::buffer(head));
            boost::system::error_code ignored;
            if (!each.lastBytesAfter) {
                asio::write(client, asio::buffer(lastByte));
                world.waitUntilSent();
            }
            world.stop();
            if (each.lastBytesAfter) {
                std::this_thread::sleep_for(*each.lastBytesAfter);
                asio::write(client, asio::buffer(lastByte), ignored);
            }
            std::string answer;
            asio::read(client, asio::dynamic_buffer(answer), ignored);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.expectedStatus, statusCodeOf(answer));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.expectedSendings,
                                         world.upstream.requests());
        }
    }

    // Guards against sending clients to entries that do not serve yet or no longer.
    void clientsAreSentToServingEntriesOnly()
    {
        const region_name region("r");
        const auto entry = [&](const std::string &address, const std::string &zone,
                               entry_state state) {
            return fleet_entry{endpoint_address(address), region, zone_name(zone), state};
        };
        const std::vector<fleet_entry> entries = {
            entry("10.0.0.1:80", "a", entry_state::joining),
            entry("10.0.0.2:80", "a", entry_state::absent),
            entry("10.0.0.3:80", "b", entry_state::serving),
        };
        CPPUNIT_ASSERT(nearestEntries(entries, region, zone_name("a"))
                       == std::vector<fleet_entry>{entries.back()});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_node_test);
