#include "tests/steering/dispatcher_fixture.h"

#include <algorithm>

namespace kingcuptiller::test {

dispatcher_settings dispatcher_fixture::defaultSettings()
{
    dispatcher_settings settings;
    settings.region = home;
    settings.zone = zone_name("1");
    return settings;
}

dispatcher_fixture::dispatcher_fixture(dispatcher_settings settings)
    : dispatcher(std::move(settings))
{
    configuration classes;
    // Name, rank, idempotent, and the target: latency, success per mille and worth.
    classes.classes = {{lookups, rank_number(2), true, {milliseconds(150), 990, 3}},
                       {postings, rank_number(1), false, {milliseconds(400), 999, 10}},
                       {revisions, rank_number(3), false, {milliseconds(2000), 950, 1}}};
    dispatcher.applyConfiguration(classes, now);
}

upstream_assignment &dispatcher_fixture::addUpstream(const class_name &workClass,
                                                     const region_name &region, std::uint32_t limit)
{
    upstream_assignment added;
    added.id = upstream_id(workClass.text() + std::to_string(upstreams.size()));
    added.incarnation = incarnation_id("1");
    added.region = region;
    added.zone = zone_name("1");
    added.workClass = workClass;
    added.limit = limit;
    added.connectionLimit = 57;
    added.age = std::chrono::hours(1);
    return upstreams.emplace_back(added);
}

void dispatcher_fixture::assign()
{
    dispatcher.applyAssignments(upstreams, now);
}

void dispatcher_fixture::recordDecision(ticket_id ticket, const class_name &workClass,
                                        const decision &made)
{
    if (const auto *forward = std::get_if<forward_decision>(&made)) {
        openAttempts.push_back({ticket, forward->attempt, workClass, forward->upstream->id,
                                forward->upstream->region});
    }
}

decision dispatcher_fixture::submit(const class_name &workClass, milliseconds deadline)
{
    lastTicket = lastTicket.next();
    classByTicket[lastTicket.number()] = workClass;
    decision made = dispatcher.submit(
        {lastTicket, workClass, home, 500, now + deadline, workClass == lookups}, now);
    recordDecision(lastTicket, workClass, made);
    return made;
}

void dispatcher_fixture::finish(std::size_t position, attempt_outcome outcome, milliseconds latency)
{
    const recorded_attempt ended = openAttempts.at(position);
    openAttempts.erase(openAttempts.begin() + static_cast<std::ptrdiff_t>(position));
    dispatcher.attemptFinished({ended.ticket, ended.number, outcome, latency, 2000}, now);
}

std::vector<ready_ticket> dispatcher_fixture::takeReady()
{
    auto ready = dispatcher.takeReady(now);
    for (const ready_ticket &each : ready)
        recordDecision(each.ticket, classByTicket.at(each.ticket.number()), each.outcome);
    return ready;
}

std::size_t dispatcher_fixture::inFlight(const upstream_id &upstream) const
{
    return static_cast<std::size_t>(std::count_if(
        openAttempts.begin(), openAttempts.end(),
        [&upstream](const recorded_attempt &each) { return each.upstream == upstream; }));
}

bool isForward(const decision &made)
{
    return std::holds_alternative<forward_decision>(made);
}

bool isQueued(const decision &made)
{
    return std::holds_alternative<queued_decision>(made);
}

result_code refusal(const decision &made)
{
    const auto *refused = std::get_if<refused_decision>(&made);
    return refused == nullptr ? result_code::ok : refused->code;
}

} // namespace kingcuptiller::test
