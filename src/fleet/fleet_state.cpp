#include "kingcuptiller/fleet/fleet_state.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace kingcuptiller {

namespace {

// Ended upstreams that are remembered; the oldest lifetimes are dropped first.
constexpr std::size_t rememberedEnds = 500;

std::string digestOf(const std::string &document)
{
    const XXH128_hash_t hash = XXH3_128bits(document.data(), document.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

} // namespace

bool upstream_life::isOlderThan(const upstream_life &other) const
{
    return std::tuple(bornMs, sequence) < std::tuple(other.bornMs, other.sequence);
}

result_code fleet_state::apply(const fleet_command &command)
{
    ++m_commands;
    return std::visit([this](const auto &each) { return change(each); }, command);
}

bool fleet_state::wasAccepted(const configure_command &command) const
{
    const auto found = m_accepted.find(command.version);
    return found != m_accepted.end() && found->second == digestOf(command.document);
}

result_code fleet_state::change(const configure_command &command)
{
    if (wasAccepted(command))
        return result_code::ok;
    if (command.base != m_version || command.version <= m_version)
        return result_code::revision_conflict;
    m_version = command.version;
    m_document = command.document;
    m_accepted[command.version] = digestOf(command.document);
    return result_code::ok;
}

result_code fleet_state::change(const evacuate_command &command)
{
    if (command.evacuate)
        m_evacuated.insert(command.zone);
    else
        m_evacuated.erase(command.zone);
    return result_code::ok;
}

result_code fleet_state::change(const roster_command &command)
{
    for (const upstream_life &life : command.upstreams)
        note(life);
    for (const serving_entry &entry : command.joined)
        m_entries[entry.address] = entry;
    for (const endpoint_address &address : command.left)
        m_entries.erase(address);
    return result_code::ok;
}

void fleet_state::note(const upstream_life &life)
{
    const auto known = m_upstreams.find(life.id);
    if (known != m_upstreams.end()) {
        const upstream_life &former = known->second;
        // An end or a leaving counts for the whole lifetime, whatever is heard late.
        if (life.bornMs < former.bornMs
            || (life.bornMs == former.bornMs && life.state < former.state))
            return;
    }
    m_upstreams[life.id] = life;
    const auto ended = std::count_if(m_upstreams.begin(), m_upstreams.end(), [](const auto &each) {
        return each.second.state == upstream_state::gone;
    });
    if (static_cast<std::size_t>(ended) <= rememberedEnds)
        return;
    auto oldest = m_upstreams.end();
    for (auto each = m_upstreams.begin(); each != m_upstreams.end(); ++each) {
        if (each->second.state == upstream_state::gone
            && (oldest == m_upstreams.end() || each->second.bornMs < oldest->second.bornMs))
            oldest = each;
    }
    m_upstreams.erase(oldest);
}

} // namespace kingcuptiller
