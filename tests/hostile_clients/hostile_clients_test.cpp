#include "kingcuptiller/relay/http_types.h"
#include "tests/hostile_clients/hostile_crowd.h"
#include "tests/platform/platform_processes.h"
#include "tests/platform/stand_in_callers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace kingcuptiller;

namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

// The memory that the settings of the test give each process, and thus the bound for its resident
// memory. Far less than a crowd sends.
constexpr const char *memorySetting = "64 MiB";
constexpr std::uint64_t memoryBound = std::uint64_t{64} * 1024 * 1024;
// The open files that the test gives each process.
constexpr std::size_t descriptorBound = 256;
constexpr std::size_t smallCrowd = 8;
constexpr std::size_t bytesEach = std::size_t{16} * 1024 * 1024;
// Requests may need some tries while a crowd is there; none of them may need forever.
constexpr int mostTries = 60;
constexpr milliseconds tryInterval{500};
constexpr milliseconds callLimit{4'000};

enum class target { traffic, control, directory, readiness, internal };

struct hostile_case
{
    std::string name;
    target where = target::traffic;
    std::size_t clients = smallCrowd;
    hostile_input input;
};

const std::string chunkedHead = "POST /reads/1 HTTP/1.1\r\nHost: a.example\r\n"
                                "Kingcuptiller-Attempt-Id: 9\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string lookup = "GET /reads/1 HTTP/1.1\r\nHost: a.example\r\n"
                           "Kingcuptiller-Attempt-Id: 9\r\n\r\n";

// The fields of a complete head stay in memory until the body has come.
std::string manyFields()
{
    std::string head = "POST /writes/1 HTTP/1.1\r\nHost: a.example\r\n"
                       "Kingcuptiller-Attempt-Id: 9\r\nContent-Length: 1000\r\n";
    while (head.size() < 16'000)
        head += "a:\r\n";
    return head + "\r\n";
}

std::string announcedBody(std::size_t bytes)
{
    return fmt::format("POST /writes/1 HTTP/1.1\r\nHost: a.example\r\n"
                       "Kingcuptiller-Attempt-Id: 9\r\nContent-Length: {}\r\n\r\nx",
                       bytes);
}

// The first bytes of a frame between hosts that announces eight megabytes.
const std::string largeFrame{'\x00', '\x7f', '\xff', '\xff', 'p'};

std::string configuration()
{
    std::string routes;
    for (const auto &[name, kind] :
         std::vector<std::pair<std::string, std::string>>{{"reads", "safe"}, {"writes", "unsafe"}})
        routes += fmt::format(
            R"({{"resourceKind":"routes","metadata":{{"name":"{0}"}},"spec":{{"host":"a.example",)"
            R"("pathPrefix":"/{0}/","kind":"{1}","timeoutMs":10000,"targetLatencyMs":1000,)"
            R"("priority":1,"service":"s","maxAttempts":2,"allowedRegions":[]}}}},)",
            name, kind);
    return R"({"version":"r1","baseVersion":"r0","resources":[)" + routes
        + R"({"resourceKind":"services","metadata":{"name":"s"},"spec":{"healthPath":"/health",)"
          R"("maxConnections":390,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":8.0}}]})";
}

// One control host, one entry and one upstream, with little memory and few descriptors.
class small_fleet
{
public:
    small_fleet()
        : m_processes(1, 1, memorySetting)
        , m_callers(m_processes, {"s"}, 1, 1)
    {
        m_processes.control(0).limitDescriptors(descriptorBound);
        m_processes.entry(0).limitDescriptors(descriptorBound);
        m_processes.start(1);
    }

    [[nodiscard]] bool configure() const
    {
        text_request request(http::verb::put, "/v1/config", 11);
        request.set(http::field::host, "control");
        request.body() = configuration();
        return isAnswered(m_processes.controlEndpoint(0), request);
    }

