#include "kingcuptiller/relay/http_types.h"
#include "tests/platform/platform_processes.h"
#include "tests/platform/stand_in_callers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <future>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace kingcuptiller;

namespace {

using std::chrono::milliseconds;
namespace http = boost::beast::http;

constexpr milliseconds startLimit{30'000};
constexpr milliseconds callLimit{3'000};
constexpr milliseconds pollInterval{50};
// An order of an evacuation is in progress for longer than this.
constexpr milliseconds orderLead{60};
constexpr milliseconds exitLimit{3'000};

text_request makeRequest(http::verb method, const std::string &target)
{
    text_request request(method, target, 11);
    request.set(http::field::host, "control");
    return request;
}

// Whether the host answers a read of the configuration, which it cannot without a leader.
bool waitUntilServing(const tcp_endpoint &control)
{
    const auto until = std::chrono::steady_clock::now() + startLimit;
    while (std::chrono::steady_clock::now() < until) {
        const auto response =
            call(control, makeRequest(http::verb::delete_, "/v1/evacuations/zone-0"), callLimit);
        if (response && response->result() == http::status::ok)
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

// A process that waits for its settings while it starts, because they come from a pipe.
class starting_process
{
public:
    explicit starting_process(platform_process &process)
        : m_process(process)
    {
        std::ostringstream text;
        text << std::ifstream(process.settingsPath()).rdbuf();
        m_settings = text.str();
        std::filesystem::remove(process.settingsPath());
        ::mkfifo(process.settingsPath().c_str(), 0600);
        process.start();
        // Returns when the process has opened the other end.
        m_pipe = ::open(process.settingsPath().c_str(), O_WRONLY | O_CLOEXEC);
    }

    // Lets the process start; later it finds the same settings in a file.
    void finish()
    {
        std::filesystem::remove(m_process.settingsPath());
        std::ofstream(m_process.settingsPath()) << m_settings;
        const auto written = ::write(m_pipe, m_settings.data(), m_settings.size());
        ::close(m_pipe);
        CPPUNIT_ASSERT_EQUAL(m_settings.size(), static_cast<std::size_t>(written));
    }

private:
    platform_process &m_process;
    std::string m_settings;
    int m_pipe = -1;
};

} // namespace

// Real processes that get signals at inconvenient moments.
class process_signals_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(process_signals_test);
    CPPUNIT_TEST(signalsDuringTheStartAreHandledAfterIt);
    CPPUNIT_TEST(changedShutdownLimitHolds);
    CPPUNIT_TEST(controlHostAnswersItsCallsBeforeItEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a process that SIGHUP ends because it has just started, and against SIGTERM
    // that then ends it like a crash.
    void signalsDuringTheStartAreHandledAfterIt()
    {
        for (const bool isControl : {false, true}) {
            const std::string name = isControl ? "control" : "entry";
            platform_processes fleet(1, 1);
            platform_process &process = isControl ? fleet.control(0) : fleet.entry(0);
            starting_process starting(process);
            process.signal(SIGHUP);
            CPPUNIT_ASSERT_MESSAGE(name, !process.waitForExit(orderLead));
            CPPUNIT_ASSERT_MESSAGE(name, process.isRunning());
            process.signal(SIGTERM);
            starting.finish();
            CPPUNIT_ASSERT_MESSAGE(name, process.waitForExit(exitLimit) == 0);
        }
    }

    // Guards against an entry that stays until it is killed, because its limit has become shorter
    // since it started.
    void changedShutdownLimitHolds()
    {
        for (const bool isNotified : {false, true}) {
            platform_processes fleet(1, 1, "256 MiB", "60 s");
            stand_in_callers upstreams(fleet, {"s"}, 1, 1);
            fleet.start(1);
            configure(fleet);
            fleet.entry(0).editSettings("shutdown_limit = 60 s", "shutdown_limit = 2 s");
            if (isNotified)
                fleet.entry(0).signal(SIGHUP);
            fleet.entry(0).signal(SIGTERM);
            CPPUNIT_ASSERT(fleet.entry(0).waitForExit(milliseconds(2'000)) == 0);
        }
    }

    // Guards against orders of operators and upstreams that a control host has read and leaves
    // without an answer when it is stopped, whether it leads or not.
    void controlHostAnswersItsCallsBeforeItEnds()
    {
        constexpr std::size_t hosts = 3;
        platform_processes fleet(hosts, 0);
        fleet.start(0);
        for (std::size_t i = 0; i < hosts; ++i)
            CPPUNIT_ASSERT(waitUntilServing(fleet.controlEndpoint(i)));
        // Each host in turn, so one of them leads when it is stopped.
        for (std::size_t stopped = 0; stopped < hosts; ++stopped) {
            std::vector<std::future<std::optional<text_response>>> orders;
            for (std::size_t i = 0; i < hosts; ++i)
                orders.push_back(std::async(std::launch::async, [&fleet, i] {
                    return call(fleet.controlEndpoint(i),
                                makeRequest(http::verb::post,
                                            fmt::format("/v1/evacuations/{}",
                                                        platform_processes::zoneOf(i))),
                                callLimit);
                }));
            std::this_thread::sleep_for(orderLead);
            fleet.control(stopped).signal(SIGTERM);
            for (auto &order : orders) {
                const std::optional<text_response> response = order.get();
                CPPUNIT_ASSERT_MESSAGE(fmt::format("host {} stopped", stopped),
                                       response.has_value());
            }
            CPPUNIT_ASSERT(fleet.control(stopped).waitForExit(exitLimit) == 0);
            fleet.control(stopped).start();
            for (std::size_t i = 0; i < hosts; ++i)
                CPPUNIT_ASSERT(waitUntilServing(fleet.controlEndpoint(i)));
        }
    }

private:
    // Returns when the entry serves.
    static void configure(const platform_processes &fleet)
    {
        text_request request = makeRequest(http::verb::put, "/v1/config");
        request.body() = R"({"version":"r1","baseVersion":"r0","resources":[)"
                         R"({"resourceKind":"services","metadata":{"name":"s"},"spec":{)"
                         R"("healthPath":"/health","maxConnections":390,"protocol":"h1",)"
                         R"("tls":false,"coldStartS":0,"coldPerS":0}}]})";
        const auto until = std::chrono::steady_clock::now() + startLimit;
        bool isReady = false;
        while (!isReady && std::chrono::steady_clock::now() < until) {
            (void)call(fleet.controlEndpoint(0), request, callLimit);
            const auto ready =
                call(fleet.readyEndpoint(0), makeRequest(http::verb::get, "/v1/ready"), callLimit);
            isReady = ready && ready->result() == http::status::ok;
            std::this_thread::sleep_for(pollInterval);
        }
        CPPUNIT_ASSERT(isReady);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_signals_test);
