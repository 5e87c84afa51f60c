#include "fault_script.h"

#include <fmt/format.h>

#include <algorithm>

namespace kingcuptiller::testing {

namespace {

constexpr std::size_t mostAtOnce = 2;
constexpr unsigned usualRate = 80;

std::vector<std::string> names(std::size_t count, const std::function<std::string(std::size_t)> &of)
{
    std::vector<std::string> result;
    for (std::size_t each = 0; each < count; ++each)
        result.push_back(of(each));
    return result;
}

const std::vector<std::string> &controlNames()
{
    static const auto result = names(control_hosts::count, control_hosts::nameOf);
    return result;
}

const std::vector<std::string> &entryNames()
{
    static const auto result = names(fleet::entryCount, fleet::entryName);
    return result;
}

const std::vector<std::string> &upstreamNames()
{
    static const auto result = names(fleet::upstreamCount, fleet::upstreamName);
    return result;
}

} // namespace

void fault_script::run(milliseconds time)
{
    const instant end = m_fleet.network.now() + time;
    while (m_fleet.network.now() < end) {
        endDue(false);
        if (m_active.size() < mostAtOnce)
            startOne();
        m_fleet.run(between(100, 700));
    }
    endDue(true);
}

void fault_script::endDue(bool all)
{
    const instant now = m_fleet.network.now();
    auto active = std::exchange(m_active, {});
    for (active_fault &each : active) {
        if (all || each.end <= now)
            each.heal();
        else
            m_active.push_back(std::move(each));
    }
}

void fault_script::startOne()
{
    constexpr std::uint64_t kinds = 20;
    const std::uint64_t kind = m_fleet.network.draw(kinds);
    if (kind < 5)
        controlFault(kind);
    else if (kind < 8)
        entryFault(kind - 5);
    else if (kind < 14)
        upstreamFault(kind - 8);
    else
        linkFault(kind - 14);
}

void fault_script::apply(const std::string &kind, const std::string &subject, milliseconds time,
                         const std::function<void()> &start, const std::function<void()> &heal)
{
    const bool taken = std::any_of(m_active.begin(), m_active.end(),
                                   [&](const auto &each) { return each.subject == subject; });
    if (taken)
        return;
    const auto at = std::chrono::duration_cast<milliseconds>(m_fleet.network.now() - instant{});
    m_text += fmt::format("{} ms: {} {} for {} ms\n", at.count(), kind, subject, time.count());
    start();
    m_active.push_back({m_fleet.network.now() + time, subject, heal});
}

void fault_script::controlFault(std::uint64_t kind)
{
    const std::size_t number = m_fleet.network.draw(control_hosts::count);
    const std::string name = control_hosts::nameOf(number);
    control_hosts &hosts = m_fleet.control;
    const auto restart = [&hosts, number] { hosts.start(number); };
    const bool idle = std::none_of(m_active.begin(), m_active.end(),
                                   [](const auto &each) { return each.subject.starts_with('c'); });
    switch (kind) {
    case 0:
        return apply(
            "kill", name, between(200, 4000), [&] { hosts.kill(number); }, restart);
    case 1:
        return apply(
            "freeze", name, between(300, 4000), [&] { m_fleet.network.freeze(name); },
            [this, name] { m_fleet.network.thaw(name); });
    case 2:
        // Only while all vote, so that a majority never comes back with empty disks: a host that
        // lost its disk votes again when it has caught up.
        if (!idle || !hosts.allVote())
            return;
        return apply(
            "lose disk of", name, between(300, 3000),
            [&] {
                hosts.kill(number);
                hosts.wipe(number);
            },
            restart);
    case 3:
        return disturb("isolate", {name}, controlNames(), {.cut = true}, between(2000, 8000));
    default: {
        auto others = controlNames();
        for (const auto *more : {&entryNames()})
            others.insert(others.end(), more->begin(), more->end());
        others.emplace_back("operator");
        return disturb("isolate from all", {name}, others, {.cut = true}, between(2000, 8000));
    }
    }
}

void fault_script::entryFault(std::uint64_t kind)
{
    const std::size_t number = m_fleet.network.draw(fleet::entryCount);
    const std::string name = fleet::entryName(number);
    if (kind == 0)
        return apply(
            "kill", name, between(50, 3000), [&] { m_fleet.killEntry(number); },
            [this, number] { m_fleet.startEntry(number); });
    if (kind == 1)
        return apply(
            "freeze", name, between(300, 6000), [&] { m_fleet.network.freeze(name); },
            [this, name] { m_fleet.network.thaw(name); });
    disturb("cut off from control", {name}, controlNames(), {.cut = true}, between(1000, 6000));
}

void fault_script::upstreamFault(std::uint64_t kind)
{
    const std::size_t number = m_fleet.network.draw(fleet::upstreamCount);
    const std::string name = fleet::upstreamName(number);
    const auto restart = [this, number] { m_fleet.startUpstream(number); };
    upstream_process &process = m_fleet.upstream(number);
    const auto again = [this, number](auto &&change) {
        return [this, number, change] { change(m_fleet.upstream(number)); };
    };
    switch (kind) {
    case 0:
        return apply(
            "kill", name, between(100, 5000), [&] { m_fleet.killUpstream(number); }, restart);
    case 1:
        return apply(
            "freeze", name, between(300, 5000), [&] { m_fleet.network.freeze(name); },
            [this, name] { m_fleet.network.thaw(name); });
    case 2:
        return apply(
            "shed at", name, between(500, 4000), [&] { process.sheds = true; },
            again([](upstream_process &each) { each.sheds = false; }));
    case 3:
        return apply(
            "leave", name, between(5000, 7000), [&] { m_fleet.leaveUpstream(number); }, restart);
    case 4:
        return apply(
            "withdraw", name, between(5000, 7000), [&] { m_fleet.withdrawUpstream(number); },
            restart);
    default: {
        const bool crosses = m_fleet.network.happens(500);
        return apply(
            crosses ? "crossed answers of" : "late answers of", name, between(1000, 5000),
            [&] {
                process.crosses = crosses;
                process.late = milliseconds(crosses ? 0 : 3000);
            },
            again([](upstream_process &each) {
                each.crosses = false;
                each.late = milliseconds(0);
            }));
    }
    }
}

void fault_script::linkFault(std::uint64_t kind)
{
    const simulated_network::link_fault storm{
        .cut = false, .dropPerMille = 150, .duplicatePerMille = 200, .delay = milliseconds(400)};
    const auto pick = [this](const std::vector<std::string> &from) {
        return std::vector<std::string>{from[m_fleet.network.draw(from.size())]};
    };
    const bool oneWay = m_fleet.network.happens(500);
    switch (kind) {
    case 0:
        return disturb("storm", controlNames(), controlNames(), storm, between(1000, 5000));
    case 1:
        return disturb("storm", entryNames(), controlNames(), storm, between(1000, 5000));
    case 2:
        return disturb("storm", entryNames(), upstreamNames(), storm, between(1000, 4000));
    case 3:
        return disturb("lost answers", {"client", "operator"},
                       oneWay ? entryNames() : controlNames(), storm, between(1000, 5000));
    case 4:
        return disturb("cut", pick(entryNames()), pick(upstreamNames()), {.cut = true},
                       between(1000, 5000));
    default:
        return apply(
            "flood", "rate", between(1000, 4000),
            [this] { m_fleet.requestsPerSecond = 4 * usualRate; },
            [this] { m_fleet.requestsPerSecond = usualRate; });
    }
}

// In one of the two directions or in both.
void fault_script::disturb(const std::string &kind, const std::vector<std::string> &from,
                           const std::vector<std::string> &to,
                           const simulated_network::link_fault &fault, milliseconds time)
{
    const std::uint64_t directions = m_fleet.network.draw(3);
    std::vector<std::pair<std::string, std::string>> links;
    for (const std::string &a : from) {
        for (const std::string &b : to) {
            if (a != b && directions != 1)
                links.emplace_back(a, b);
            if (a != b && directions != 0)
                links.emplace_back(b, a);
        }
    }
    const std::string subject = fmt::format("{}-{} ({})", from.front(), to.front(), directions);
    apply(
        kind, subject, time,
        [&] {
            for (const auto &each : links)
                m_fleet.network.faults[each] = fault;
        },
        [this, links] {
            for (const auto &each : links)
                m_fleet.network.faults.erase(each);
        });
}

} // namespace kingcuptiller::testing