    // Whether a request without a body, one with a larger body, and a call of an operator are
    // answered.
    [[nodiscard]] bool servesOrdinaryRequests() const
    {
        text_request call(http::verb::get, "/v1/config", 11);
        call.set(http::field::host, "control");
        if (!isAnswered(m_processes.controlEndpoint(0), call))
            return false;
        text_request read(http::verb::get, "/reads/1", 11);
        text_request write(http::verb::post, "/writes/1", 11);
        write.body() = std::string(100'000, 'b');
        for (text_request *const each : {&read, &write}) {
            each->set(http::field::host, "a.example");
            each->set("Kingcuptiller-Attempt-Id", "7");
            each->set("Kingcuptiller-Deadline-Ms", std::to_string(callLimit.count()));
            if (!isAnswered(m_processes.trafficEndpoint(0), *each))
                return false;
        }
        return true;
    }

    [[nodiscard]] tcp_endpoint endpoint(target where) const
    {
        switch (where) {
        case target::traffic:
            return m_processes.trafficEndpoint(0);
        case target::control:
            return m_processes.controlEndpoint(0);
        case target::directory:
            return m_processes.directoryEndpoint(0);
        case target::readiness:
            return m_processes.readyEndpoint(0);
        case target::internal:
            return m_processes.internalEndpoint(0);
        }
        return {};
    }

    std::vector<platform_process *> processes()
    {
        return {&m_processes.control(0), &m_processes.entry(0)};
    }

private:
    // Tries again while there is no answer or a refusal, as clients do.
    static bool isAnswered(const tcp_endpoint &where, const text_request &request)
    {
        for (int i = 0; i < mostTries; ++i) {
            const std::optional<text_response> response = call(where, request, callLimit);
            if (response && response->result() == http::status::ok)
                return true;
            std::this_thread::sleep_for(tryInterval);
        }
        return false;
    }

    platform_processes m_processes;
    stand_in_callers m_callers;
};

const std::vector<hostile_case> hostileCases = {
    {"trailers without end",
     target::traffic,
     smallCrowd,
     {chunkedHead + "0\r\n", "x: " + std::string(1'000, 'y') + "\r\n", bytesEach}},
    {"trailers without end, control",
     target::control,
     smallCrowd,
     {chunkedHead + "0\r\n", "x: " + std::string(1'000, 'y') + "\r\n", bytesEach}},
    {"trailers without end, directory",
     target::directory,
     smallCrowd,
     {chunkedHead + "0\r\n", "x: " + std::string(1'000, 'y') + "\r\n", bytesEach}},
    {"trailers without end, readiness",
     target::readiness,
     smallCrowd,
     {chunkedHead + "0\r\n", "x: " + std::string(1'000, 'y') + "\r\n", bytesEach}},
    {"chunk extension without end",
     target::traffic,
     smallCrowd,
     {chunkedHead + "1;", std::string(1'000, 'y'), bytesEach}},
    {"header section without end",
     target::traffic,
     smallCrowd,
     {"GET /reads/1 HTTP/1.1\r\n", "x: y\r\n", bytesEach}},
    {"chunks of one byte", target::traffic, smallCrowd, {chunkedHead, "1\r\nx\r\n", bytesEach}},
    {"requests whose responses are not read",
     target::traffic,
     smallCrowd,
     {lookup, lookup, bytesEach}},
    {"bodies announced and not sent", target::traffic, smallCrowd, {announcedBody(60'000'000)}},
    {"bodies announced and not sent, control",
     target::control,
     smallCrowd,
     {announcedBody(60'000'000)}},
    {"many header fields before a body that is not sent", target::traffic, 200, {manyFields()}},
    {"connections opened and left", target::traffic, 2 * descriptorBound, {"G"}},
    {"connections opened and left, control", target::control, 2 * descriptorBound, {"G"}},
    {"connections opened and left, readiness", target::readiness, 2 * descriptorBound, {"G"}},
    {"large frames announced and not sent", target::internal, 2 * smallCrowd, {largeFrame}},
    {"connections to the internal port opened and left",
     target::internal,
     2 * descriptorBound,
     {largeFrame.substr(0, 1)}},
};

} // namespace

// Real processes with small limits, a small crowd of clients that break the limits, and ordinary
// requests afterwards.
class hostile_clients_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hostile_clients_test);
    CPPUNIT_TEST(processesSurviveCrowds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a process that runs out of memory or descriptors, or serves nobody any more,
    // because of a few clients.
    void processesSurviveCrowds()
    {
        std::string faults;
        for (const hostile_case &each : hostileCases)
            faults += play(each);
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    }

private:
    static std::string play(const hostile_case &attack)
    {
        small_fleet fleet;
        if (!fleet.configure() || !fleet.servesOrdinaryRequests())
            return attack.name + ": the fleet does not start\n";
        hostile_crowd crowd;
        crowd.attack(fleet.endpoint(attack.where), attack.clients, attack.input);
        std::string faults;
        if (!fleet.servesOrdinaryRequests())
            faults += attack.name + ": ordinary requests are not answered\n";
        for (const platform_process *const process : fleet.processes()) {
            if (!process->isRunning())
                return faults + attack.name + ": a process has ended\n";
            if (process->peakResidentBytes() > memoryBound)
                faults += fmt::format("{}: {} MiB are resident\n", attack.name,
                                      process->peakResidentBytes() >> 20U);
            if (process->openDescriptors() > descriptorBound)
                faults += attack.name + ": too many descriptors are open\n";
        }
        return faults;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hostile_clients_test);
