#include "fleet.h"

#include <fmt/format.h>

#include <algorithm>

namespace kingcuptiller::testing {

namespace {

// As in the daemons: the loops and timers run at least every 10 ms.
constexpr milliseconds stepTime{10};

region_name regionOf(std::size_t number, std::size_t count)
{
    return region_name(number < count / 2 ? "east" : "west");
}

} // namespace

fleet::fleet(std::uint64_t seed)
    : network(seed)
    , facts(seed)
    , control(network)
{
    for (std::size_t each = 0; each < entryCount; ++each)
        startEntry(each);
    for (std::size_t each = 0; each < upstreamCount; ++each)
        startUpstream(each);
}

fleet::~fleet()
{
    // A coordinator keeps the replies to its open requests; each of them holds the entry's process,
    // which holds the coordinator.
    for (const auto &each : m_entries)
        each->coordinator.reset();
    for (const auto &each : m_formerEntries)
        each->coordinator.reset();
}

std::string fleet::entryName(std::size_t number)
{
    return "e" + std::to_string(number);
}

std::string fleet::upstreamName(std::size_t number)
{
    return "u" + std::to_string(number);
}

wall_time fleet::wallNow() const
{
    return fromUnixMilliseconds(1'800'000'000'000) + network.now().time_since_epoch();
}

void fleet::run(milliseconds time)
{
    for (const instant end = network.now() + time; network.now() < end;)
        step();
}

void fleet::step()
{
    facts.nextStep();
    network.advance(network.happens(500) ? stepTime : stepTime / 2);
    control.step();
    noteLeaving();
    for (const auto &each : m_entries) {
        if (!each->alive || network.isFrozen(each->name))
            continue;
        followInterval(*each);
        each->coordinator->tick();
        if (!each->syncing && each->nextSync <= network.now())
            sync(*each);
    }
    for (std::size_t each = 0; each < upstreamCount; ++each) {
        upstream_process &process = *m_upstreams.at(each);
        if (process.alive && !process.withdrawn && !network.isFrozen(upstreamName(each))
            && process.nextAnnouncement <= network.now())
            announce(process);
    }
    if (network.draw(1'000'000) < requestsPerSecond * 7'500ULL)
        newRequest();
    for (std::size_t each = 0; each < operatorCount; ++each)
        stepOperator(each);
    checkRevisions();
    std::erase_if(m_exchanges, [this](const auto &each) {
        return each->ended || (!each->entry->alive && each->deadline < network.now());
    });
}

void fleet::killEntry(std::size_t number)
{
    m_entries.at(number)->alive = false;
    m_formerEntries.push_back(m_entries.at(number));
}

void fleet::startEntry(std::size_t number)
{
    auto entry = std::make_shared<entry_process>();
    entry->name = entryName(number);
    entry->clock = milliseconds(network.draw(1'000'000));
    entry->control = network.draw(control_hosts::count);
    entry->identity = {host_id(entry->name), incarnation_id(fmt::format("n{}", ++m_drawn)),
                       endpoint_address(fmt::format("10.0.0.{}:80", number + 1)),
                       regionOf(number, entryCount), zone_name(number % 2 == 0 ? "a" : "b")};
    dispatcher_settings dispatching;
    dispatching.region = entry->identity.region;
    dispatching.zone = entry->identity.zone;
    dispatching.seed = network.draw(1'000'000);
    coordinator_settings settings;
    settings.identity = entry->identity;
    entry->coordinator = std::make_shared<work_coordinator>(
        settings, entry_dispatcher(std::move(dispatching)), makeHooks(*entry));
    m_entries.at(number) = entry;
}

void fleet::killUpstream(std::size_t number)
{
    m_upstreams.at(number)->alive = false;
}

void fleet::startUpstream(std::size_t number)
{
    auto upstream = std::make_shared<upstream_process>();
    const std::uint64_t incarnation = ++m_drawn;
    upstream->facts.id = upstream_id(upstreamName(number));
    upstream->facts.incarnation = incarnation_id(fmt::format("p{}", incarnation));
    upstream->facts.address = endpoint_address(
        fmt::format("10.1.{}.{}:{}", number, incarnation / 200 + 1, 1000 + incarnation % 200));
    upstream->facts.region = regionOf(number, upstreamCount);
    upstream->facts.zone = zone_name(number % 2 == 0 ? "a" : "b");
    upstream->facts.workClass = class_name(number % 2 == 0 ? "posting" : "lookup");
    upstream->facts.slots = 4;
    upstream->facts.connections = 400;
    if (m_upstreams.at(number)) {
        m_upstreams.at(number)->alive = false;
        m_formerUpstreams.push_back(m_upstreams.at(number));
    }
    m_upstreams.at(number) = upstream;
}

void fleet::leaveUpstream(std::size_t number)
{
    upstream(number).facts.leaving = true;
    upstream(number).nextAnnouncement = network.now();
}

void fleet::withdrawUpstream(std::size_t number)
{
    upstream(number).withdrawn = true;
    for (std::size_t each = 0; each < entryCount; ++each) {
        const auto entry = m_entries.at(each);
        network.send(
            upstreamName(number), entry->name,
            [entry, id = upstream(number).facts.id] { entry->announcements.withdraw(id); }, true);
    }
}

upstream_process *fleet::findUpstream(const std::string &address) const
{
    for (const auto &each : m_upstreams) {
        if (each->facts.address.text() == address)
            return each.get();
    }
    for (const auto &each : m_formerUpstreams) {
        if (each->facts.address.text() == address)
            return each.get();
    }
    return nullptr;
}

} // namespace kingcuptiller::testing
