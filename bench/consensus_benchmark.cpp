#include "kingcuptiller/consensus/peer_message.h"
#include "kingcuptiller/storage/replica_store.h"
#include "tests/support/temporary_folder.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <string>

// What a commit costs a control host beside the network: append and sync by batch size on the disk
// under the folder of temporary files, recovery by log length, and the codec of peer messages.

using namespace kingcuptiller;

namespace {

constexpr std::size_t commandBytes = 300;

std::unique_ptr<replica_store> openStore(const temporary_folder &folder)
{
    return std::make_unique<replica_store>(posixDisk(folder.path),
                                           store_options{host_id("a"), false, [] { return "i1"; }});
}

log_record nextCommand(const replica_store &store)
{
    return {record_kind::command, epoch_number(1), store.lastIndex().next(),
            std::string(commandBytes, 'x')};
}

void appendAndSync(benchmark::State &state)
{
    const temporary_folder folder;
    const auto store = openStore(folder);
    for (const auto step : state) {
        static_cast<void>(step);
        for (std::int64_t number = 0; number < state.range(0); ++number)
            store->append(nextCommand(*store));
        store->sync();
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(appendAndSync)->RangeMultiplier(8)->Range(1, 512)->UseRealTime();

void recovery(benchmark::State &state)
{
    const temporary_folder folder;
    {
        const auto store = openStore(folder);
        for (std::int64_t number = 0; number < state.range(0); ++number)
            store->append(nextCommand(*store));
        store->sync();
    }
    for (const auto step : state) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(openStore(folder)->lastIndex());
    }
}
BENCHMARK(recovery)->RangeMultiplier(10)->Range(100, 100000)->Unit(benchmark::kMillisecond);

peer_message appendOf(std::int64_t entries)
{
    append_request body;
    for (std::int64_t number = 1; number <= entries; ++number)
        body.entries.push_back({record_kind::command, epoch_number(1),
                                log_index(static_cast<std::uint64_t>(number)),
                                std::string(commandBytes, 'x')});
    return {{host_id("a"), incarnation_id("i1")},
            {host_id("b"), incarnation_id("i2")},
            epoch_number(1),
            body};
}

void encodeAppend(benchmark::State &state)
{
    const peer_message message = appendOf(state.range(0));
    for (const auto step : state) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(encodePeerMessage(message));
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(encodeAppend)->Arg(1)->Arg(64)->Arg(1024);

void decodeAppend(benchmark::State &state)
{
    const std::string text = encodePeerMessage(appendOf(state.range(0)));
    for (const auto step : state) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(decodePeerMessage(text));
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(decodeAppend)->Arg(1)->Arg(64)->Arg(1024);

} // namespace
