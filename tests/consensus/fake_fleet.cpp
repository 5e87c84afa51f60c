#include "tests/consensus/fake_fleet.h"

#include "kingcuptiller/values/error.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace kingcuptiller::testing {

namespace {

constexpr milliseconds stepDuration(10);
constexpr milliseconds recoveryTimeout(30000);

[[noreturn]] void failInvariant(const std::string &invariant)
{
    throw std::runtime_error("violated invariant: " + invariant);
}

} // namespace

fake_fleet::fake_fleet(std::size_t hosts, std::uint64_t seed, replica_settings settings)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_hosts(hosts)
{
    for (std::size_t position = 0; position < hosts; ++position) {
        fake_host &host = m_hosts[position];
        host.id = host_id("control-" + std::to_string(position));
        host.clockOffsetMicroseconds = static_cast<std::int64_t>(m_random() % 1'000'000'000);
        host.clockRate = 0.96 + 0.08 * static_cast<double>(m_random() % 1000) / 1000;
        m_settings.hosts.push_back(host.id);
    }
    for (std::size_t position = 0; position < hosts; ++position)
        start(position, true);
}

instant fake_fleet::clock(const fake_host &host) const
{
    const double passed = static_cast<double>(microseconds(m_elapsed).count()) * host.clockRate;
    return instant(microseconds(host.clockOffsetMicroseconds + static_cast<std::int64_t>(passed)));
}

void fake_fleet::start(std::size_t position, bool founding)
{
    fake_host &host = m_hosts[position];
    host.node.reset();
    store_options options{host.id, founding,
                          [this] { return "i" + std::to_string(++m_incarnations); }};
    host.store = std::make_unique<replica_store>(host.files.hooks(), options);
    if (host.lostIncarnations.contains(host.store->identity().incarnation))
        failInvariant("a host that lost its disk must restart under a new identity");
    host.state.clear();
    replica_hooks hooks;
    hooks.takeSnapshot = [&host] {
        std::string text;
        for (const std::string &line : host.state)
            text += line + '\n';
        return text;
    };
    hooks.restoreSnapshot = [this, &host](const std::string &text) { restore(host, text); };
    hooks.random = [this] { return m_random(); };
    host.node = std::make_unique<replica>(m_settings, hooks, *host.store, clock(host));
}

void fake_fleet::crashHost(std::size_t position)
{
    fake_host &host = m_hosts[position];
    host.node.reset();
    host.store.reset();
    host.frozenUntil = milliseconds(0);
    host.files.crash(m_random);
}

void fake_fleet::clearDisk(std::size_t position)
{
    fake_host &host = m_hosts[position];
    if (host.store)
        host.lostIncarnations.insert(host.store->identity().incarnation);
    crashHost(position);
    host.files.clear();
}

void fake_fleet::flipBit(std::size_t position)
{
    fake_host &host = m_hosts[position];
    host.lostIncarnations.insert(host.store->identity().incarnation);
    crashHost(position);
    const std::vector<std::string> names = {"log", "identity"};
    host.files.flipBit(names[m_random() % names.size()], m_random());
}

void fake_fleet::replaceDisk(std::size_t position, const fake_disk &files)
{
    crashHost(position);
    m_hosts[position].files = files;
    m_hosts[position].lostIncarnations.clear();
    start(position);
}

void fake_fleet::failDisk(std::size_t position)
{
    // The next write or the sync that follows it fails.
    if (isRunning(position))
        m_hosts[position].files.failAfter = m_random() % 2;
}

void fake_fleet::freeze(std::size_t position, milliseconds duration)
{
    m_hosts[position].frozenUntil = m_elapsed + duration;
}

void fake_fleet::isolate(std::size_t host)
{
    for (std::size_t other = 0; other < m_hosts.size(); ++other) {
        blockLink(host, other);
        blockLink(other, host);
    }
}

void fake_fleet::run(milliseconds duration)
{
    const milliseconds end = m_elapsed + duration;
    while (m_elapsed < end)
        step();
}

void fake_fleet::waitForRecovery()
{
    unblockAllLinks();
    setNetworkNoise(false);
    for (fake_host &host : m_hosts)
        host.frozenUntil = milliseconds(0);
    const milliseconds end = m_elapsed + recoveryTimeout;
    while (!isRecovered()) {
        if (m_elapsed > end)
            failInvariant("the fleet must recover within 30 s after all faults have ended");
        // Restarts stopped hosts in every step, because a host with a failing disk stops only at
        // its next write.
        for (std::size_t position = 0; position < m_hosts.size(); ++position) {
            if (!m_hosts[position].node)
                start(position);
        }
        step();
    }
    setNetworkNoise(true);
}

bool fake_fleet::isRecovered()
{
    const std::optional<std::size_t> first = leader();
    if (!first || !hasLease(*first))
        return false;
    return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const fake_host &host) {
        if (!host.node)
            return false;
        const replica_status ownStatus = host.node->status();
        return ownStatus.voter && ownStatus.members.voters.size() == m_hosts.size()
            && ownStatus.members == status(*first).members
            && ownStatus.committed == ownStatus.lastIndex
            && ownStatus.lastIndex == status(*first).lastIndex
            && host.state.size() == m_positionByIndex.size();
    });
}

void fake_fleet::propose(std::size_t count, std::size_t bytes)
{
    for (fake_host &host : m_hosts) {
        if (!host.node || frozen(host) || !host.node->hasLease(clock(host)))
            continue;
        for (std::size_t number = 0; number < count; ++number)
            static_cast<void>(host.node->propose(
                std::to_string(++m_proposals) + std::string(bytes, '.'), clock(host)));
    }
}

