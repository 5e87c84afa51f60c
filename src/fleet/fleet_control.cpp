#include "kingcuptiller/fleet/fleet_control.h"

#include "kingcuptiller/telemetry/log.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace kingcuptiller {

namespace {

// Further upstreams whose addresses are contested are not registered.
constexpr std::size_t maximumContestedUpstreams = 10'000;

heartbeat_number numberOf(const upstream_incarnation &incarnation)
{
    return {incarnation.id, incarnation.startTimeMs, incarnation.sequence};
}

const char *entryEvent(entry_state state)
{
    switch (state) {
    case entry_state::joining:
        return "entry_joining";
    case entry_state::serving:
        return "entry_joined";
    case entry_state::absent:
        break;
    }
    return "entry_left";
}

} // namespace

fleet_control::fleet_control(const fleet_control_options &options,
                             fleet_control_callbacks callbacks)
    : m_options(options)
    , m_callbacks(std::move(callbacks))
{
}

void fleet_control::startLeading(instant now)
{
    m_leading = true;
    // Upstreams and entries sent their earlier heartbeats to the previous leader. None is
    // considered silent before it has had a full timeout to send one to this leader.
    for (const auto &[id, incarnation] : m_state.upstreams())
        m_upstreamHeartbeats[id] = {now, incarnation.startTimeMs, incarnation.sequence};
    for (const auto &[address, entry] : m_state.entries())
        m_entryLastHeartbeat[address] = now;
}

void fleet_control::stopLeading()
{
    m_leading = false;
    m_upstreamHeartbeats.clear();
    m_contestedUpstreams.clear();
    m_entryLastHeartbeat.clear();
    for (auto &[index, pending] : std::exchange(m_pendingCommands, {}))
        pending.done(result_code::change_outcome_unknown);
}

bool fleet_control::propose(const fleet_command &command, instant now,
                            const command_result_callback &done)
{
    const auto position = m_callbacks.propose(encodeFleetCommand(command));
    if (!position) {
        done(result_code::not_leader);
        return false;
    }
    m_pendingCommands[position->index] = {position->term, now, done};
    return true;
}

void fleet_control::submitCommand(const fleet_command &command, instant now,
                                  const command_result_callback &done)
{
    if (!m_leading || !m_callbacks.hasLease()) {
        done(result_code::not_leader);
        return;
    }
    if (const auto *configure = std::get_if<configure_command>(&command)) {
        if (m_state.wasAccepted(*configure)) {
            done(result_code::ok);
            return;
        }
        if (configure->base != m_state.version()) {
            done(result_code::revision_conflict);
            return;
        }
    }
    propose(command, now, done);
}

bool fleet_control::isAddressContested(const upstream_incarnation &incarnation) const
{
    return std::any_of(m_state.upstreams().begin(), m_state.upstreams().end(),
                       [&](const auto &each) {
                           const upstream_incarnation &other = each.second;
                           return other.id != incarnation.id && other.address == incarnation.address
                               && other.startTimeMs > incarnation.startTimeMs;
                       });
}

bool fleet_control::continuesToAnnounce(const upstream_incarnation &incarnation, instant now)
{
    auto first = m_contestedUpstreams.find(incarnation.id);
    if (first == m_contestedUpstreams.end()
        || first->second.startTimeMs != incarnation.startTimeMs) {
        if (m_contestedUpstreams.size() < maximumContestedUpstreams)
            m_contestedUpstreams[incarnation.id] = {incarnation.startTimeMs, incarnation.sequence,
                                                    now};
        return false;
    }
    return incarnation.sequence > first->second.sequence
        && now - first->second.firstHeartbeat >= m_options.contestedAddressDelay;
}

bool fleet_control::isSuperseded(const upstream_incarnation &incarnation, instant now)
{
    const auto known = m_state.upstreams().find(incarnation.id);
    const bool isKnown = known != m_state.upstreams().end();
    if (isKnown && known->second.startTimeMs == incarnation.startTimeMs)
        return false;
    if (isKnown && known->second.startTimeMs > incarnation.startTimeMs)
        return true;
    // Another incarnation with its address does not prove that the upstream has ended. The claim
    // may be wrong.
    return isAddressContested(incarnation) && !continuesToAnnounce(incarnation, now);
}

void fleet_control::recordHeartbeat(const heartbeat_number &heartbeat, instant now)
{
    const heartbeat_record latest{now, heartbeat.startTimeMs, heartbeat.sequence};
    const auto [place, isNew] = m_upstreamHeartbeats.try_emplace(heartbeat.id, latest);
    heartbeat_record &record = place->second;
    if (!isNew
        && std::tuple(record.startTimeMs, record.sequence)
            < std::tuple(latest.startTimeMs, latest.sequence))
        record = latest;
}

milliseconds fleet_control::expectedColdTime(const upstream_incarnation &stored, instant now) const
{
    const auto reported = m_coldReportedAt.find(stored.id);
    if (reported == m_coldReportedAt.end())
        return milliseconds(0);
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - reported->second);
    return std::max(stored.coldRemaining - elapsed, milliseconds(0));
}

