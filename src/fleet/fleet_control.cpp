#include "kingcuptiller/fleet/fleet_control.h"

#include "kingcuptiller/telemetry/log.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace kingcuptiller {

fleet_control::fleet_control(const fleet_control_options &options, fleet_control_hooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
{
}

void fleet_control::startLeading(instant now)
{
    m_leading = true;
    // Nobody counts as silent before this leader had the time to hear them.
    for (const auto &[id, life] : m_state.upstreams())
        m_upstreamHeard[id] = now;
    for (const auto &[address, entry] : m_state.entries())
        m_entryHeard[address] = now;
}

void fleet_control::stopLeading()
{
    m_leading = false;
    m_upstreamHeard.clear();
    m_entryHeard.clear();
    for (auto &[index, pending] : std::exchange(m_pending, {}))
        pending.done(result_code::change_outcome_unknown);
}

void fleet_control::propose(const fleet_command &command, instant now, const fleet_reply &done)
{
    const auto place = m_hooks.propose(encodeFleetCommand(command));
    if (!place) {
        done(result_code::not_leader);
        return;
    }
    m_pending[place->index] = {place->term, now, done};
}

void fleet_control::order(const fleet_command &command, instant now, const fleet_reply &done)
{
    if (!m_leading || !m_hooks.hasLease()) {
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

bool fleet_control::isOutlived(const upstream_life &life) const
{
    // A late announcement from before the address was taken over by a newer lifetime.
    return std::any_of(m_state.upstreams().begin(), m_state.upstreams().end(),
                       [&](const auto &each) {
                           const upstream_life &other = each.second;
                           return other.id != life.id && other.address == life.address
                               && other.bornMs > life.bornMs;
                       });
}

bool fleet_control::changesRoster(const upstream_life &life) const
{
    const auto known = m_state.upstreams().find(life.id);
    if (known == m_state.upstreams().end())
        return true;
    const upstream_life &former = known->second;
    if (life.bornMs != former.bornMs)
        return life.bornMs > former.bornMs;
    if (life.state != former.state)
        return life.state > former.state;
    if (life.sequence <= former.sequence || former.state == upstream_state::gone)
        return false;
    return former.silent || life.address != former.address || life.slots != former.slots
        || life.service != former.service || life.zone != former.zone
        || life.coldFor > former.coldFor + m_options.coldTolerance
        || (life.coldFor == milliseconds(0) && former.coldFor > milliseconds(0));
}

void fleet_control::announce(const upstream_life &life, instant now, const fleet_reply &done)
{
    if (!m_leading || !m_hooks.hasLease()) {
        done(result_code::not_leader);
        return;
    }
    if (isOutlived(life)) {
        done(result_code::ok);
        return;
    }
    const auto known = m_state.upstreams().find(life.id);
    if (known == m_state.upstreams().end() || !life.isOlderThan(known->second))
        m_upstreamHeard[life.id] = now;
    if (!changesRoster(life)) {
        done(result_code::ok);
        return;
    }
    log_line(log_level::info, "fleet", "upstream_changed")
        .field("upstream", life.id.text())
        .field("service", life.service.text())
        .field("zone", life.zone.text())
        .field("state", static_cast<int>(life.state))
        .field("born", life.bornMs)
        .field("sequence", life.sequence)
        .field("cold_ms", life.coldFor.count());
    propose(roster_command{{life}, {}, {}}, now, done);
}

void fleet_control::withdraw(const upstream_id &id, instant now, const fleet_reply &done)
{
    const auto known = m_state.upstreams().find(id);
    if (m_leading && m_hooks.hasLease()
        && (known == m_state.upstreams().end() || known->second.state == upstream_state::gone)) {
        done(result_code::ok);
        return;
    }
    if (known == m_state.upstreams().end()) {
        done(result_code::not_leader);
        return;
    }
    upstream_life life = known->second;
    life.state = upstream_state::gone;
    announce(life, now, done);
}

std::optional<serving_entry> fleet_control::expectedEntry(const endpoint_address &address) const
{
    const auto proposed = m_entryProposals.find(address);
    if (proposed != m_entryProposals.end())
        return proposed->second.entry;
    const auto known = m_state.entries().find(address);
    return known == m_state.entries().end() ? std::nullopt : std::optional(known->second);
}

void fleet_control::proposeRoster(const roster_command &command, instant now)
{
    const std::uint64_t number = ++m_rosterProposals;
    for (const serving_entry &entry : command.joined)
        m_entryProposals[entry.address] = {number, entry};
    for (const endpoint_address &address : command.left)
        m_entryProposals[address] = {number, std::nullopt};
    propose(command, now, [this, number](result_code) {
        std::erase_if(m_entryProposals,
                      [number](const auto &each) { return each.second.number == number; });
    });
}

void fleet_control::noteEntry(const serving_entry &entry, instant now)
{
    if (!m_leading)
        return;
    m_entryHeard[entry.address] = now;
    if (expectedEntry(entry.address) == entry)
        return;
    log_line(log_level::info, "fleet", "entry_joined").field("entry", entry.address.text());
    proposeRoster({{}, {entry}, {}}, now);
}

void fleet_control::removeEntry(const endpoint_address &address, instant now)
{
    if (!m_leading)
        return;
    m_entryHeard.erase(address);
    if (!expectedEntry(address))
        return;
    log_line(log_level::info, "fleet", "entry_left").field("entry", address.text());
    proposeRoster({{}, {}, {address}}, now);
}

void fleet_control::tick(instant now)
{
    std::vector<log_index> overdue;
    for (const auto &[index, pending] : m_pending) {
        if (now - pending.proposed >= m_options.answerLimit)
            overdue.push_back(index);
    }
    for (const log_index index : overdue)
        m_pending.extract(index).mapped().done(result_code::change_outcome_unknown);
    if (!m_leading)
        return;
    roster_command silent;
    for (const auto &[id, heard] : m_upstreamHeard) {
        const auto known = m_state.upstreams().find(id);
        if (known == m_state.upstreams().end() || known->second.state == upstream_state::gone
            || known->second.silent || now - heard < m_options.upstreamSilence)
            continue;
        upstream_life life = known->second;
        life.silent = true;
        silent.upstreams.push_back(life);
        log_line(log_level::warning, "fleet", "upstream_silent").field("upstream", id.text());
    }
    for (const auto &[address, heard] : m_entryHeard) {
        if (now - heard >= m_options.entrySilence)
            silent.left.push_back(address);
    }
    for (const upstream_life &life : silent.upstreams)
        m_upstreamHeard.erase(life.id);
    for (const endpoint_address &address : silent.left) {
        m_entryHeard.erase(address);
        log_line(log_level::warning, "fleet", "entry_silent").field("entry", address.text());
    }
    if (silent != roster_command{})
        proposeRoster(silent, now);
}

void fleet_control::apply(fleet_log_place place, const std::string &text)
{
    const fleet_command command = decodeFleetCommand(text);
    const revision_number former = m_state.version();
    const result_code code = m_state.apply(command);
    m_history.note(command, m_state);
    if (m_state.version() != former)
        log_line(log_level::info, "fleet", "configuration_applied")
            .field("version", m_state.version().number())
            .field("index", place.index.number());
    auto pending = m_pending.extract(place.index);
    if (pending.empty())
        return;
    // Another command at this place means that the proposed one was lost.
    pending.mapped().done(
        pending.mapped().term == place.term ? code : result_code::change_outcome_unknown);
}

void fleet_control::restore(const std::string &snapshot)
{
    m_state.restore(snapshot);
    m_history.restart(m_state);
}

} // namespace kingcuptiller
