#include "kingcuptiller/control/control_state.h"
#include "kingcuptiller/control/lease_table.h"
#include "kingcuptiller/control/share_planner.h"

#include <benchmark/benchmark.h>

#include <array>

// Costs of the control state: claims, share plans, snapshots and entry syncs.

using namespace kingcuptiller;

namespace {

constexpr wall_time start = fromUnixMilliseconds(1'800'000'000'000);
constexpr std::array regions = {"austro", "sierra-norte", "litoral"};

std::string numbered(const char *prefix, std::size_t number)
{
    return prefix + std::to_string(number);
}

work_class makeClass(const std::string &name, std::uint64_t rank, bool idempotent)
{
    return {class_name(name), rank_number(rank), idempotent, {}, milliseconds{5000}};
}

control_state makeState()
{
    control_state state;
    const change_request change{change_id("setup"),
                                revision_number(0),
                                {makeClass("lookups", 2, true), makeClass("postings", 1, false),
                                 makeClass("revisions", 3, false)},
                                {},
                                {},
                                {}};
    state.apply({start, change_command{change, result_code::ok, ""}});
    return state;
}

entry_identity makeEntry(std::size_t number)
{
    return {host_id(numbered("entry-", number)), incarnation_id(numbered("incarnation-", number)),
            endpoint_address("10.0.0.1:7000"), region_name(regions.at(number % regions.size())),
            zone_name("a")};
}

upstream_announcement makeUpstream(std::size_t number)
{
    constexpr std::array classes = {"lookups", "lookups", "revisions", "postings"};
    upstream_announcement value;
    value.id = upstream_id(numbered("upstream-", number));
    value.incarnation = incarnation_id("1");
    value.address = endpoint_address("10.0.1.1:8000");
    value.region = region_name(regions.at(number % regions.size()));
    value.zone = zone_name("a");
    value.workClass = class_name(classes.at(number % classes.size()));
    value.slots = number % classes.size() == 3 ? 3 : 9;
    value.connections = 400;
    return value;
}

control_state makeFleet(std::size_t upstreams, std::size_t entries)
{
    control_state state = makeState();
    fleet_update update;
    for (std::size_t each = 0; each < entries; ++each)
        update.joined.push_back(makeEntry(each));
    for (std::size_t each = 0; each < upstreams; ++each)
        update.upstreams.push_back(makeUpstream(each));
    state.apply({start, update});
    return state;
}

// `turn` moves the demand from entry to entry.
demand_table makeDemand(std::size_t entries, std::size_t turn)
{
    demand_table table;
    for (std::size_t each = 0; each < entries; ++each) {
        const auto identity = makeEntry(each);
        const double demand = (each + turn) % entries == 0 ? 50 : 5;
        table[{identity.host, identity.incarnation}] = {{class_name("lookups"), demand, demand},
                                                        {class_name("postings"), demand, demand},
                                                        {class_name("revisions"), demand, demand}};
    }
    return table;
}

claim makeClaim(std::size_t number)
{
    return {request_key(numbered("0123456789abcdef0123456789-", number)),
            class_name("postings"),
            start,
            body_hash("0123456789abcdef"),
            attempt_id(numbered("fedcba9876543210fedcba987654-", number)),
            host_id("entry-1"),
            incarnation_id("incarnation-1"),
            milliseconds{5000}};
}

command makeClaims(std::size_t first, std::size_t number)
{
    claims_command body;
    for (std::size_t each = 0; each < number; ++each)
        body.claims.push_back(makeClaim(first + each));
    return {start, std::move(body)};
}

control_state makeLedger(std::size_t records)
{
    control_state state = makeState();
    state.apply({start, ledger_limits{milliseconds{3'600'000}, 10'000'000, 1U << 26U}});
    for (std::size_t first = 0; first < records; first += 1000)
        state.apply(makeClaims(first, 1000));
    return state;
}

// One command with range(0) claims, from its text to its results.
void applyClaims(benchmark::State &run)
{
    const auto number = static_cast<std::size_t>(run.range(0));
    control_state state = makeLedger(0);
    std::size_t first = 0;
    for (auto each : run) {
        run.PauseTiming();
        const std::string text = encodeCommand(makeClaims(first, number));
        run.ResumeTiming();
        benchmark::DoNotOptimize(state.apply(decodeCommand(text)));
        first += number;
    }
    run.SetItemsProcessed(run.iterations() * run.range(0));
}
BENCHMARK(applyClaims)->Arg(1)->Arg(10)->Arg(100)->Iterations(2000);

// A plan after the demand has moved, for range(0) upstreams and range(1) entries.
void planMovedDemand(benchmark::State &run)
{
    const auto entries = static_cast<std::size_t>(run.range(1));
    control_state state = makeFleet(static_cast<std::size_t>(run.range(0)), entries);
    fleet_update update;
    update.limits =
        planShares(state.currentConfiguration(), state.fleet(), makeDemand(entries, 0), start);
    state.apply({start, update});
    const auto moved = makeDemand(entries, 1);
    std::size_t changes = 0;
    for (auto each : run)
        changes = planShares(state.currentConfiguration(), state.fleet(), moved, start).size();
    run.counters["changedLimits"] = static_cast<double>(changes);
}
BENCHMARK(planMovedDemand)
    ->Args({44, 7})
    ->Args({440, 70})
    ->Args({2300, 100})
    ->Unit(benchmark::kMillisecond);

void encodeSnapshot(benchmark::State &run)
{
    const control_state state = makeLedger(static_cast<std::size_t>(run.range(0)));
    std::size_t bytes = 0;
    for (auto each : run)
        bytes = state.snapshot().size();
    run.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(encodeSnapshot)->Arg(1000)->Arg(10'000)->Arg(100'000)->Unit(benchmark::kMillisecond);

void decodeSnapshot(benchmark::State &run)
{
    const std::string text = makeLedger(static_cast<std::size_t>(run.range(0))).snapshot();
    for (auto each : run)
        benchmark::DoNotOptimize(control_state::fromSnapshot(text));
}
BENCHMARK(decodeSnapshot)->Arg(1000)->Arg(10'000)->Arg(100'000)->Unit(benchmark::kMillisecond);

// One sync of an entry that is up to date, with range(0) upstreams and range(1) entries.
void handleSync(benchmark::State &run)
{
    const auto entries = static_cast<std::size_t>(run.range(1));
    const control_state state = makeFleet(static_cast<std::size_t>(run.range(0)), entries);
    lease_table table;
    const lease_moment moment{instant{}, start};
    table.startLeading(state, moment.now);
    entry_sync_request request;
    request.entry = makeEntry(0);
    request.appliedRevision = state.currentConfiguration().revision;
    request.appliedAssignment = state.fleet().sequence();
    for (std::size_t each = 0; each < static_cast<std::size_t>(run.range(0)) / entries; ++each)
        request.announcements.push_back(makeUpstream(each));
    for (auto each : run)
        benchmark::DoNotOptimize(table.sync(request, state, moment));
}
BENCHMARK(handleSync)
    ->Args({44, 7})
    ->Args({440, 70})
    ->Args({2300, 4400})
    ->Unit(benchmark::kMicrosecond);

// The comparison of soft state and replicated state that runs every 50 ms.
void collectFleet(benchmark::State &run)
{
    const auto entries = static_cast<std::size_t>(run.range(1));
    const control_state state = makeFleet(static_cast<std::size_t>(run.range(0)), entries);
    lease_table table;
    const lease_moment moment{instant{}, start};
    table.startLeading(state, moment.now);
    for (std::size_t each = 0; each < entries; ++each) {
        entry_sync_request request;
        request.entry = makeEntry(each);
        request.appliedAssignment = state.fleet().sequence();
        static_cast<void>(table.sync(request, state, moment));
    }
    for (auto each : run)
        benchmark::DoNotOptimize(table.collect(state, moment));
}
BENCHMARK(collectFleet)->Args({44, 7})->Args({440, 70})->Unit(benchmark::kMicrosecond);

} // namespace
