// Size and cost of the messages between entries and control, against the size of the fleet.

#include "kingcuptiller/protocol/codec.h"

#include <benchmark/benchmark.h>

#include <string>

using namespace kingcuptiller;

namespace {

constexpr std::size_t messageLimitBytes = 64U << 20U;
constexpr std::size_t classCount = 3;
constexpr std::size_t regionCount = 3;

std::string named(const char *prefix, std::size_t number)
{
    return prefix + std::to_string(number);
}

entry_identity entryNumber(std::size_t number)
{
    return {host_id(named("entry-austro-", number)), incarnation_id(std::string(32, 'a')),
            endpoint_address("10.20.1.11:7400"), region_name("austro"), zone_name("austro-a")};
}

entry_sync_request syncRequest(std::size_t upstreams)
{
    entry_sync_request request;
    request.entry = entryNumber(1);
    for (std::size_t each = 0; each < upstreams; ++each)
        request.usage.push_back(
            {upstream_id(named("upstream-", each)), incarnation_id(std::string(16, 'b')), 3});
    for (std::size_t each = 0; each < classCount; ++each) {
        const class_name name(named("class-", each));
        request.demand.push_back({name, 4.5, 120.25});
        for (std::size_t from = 0; from < regionCount; ++from) {
            const region_name origin(named("region-", from));
            request.flows.push_back({name, origin, origin, 120});
            request.service.push_back({name, origin, 100'000, 20, 30, 1, {}, {}});
        }
    }
    return request;
}

entry_sync_response syncResponse(std::size_t upstreams, std::size_t entries)
{
    entry_sync_response response;
    response.lease = milliseconds(2500);
    for (std::size_t each = 0; each < entries; ++each)
        response.entries.push_back({entryNumber(each), true});
    for (std::size_t each = 0; each < upstreams; ++each)
        response.loads.push_back({upstream_id(named("upstream-", each)), 0.5, milliseconds(20)});
    return response;
}

template <typename Message>
void measureCodec(benchmark::State &state, const Message &message)
{
    std::size_t bytes = 0;
    for (auto _ : state) { // NOLINT(clang-analyzer-deadcode.DeadStores): the library's idiom
        const std::string text = writeJson(toJson(message));
        bytes = text.size();
        benchmark::DoNotOptimize(fromJson<Message>(parseJson(text, messageLimitBytes)));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

void syncRequestCodec(benchmark::State &state)
{
    measureCodec(state, syncRequest(static_cast<std::size_t>(state.range(0))));
}

void syncResponseCodec(benchmark::State &state)
{
    measureCodec(state,
                 syncResponse(static_cast<std::size_t>(state.range(0)),
                              static_cast<std::size_t>(state.range(1))));
}

void claimCodec(benchmark::State &state)
{
    const claim message{request_key("290fc95ba19408be-1a23fedac73-1ec"),
                        class_name("postings"),
                        fromUnixMilliseconds(1'796'368'870'515),
                        body_hash("0123456789abcdef"),
                        attempt_id("4e94f5b7d0419e64dbcfc4d6939916af-489"),
                        host_id("entry-austro-1"),
                        incarnation_id("4e94f5b7d0419e64dbcfc4d6939916af"),
                        milliseconds(4000)};
    measureCodec(state, message);
}

BENCHMARK(syncRequestCodec)->Arg(0)->Arg(44)->Arg(440)->Arg(2300);
BENCHMARK(syncResponseCodec)->Args({0, 0})->Args({44, 7})->Args({440, 70})->Args({2300, 4400});
BENCHMARK(claimCodec);

} // namespace