void fake_fleet::step()
{
    m_elapsed += stepDuration;
    std::vector<std::vector<peer_message>> arrived(m_hosts.size());
    for (auto next = m_network.begin(); next != m_network.end() && next->first <= m_elapsed;) {
        arrived[next->second.first].push_back(next->second.second);
        next = m_network.erase(next);
    }
    for (std::size_t position = 0; position < m_hosts.size(); ++position) {
        fake_host &host = m_hosts[position];
        if (frozen(host)) {
            // The messages remain in the socket buffers of the paused process.
            for (peer_message &message : arrived[position])
                m_network.emplace(host.frozenUntil, std::pair(position, std::move(message)));
        } else if (host.node) {
            deliver(position, arrived[position]);
        }
    }
    checkLeaders();
}

void fake_fleet::deliver(std::size_t position, std::vector<peer_message> &messages)
{
    fake_host &host = m_hosts[position];
    try {
        for (const peer_message &message : messages)
            host.node->receive(message, clock(host));
        host.node->tick(clock(host));
        for (const peer_message &message : host.node->takeOutgoing())
            send(position, message);
        for (const committed_entry &entry : host.node->takeCommitted())
            recordCommitted(host, entry);
        for (const replica_event &event : host.node->takeEvents())
            ++m_events[event.kind];
    } catch (const error &failure) {
        if (failure.code() != result_code::disk_failed)
            throw;
        crashHost(position);
    }
}

void fake_fleet::send(std::size_t from, const peer_message &message)
{
    checkVote(message);
    const std::optional<std::size_t> to = positionOf(message.to.host);
    if (!to || m_blockedLinks.contains({from, *to}) || (m_networkNoise && m_random() % 20 == 0))
        return;
    const std::size_t messageCopies = m_networkNoise && m_random() % 20 == 0 ? 2 : 1;
    for (std::size_t copy = 0; copy < messageCopies; ++copy) {
        const std::uint64_t delay = m_networkNoise && m_random() % 10 == 0 ? m_random() % 400 : 15;
        m_network.emplace(m_elapsed + milliseconds(delay), std::pair(*to, message));
    }
}

void fake_fleet::checkVote(const peer_message &message)
{
    const auto *const response = std::get_if<vote_response>(&message.body);
    if (response == nullptr || !response->granted || response->preVote)
        return;
    const auto [vote, inserted] = m_votes.try_emplace({message.from, message.term}, message.to);
    if (!inserted && vote->second != message.to)
        failInvariant("a replica must grant at most one vote per term");
}

void fake_fleet::checkLeaders()
{
    std::size_t leaseHolders = 0;
    for (const fake_host &host : m_hosts) {
        if (!host.node)
            continue;
        // A paused host counts too, because it may check its lease when it resumes.
        leaseHolders += host.node->hasLease(clock(host)) ? 1 : 0;
        const replica_status ownStatus = host.node->status();
        if (ownStatus.role != replica_role::leader)
            continue;
        const auto [recorded, inserted] = m_leaders.try_emplace(ownStatus.term, ownStatus.self);
        if (!inserted && recorded->second != ownStatus.self)
            failInvariant("a term must have at most one leader");
    }
    if (leaseHolders > 1)
        failInvariant("at most one replica may hold a lease");
}

void fake_fleet::recordCommitted(fake_host &host, const committed_entry &entry)
{
    const std::string line = std::to_string(entry.index.number()) + ":" + entry.command;
    const auto [recorded, inserted] = m_positionByIndex.try_emplace(entry.index, m_commands.size());
    if (inserted)
        m_commands.push_back(line);
    if (m_commands[recorded->second] != line)
        failInvariant("a committed entry must not be replaced");
    if (host.state.size() != recorded->second)
        failInvariant("committed entries must be delivered in log order without gaps");
    host.state.push_back(line);
}

void fake_fleet::restore(fake_host &host, const std::string &text)
{
    host.state.clear();
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line); host.state.push_back(line)) {
        if (host.state.size() >= m_commands.size() || m_commands[host.state.size()] != line)
            failInvariant("a snapshot must hold only committed entries, in log order");
    }
}

std::optional<std::size_t> fake_fleet::positionOf(const host_id &id) const
{
    for (std::size_t position = 0; position < m_hosts.size(); ++position) {
        if (m_hosts[position].id == id)
            return position;
    }
    return std::nullopt;
}

std::optional<std::size_t> fake_fleet::leader() const
{
    std::optional<std::size_t> result;
    for (std::size_t position = 0; position < m_hosts.size(); ++position) {
        if (hasLease(position))
            result = position;
    }
    return result;
}

bool fake_fleet::hasLease(std::size_t host) const
{
    return m_hosts[host].node && m_hosts[host].node->hasLease(clock(m_hosts[host]));
}

bool fake_fleet::isCurrent(std::size_t host) const
{
    const fake_host &each = m_hosts[host];
    return each.node != nullptr && each.node->isCurrent(clock(each));
}

replica_status fake_fleet::status(std::size_t host) const
{
    return m_hosts[host].node->status();
}

std::size_t fake_fleet::eventCount(const std::string &kind) const
{
    const auto found = m_events.find(kind);
    return found == m_events.end() ? 0 : found->second;
}

} // namespace kingcuptiller::testing
