#include "kingcuptiller/fleet/fleet_state.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace kingcuptiller {

namespace {

// Terminated upstreams that are kept: this many, or as many for each other upstream if that is
// more, because a release replaces a whole fleet.
constexpr std::size_t minimumKeptTerminated = 500;
constexpr std::size_t keptTerminatedPerUpstream = 2;

std::string documentDigest(const std::string &document)
{
    const XXH128_hash_t hash = XXH3_128bits(document.data(), document.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

} // namespace

bool upstream_incarnation::isOlderThan(const upstream_incarnation &other) const
{
    return std::tuple(startTimeMs, sequence) < std::tuple(other.startTimeMs, other.sequence);
}

result_code fleet_state::apply(const fleet_command &command)
{
    ++m_appliedCommands;
    return std::visit([this](const auto &each) { return applyCommand(each); }, command);
}

bool fleet_state::wasAccepted(const configure_command &command) const
{
    const auto found = m_acceptedDigests.find(command.version);
    return found != m_acceptedDigests.end() && found->second == documentDigest(command.document);
}

result_code fleet_state::applyCommand(const configure_command &command)
{
    if (wasAccepted(command))
        return result_code::ok;
    if (command.base != m_version || command.version <= m_version)
        return result_code::revision_conflict;
    m_version = command.version;
    m_document = command.document;
    m_acceptedDigests[command.version] = documentDigest(command.document);
    return result_code::ok;
}

std::uint64_t fleet_state::evacuationOrders(const zone_name &zone) const
{
    const auto found = m_evacuationOrders.find(zone);
    return found == m_evacuationOrders.end() ? 0 : found->second;
}

result_code fleet_state::applyCommand(const evacuate_command &command)
{
    if (command.precedingOrders && *command.precedingOrders != evacuationOrders(command.zone))
        return result_code::revision_conflict;
    ++m_evacuationOrders[command.zone];
    if (command.evacuate)
        m_evacuated.insert(command.zone);
    else
        m_evacuated.erase(command.zone);
    return result_code::ok;
}

result_code fleet_state::applyCommand(const registration_command &command)
{
    for (const upstream_incarnation &incarnation : command.upstreams)
        storeUpstream(incarnation);
    for (const fleet_entry &entry : command.addedEntries)
        m_entries[entry.address] = entry;
    for (const endpoint_address &address : command.removedEntries)
        m_entries.erase(address);
    return result_code::ok;
}

void fleet_state::storeUpstream(const upstream_incarnation &incarnation)
{
    upstream_incarnation stored = incarnation;
    const auto known = m_upstreams.find(incarnation.id);
    if (known != m_upstreams.end()) {
        const upstream_incarnation &previous = known->second;
        // Ignores a heartbeat of an earlier incarnation, and one that would return a draining or
        // terminated incarnation to an earlier state. Such heartbeats arrive late.
        if (incarnation.startTimeMs < previous.startTimeMs
            || (incarnation.startTimeMs == previous.startTimeMs
                && incarnation.state < previous.state))
            return;
        // A heartbeat that arrives after a later one may only advance the state.
        if (incarnation.isOlderThan(previous)) {
            stored = previous;
            stored.state = incarnation.state;
        }
    }
    m_upstreams[incarnation.id] = stored;
    if (stored.state != upstream_state::terminated) {
        m_terminatedAt.erase(stored.id);
        return;
    }
    m_terminatedAt.emplace(stored.id, m_appliedCommands);
    dropTerminatedUpstreams();
}

void fleet_state::dropTerminatedUpstreams()
{
    const std::size_t others = m_upstreams.size() - m_terminatedAt.size();
    const std::size_t kept = std::max(minimumKeptTerminated, others * keptTerminatedPerUpstream);
    while (m_terminatedAt.size() > kept) {
        const auto earliest = std::min_element(
            m_terminatedAt.begin(), m_terminatedAt.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
        m_upstreams.erase(earliest->first);
        m_terminatedAt.erase(earliest);
    }
}

} // namespace kingcuptiller
