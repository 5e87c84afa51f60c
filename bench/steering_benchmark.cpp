#include "kingcuptiller/steering/entry_dispatcher.h"
#include "kingcuptiller/steering/entry_list.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <deque>
#include <string>

// What one decision of an entry costs, by the number of upstreams; what a look-up answer costs, by
// the number of entries; and the memory for each upstream and client region.

using namespace kingcuptiller;

namespace {

constexpr std::size_t regions = 3;
const std::vector<std::string> classNames = {"lookups", "postings", "revisions"};

region_name regionNumber(std::size_t number)
{
    return region_name("region-" + std::to_string(number));
}

configuration classes()
{
    configuration result;
    for (std::size_t index = 0; index < classNames.size(); ++index) {
        work_class added;
        added.name = class_name(classNames[index]);
        added.rank = rank_number(index + 1);
        added.idempotent = index == 0;
        result.classes.push_back(added);
    }
    return result;
}

std::vector<upstream_assignment> upstreams(std::size_t count)
{
    std::vector<upstream_assignment> result(count);
    for (std::size_t index = 0; index < count; ++index) {
        upstream_assignment &each = result[index];
        each.id = upstream_id("upstream-" + std::to_string(index));
        each.incarnation = incarnation_id("0123456789abcdef");
        each.address = endpoint_address("10.0.0.1:8000");
        each.region = regionNumber(index % regions);
        each.zone = zone_name("1");
        each.workClass = class_name(classNames[index / regions % classNames.size()]);
        each.limit = 3;
        each.connectionLimit = 57;
        each.age = std::chrono::hours(1);
    }
    return result;
}

entry_dispatcher dispatcherWith(std::size_t count)
{
    dispatcher_settings settings;
    settings.region = regionNumber(0);
    entry_dispatcher dispatcher(settings);
    dispatcher.applyConfiguration(classes(), instant());
    dispatcher.applyAssignments(upstreams(count), instant());
    return dispatcher;
}

// One request from its arrival to the end of its answer, at a steady number in flight.
void decide(benchmark::State &state)
{
    entry_dispatcher dispatcher = dispatcherWith(static_cast<std::size_t>(state.range(0)));
    std::deque<attempt_report> open;
    const class_name lookups(classNames[0]);
    instant now(std::chrono::seconds(100));
    std::uint64_t ticket = 0;
    std::uint64_t sent = 0;
    for ([[maybe_unused]] auto _ : state) {
        now += microseconds(500);
        const request_attributes facts{ticket_id(++ticket),           lookups, regionNumber(0), 800,
                                       now + std::chrono::seconds(2), true};
        const decision made = dispatcher.submit(facts, now);
        if (const auto *forward = std::get_if<forward_decision>(&made)) {
            ++sent;
            open.push_back({facts.ticket, forward->attempt, attempt_outcome::answered,
                            microseconds(4000), 6000});
        }
        if (open.size() >= 8) {
            dispatcher.attemptFinished(open.front(), now);
            open.pop_front();
        }
        benchmark::DoNotOptimize(dispatcher.takeReady(now));
    }
    state.SetItemsProcessed(state.iterations());
    state.counters["sent"] = double(sent) / double(state.iterations());
}
BENCHMARK(decide)->Arg(44)->Arg(500)->Arg(2300);

void answerEntryList(benchmark::State &state)
{
    std::vector<entry_listing> entries(static_cast<std::size_t>(state.range(0)));
    for (std::size_t index = 0; index < entries.size(); ++index) {
        entries[index].entry.host = host_id("entry-" + std::to_string(index));
        entries[index].entry.region = regionNumber(index % 22);
        entries[index].entry.zone = zone_name(std::to_string(index % 4));
        entries[index].serving = true;
    }
    const entry_list list(entries);
    const client_location place{regionNumber(1), zone_name("1")};
    const std::string client = "10.20.30.0/24";
    for ([[maybe_unused]] auto _ : state)
        benchmark::DoNotOptimize(list.answer(place, client));
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(answerEntryList)->Arg(7)->Arg(100)->Arg(4400);

// Heap use of a dispatcher by number of upstreams, without the list that the caller passed.
void memoryOfUpstreams(benchmark::State &state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    double bytes = 0;
    for ([[maybe_unused]] auto _ : state) {
        const std::size_t before = mallinfo2().uordblks;
        const entry_dispatcher dispatcher = dispatcherWith(count);
        bytes = double(mallinfo2().uordblks - before);
    }
    state.counters["bytesEach"] = bytes / double(count);
}
BENCHMARK(memoryOfUpstreams)->Arg(500)->Arg(2300)->Iterations(20);

// Heap use of the shift cap's counters for each client region.
void memoryOfClientRegions(benchmark::State &state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    std::vector<region_flow> flows;
    for (std::size_t origin = 0; origin < count; ++origin) {
        for (const std::string &each : classNames)
            flows.push_back({class_name(each), regionNumber(origin), regionNumber(origin), 100});
    }
    double bytes = 0;
    for ([[maybe_unused]] auto _ : state) {
        entry_dispatcher dispatcher = dispatcherWith(44);
        const std::size_t before = mallinfo2().uordblks;
        dispatcher.applyFlows(flows);
        bytes = double(mallinfo2().uordblks - before);
    }
    state.counters["bytesEach"] = bytes / double(count);
}
BENCHMARK(memoryOfClientRegions)->Arg(22)->Arg(100)->Iterations(20);

} // namespace
