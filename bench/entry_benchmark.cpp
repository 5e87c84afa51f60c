// What an entry adds to a request: a direct call of an upstream, the same call through
// http_forwarder, and the whole way through HTTP server, coordinator and forwarder. Control is
// played: claims and settlements are answered at once.

#include "kingcuptiller/entry/work_coordinator.h"
#include "kingcuptiller/transport/free_port.h"
#include "kingcuptiller/transport/http_forwarder.h"
#include "kingcuptiller/transport/http_server.h"
#include "kingcuptiller/transport/system_clock.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <future>
#include <iostream>

using namespace kingcuptiller;

namespace {

constexpr std::size_t bodyBytes = 1000;

endpoint_address localAddress(std::uint16_t port)
{
    return endpoint_address("127.0.0.1:" + std::to_string(port));
}

http_answer answerAsUpstream(const http_request &request)
{
    http_answer answer;
    answer.headers["Kct-Request-Key"] = headerValue(request.headers, "Kct-Request-Key");
    answer.headers["Kct-Attempt"] = headerValue(request.headers, "Kct-Attempt");
    answer.headers["Kct-Upstream-Result"] = "ran";
    answer.body = std::string(bodyBytes, 'x');
    return answer;
}

// An upstream and an entry in one process.
class bench_fleet
{
public:
    bench_fleet()
        : m_upstreamPort(findFreePort())
        , m_upstream({.address = "127.0.0.1", .port = m_upstreamPort},
                     [](const http_request &request, const http_reply &reply) {
                         reply(answerAsUpstream(request));
                     })
        , m_entryPort(findFreePort())
        , m_coordinator(makeCoordinator())
        , m_entry({.address = "127.0.0.1", .port = m_entryPort},
                  [this](const http_request &request, const http_reply &reply) {
                      if (request.path == "/nothing")
                          return reply(http_answer());
                      m_coordinator->handle(parseWorkRequest(request),
                                            [reply](const work_answer &answer) {
                                                reply(toHttpAnswer(answer, host_id("entry-1")));
                                            });
                  })
    {
    }

    endpoint_address upstream() const { return localAddress(m_upstreamPort); }
    endpoint_address entry() const { return localAddress(m_entryPort); }

private:
    std::shared_ptr<work_coordinator> makeCoordinator();

    http_forwarder m_forwarder;
    std::atomic<std::uint64_t> m_drawn{0};
    std::shared_ptr<const entry_snapshot> m_snapshot;
    std::uint16_t m_upstreamPort;
    http_server m_upstream;
    std::uint16_t m_entryPort;
    std::shared_ptr<work_coordinator> m_coordinator;
    http_server m_entry;
};

entry_sync_response syncResponse(const endpoint_address &upstream)
{
    entry_sync_response response;
    response.lease = std::chrono::hours(1);
    response.revision = revision_number(1);
    response.assignment = assignment_sequence(1);
    response.newConfiguration.emplace();
    response.newConfiguration->revision = response.revision;
    response.newAssignments.emplace();
    for (const std::string name : {"lookup", "posting"}) {
        work_class added;
        added.name = class_name(name);
        added.idempotent = name == "lookup";
        response.newConfiguration->classes.push_back(added);
        response.newAssignments->push_back({.id = upstream_id(name),
                                            .incarnation = incarnation_id("i"),
                                            .address = upstream,
                                            .region = region_name("east"),
                                            .zone = zone_name("a"),
                                            .workClass = added.name,
                                            .limit = 1000,
                                            .connectionLimit = 1000,
                                            .age = std::chrono::hours(1)});
    }
    return response;
}

std::shared_ptr<work_coordinator> bench_fleet::makeCoordinator()
{
    const entry_sync_response response = syncResponse(upstream());
    m_snapshot = std::make_shared<entry_snapshot>(
        *applySync(entry_snapshot(), response, readInstant(), readInstant()));
    coordinator_settings settings;
    settings.identity.region = region_name("east");
    dispatcher_settings dispatching;
    dispatching.region = region_name("east");
    auto made = std::make_shared<work_coordinator>(
        settings, entry_dispatcher(std::move(dispatching)),
        coordinator_hooks{
            .now = readInstant,
            .snapshot = [this] { return m_snapshot; },
            .randomId = [this] { return "attempt-" + std::to_string(++m_drawn); },
            .forward = [this](const forward_request &request,
                              const auto &done) { return m_forwarder.send(request, done); },
            .requestClaim =
                [](const claim &wanted, instant, const auto &done) {
                    done(claim_answer{
                        .attempt = wanted.attempt, .code = result_code::ok, .answer = {}});
                },
            .settle = [](const settlement &, instant, const auto &done) { done(true); },
        });
    made->apply(response, true);
    return made;
}

bench_fleet &fleet()
{
    // Never destroyed, since cpprest's pool outlives main.
    static auto *made = new bench_fleet;
    return *made;
}

void call(benchmark::State &state, const endpoint_address &address, const std::string &path,
          bool fresh)
{
    static http_forwarder client;
    forward_request request;
    request.upstream = address;
    request.message = {.method = "POST",
                       .path = path,
                       .query = {},
                       .headers = {{"Kct-Request-Key", "key"},
                                   {"Kct-Issue-Time", "1"},
                                   {"Kct-Attempt", "attempt"}},
                       .body = std::string(bodyBytes, 'y')};
    request.timeout = milliseconds(10'000);
    request.freshConnection = fresh;
    std::uint64_t failed = 0;
    for (auto _ : state) {
        std::promise<forward_result> promise;
        client.send(request,
                    [&promise](forward_result result) { promise.set_value(std::move(result)); });
        const forward_result result = promise.get_future().get();
        failed +=
            result.outcome == forward_outcome::complete && result.answer.status == 200 ? 0 : 1;
    }
    state.SetItemsProcessed(state.iterations());
    state.counters["failed"] = static_cast<double>(failed);
}

void directPooled(benchmark::State &state)
{
    call(state, fleet().upstream(), "/x", false);
}
void directFresh(benchmark::State &state)
{
    call(state, fleet().upstream(), "/x", true);
}
void entryNothing(benchmark::State &state)
{
    call(state, fleet().entry(), "/nothing", false);
}
void entryIdempotent(benchmark::State &state)
{
    call(state, fleet().entry(), "/v1/work/lookup/x", false);
}
void entryOnceOnly(benchmark::State &state)
{
    call(state, fleet().entry(), "/v1/work/posting/x", false);
}

BENCHMARK(directPooled)->UseRealTime()->Threads(1)->Threads(16);
BENCHMARK(directFresh)->UseRealTime()->Threads(1)->Threads(16);
BENCHMARK(entryNothing)->UseRealTime()->Threads(1)->Threads(16);
BENCHMARK(entryIdempotent)->UseRealTime()->Threads(1)->Threads(16);
BENCHMARK(entryOnceOnly)->UseRealTime()->Threads(1)->Threads(16);

} // namespace

int main(int argc, char **argv)
{
    benchmark::Initialize(&argc, argv);
    if (benchmark::ReportUnrecognizedArguments(argc, argv))
        return EXIT_FAILURE;
    benchmark::RunSpecifiedBenchmarks();
    // cpprest closes listeners that are still open in a static destructor. By then its thread pool
    // may have ended, and it waits for ever for the connections to close.
    std::cout.flush();
    std::_Exit(EXIT_SUCCESS);
}