bool fleet_control::needsReplication(const upstream_incarnation &incarnation, instant now) const
{
    const auto known = m_state.upstreams().find(incarnation.id);
    if (known == m_state.upstreams().end())
        return true;
    const upstream_incarnation &previous = known->second;
    if (incarnation.startTimeMs != previous.startTimeMs)
        return incarnation.startTimeMs > previous.startTimeMs;
    if (incarnation.state != previous.state)
        return incarnation.state > previous.state;
    if (incarnation.sequence <= previous.sequence || previous.state == upstream_state::terminated)
        return false;
    // Heartbeats that changed nothing are not stored.
    const auto latest = m_upstreamHeartbeats.find(incarnation.id);
    if (latest != m_upstreamHeartbeats.end()
        && latest->second.startTimeMs == incarnation.startTimeMs
        && latest->second.sequence >= incarnation.sequence)
        return false;
    return previous.silent || incarnation.address != previous.address
        || incarnation.slots != previous.slots || incarnation.service != previous.service
        || incarnation.zone != previous.zone
        || incarnation.coldRemaining
        > expectedColdTime(previous, now) + m_options.coldChangeThreshold
        || (incarnation.coldRemaining == milliseconds(0)
            && previous.coldRemaining > milliseconds(0));
}

void fleet_control::announce(const upstream_incarnation &incarnation, instant now,
                             const command_result_callback &done)
{
    if (!m_leading || !m_callbacks.hasLease()) {
        done(result_code::not_leader);
        return;
    }
    if (isSuperseded(incarnation, now)) {
        log_line(log_level::info, "fleet", "announcement_superseded")
            .field("upstream", incarnation.id.text())
            .field("address", incarnation.address.text())
            .field("born", incarnation.startTimeMs)
            .field("sequence", incarnation.sequence);
        done(result_code::announcement_superseded);
        return;
    }
    m_contestedUpstreams.erase(incarnation.id);
    if (!needsReplication(incarnation, now)) {
        recordHeartbeat(numberOf(incarnation), now);
        done(result_code::ok);
        return;
    }
    // Its number is recorded by the commit: until then, copies of it are proposed too.
    m_upstreamHeartbeats[incarnation.id].receivedAt = now;
    log_line(log_level::info, "fleet", "upstream_changed")
        .field("upstream", incarnation.id.text())
        .field("service", incarnation.service.text())
        .field("zone", incarnation.zone.text())
        .field("state", static_cast<int>(incarnation.state))
        .field("born", incarnation.startTimeMs)
        .field("sequence", incarnation.sequence)
        .field("cold_ms", incarnation.coldRemaining.count());
    propose(registration_command{{incarnation}, {}, {}}, now, done);
}

bool fleet_control::isUnchanged(const upstream_incarnation &incarnation, instant now) const
{
    const auto known = m_state.upstreams().find(incarnation.id);
    return known != m_state.upstreams().end()
        && known->second.startTimeMs == incarnation.startTimeMs
        && !needsReplication(incarnation, now);
}

void fleet_control::recordUnchangedHeartbeats(const std::vector<heartbeat_number> &upstreams,
                                              const std::vector<endpoint_address> &entries,
                                              instant now)
{
    if (!m_leading)
        return;
    for (const endpoint_address &address : entries) {
        // An entry that was marked as absent meanwhile is passed on by its host once that is
        // applied there.
        const auto known = m_entryLastHeartbeat.find(address);
        if (known != m_entryLastHeartbeat.end())
            known->second = now;
    }
    for (const heartbeat_number &heartbeat : upstreams) {
        // An upstream that was marked as silent meanwhile sends its next heartbeat here.
        if (m_upstreamHeartbeats.contains(heartbeat.id))
            recordHeartbeat(heartbeat, now);
    }
}

void fleet_control::withdraw(const upstream_id &id, std::optional<std::int64_t> startTimeMs,
                             instant now, const command_result_callback &done)
{
    if (!m_leading || !m_callbacks.hasLease()) {
        done(result_code::not_leader);
        return;
    }
    const auto known = m_state.upstreams().find(id);
    if (known == m_state.upstreams().end() || known->second.state == upstream_state::terminated) {
        done(result_code::ok);
        return;
    }
    if (startTimeMs != known->second.startTimeMs) {
        done(result_code::revision_conflict);
        return;
    }
    upstream_incarnation incarnation = known->second;
    incarnation.state = upstream_state::terminated;
    announce(incarnation, now, done);
}

std::optional<fleet_entry> fleet_control::expectedEntry(const endpoint_address &address) const
{
    const auto pending = m_pendingEntryChanges.find(address);
    if (pending != m_pendingEntryChanges.end())
        return pending->second.entry;
    const auto known = m_state.entries().find(address);
    return known == m_state.entries().end() ? std::nullopt : std::optional(known->second);
}

bool fleet_control::proposeRegistration(const registration_command &command, instant now)
{
    const std::uint64_t number = ++m_lastProposalNumber;
    for (const fleet_entry &entry : command.addedEntries)
        m_pendingEntryChanges[entry.address] = {number, entry};
    for (const endpoint_address &address : command.removedEntries)
        m_pendingEntryChanges[address] = {number, std::nullopt};
    return propose(command, now, [this, number](result_code) {
        std::erase_if(m_pendingEntryChanges,
                      [number](const auto &each) { return each.second.proposalNumber == number; });
    });
}

void fleet_control::recordEntryHeartbeat(const fleet_entry &entry, instant now)
{
    if (!m_leading)
        return;
    m_entryLastHeartbeat[entry.address] = now;
    if (expectedEntry(entry.address) == entry)
        return;
    log_line(log_level::info, "fleet", entryEvent(entry.state))
        .field("entry", entry.address.text());
    proposeRegistration({{}, {entry}, {}}, now);
}

void fleet_control::addSilentEntries(registration_command &command, instant now) const
{
    for (const auto &[address, lastHeartbeat] : m_entryLastHeartbeat) {
        const auto expected = expectedEntry(address);
        if (!expected || now - lastHeartbeat < m_options.entryHeartbeatTimeout)
            continue;
        if (now - lastHeartbeat >= m_options.entryRemovalTimeout) {
            command.removedEntries.push_back(address);
        } else if (expected->state != entry_state::absent) {
            command.addedEntries.push_back(*expected);
            command.addedEntries.back().state = entry_state::absent;
        }
    }
}

std::vector<upstream_incarnation> fleet_control::newlySilentUpstreams(instant now) const
{
    std::vector<upstream_incarnation> result;
    for (const auto &[id, heartbeat] : m_upstreamHeartbeats) {
        const auto known = m_state.upstreams().find(id);
        if (known == m_state.upstreams().end() || known->second.state == upstream_state::terminated
            || known->second.silent
            || now - heartbeat.receivedAt < m_options.upstreamHeartbeatTimeout)
            continue;
        upstream_incarnation incarnation = known->second;
        incarnation.silent = true;
        incarnation.coldRemaining = expectedColdTime(known->second, now);
        // A copy of a heartbeat that was not stored must not clear the flag.
        if (heartbeat.startTimeMs == incarnation.startTimeMs)
            incarnation.sequence = std::max(incarnation.sequence, heartbeat.sequence);
        result.push_back(incarnation);
    }
    return result;
}

void fleet_control::tick(instant now)
{
    std::vector<log_index> overdue;
    for (const auto &[index, pending] : m_pendingCommands) {
        if (now - pending.proposedAt >= m_options.commitTimeout)
            overdue.push_back(index);
    }
    for (const log_index index : overdue)
        m_pendingCommands.extract(index).mapped().done(result_code::change_outcome_unknown);
    if (!m_leading)
        return;
    std::erase_if(m_contestedUpstreams, [&](const auto &each) {
        return now - each.second.firstHeartbeat >= m_options.upstreamHeartbeatTimeout;
    });
    registration_command timeoutCommand;
    timeoutCommand.upstreams = newlySilentUpstreams(now);
    addSilentEntries(timeoutCommand, now);
    if (timeoutCommand == registration_command{} || !proposeRegistration(timeoutCommand, now))
        return;
    // Only now; a refused proposal is made again at the next tick.
    for (const upstream_incarnation &incarnation : timeoutCommand.upstreams) {
        m_upstreamHeartbeats.erase(incarnation.id);
        log_line(log_level::warning, "fleet", "upstream_silent")
            .field("upstream", incarnation.id.text());
    }
    for (const fleet_entry &entry : timeoutCommand.addedEntries)
        log_line(log_level::warning, "fleet", "entry_silent").field("entry", entry.address.text());
    for (const endpoint_address &address : timeoutCommand.removedEntries) {
        m_entryLastHeartbeat.erase(address);
        log_line(log_level::info, "fleet", "entry_removed").field("entry", address.text());
    }
}

void fleet_control::recordColdReports(const registration_command &command, instant now)
{
    for (const upstream_incarnation &incarnation : command.upstreams) {
        if (incarnation.state == upstream_state::serving
            && incarnation.coldRemaining > milliseconds(0))
            m_coldReportedAt[incarnation.id] = now;
        else
            m_coldReportedAt.erase(incarnation.id);
    }
}

void fleet_control::apply(fleet_log_position position, const std::string &text, instant now)
{
    const fleet_command command = decodeFleetCommand(text);
    const revision_number previousVersion = m_state.version();
    const result_code code = m_state.apply(command);
    m_changes.recordCommand(command, m_state);
    if (const auto *const registration = std::get_if<registration_command>(&command))
        recordColdReports(*registration, now);
    if (m_state.version() != previousVersion)
        log_line(log_level::info, "fleet", "configuration_applied")
            .field("version", m_state.version().number())
            .field("index", position.index.number());
    auto pending = m_pendingCommands.extract(position.index);
    if (pending.empty())
        return;
    // A different term means that the log of a later leader has another command at this index. The
    // result of the proposed one is then reported as unknown.
    pending.mapped().done(
        pending.mapped().term == position.term ? code : result_code::change_outcome_unknown);
}

void fleet_control::restore(const std::string &snapshot)
{
    m_state.restore(snapshot);
    m_changes.reset(m_state);
    m_coldReportedAt.clear();
}

} // namespace kingcuptiller
