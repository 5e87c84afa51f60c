#include "kingcuptiller/fleet/fleet_view.h"

#include <algorithm>
#include <utility>

namespace kingcuptiller {

namespace {

// Upstreams whose changes are remembered although the state has forgotten them.
constexpr std::size_t rememberedStrangers = 1'000;

std::map<upstream_id, upstream_life> byId(const std::vector<upstream_life> &lives)
{
    std::map<upstream_id, upstream_life> result;
    for (const upstream_life &life : lives)
        result.emplace(life.id, life);
    return result;
}

} // namespace

fleet_view applied(const fleet_view &known, const fleet_difference &difference)
{
    const bool isWhole = difference.since == 0;
    fleet_view view;
    view.commands = difference.commands;
    view.version = difference.version;
    view.document = difference.document;
    view.evacuated = difference.evacuated;
    view.controlHosts = difference.controlHosts;
    view.entries = difference.entries ? *difference.entries : known.entries;
    auto upstreams = byId(isWhole ? std::vector<upstream_life>() : known.upstreams);
    for (const upstream_life &life : difference.upstreams) {
        if (life.state == upstream_state::serving)
            upstreams[life.id] = life;
        else
            upstreams.erase(life.id);
    }
    for (auto &[id, life] : upstreams)
        view.upstreams.push_back(std::move(life));
    return view;
}

void fleet_history::note(const fleet_command &command, const fleet_state &state)
{
    const auto *const roster = std::get_if<roster_command>(&command);
    if (roster == nullptr)
        return;
    for (const upstream_life &life : roster->upstreams)
        m_upstreamChanged[life.id] = state.commands();
    if (!roster->joined.empty() || !roster->left.empty())
        m_entriesChanged = state.commands();
    if (m_upstreamChanged.size() > state.upstreams().size() + rememberedStrangers)
        restart(state);
}

void fleet_history::restart(const fleet_state &state)
{
    m_begin = state.commands();
    m_entriesChanged = 0;
    m_upstreamChanged.clear();
}

fleet_difference fleet_history::differenceSince(std::uint64_t since, revision_number version,
                                                const fleet_state &state) const
{
    const bool isWhole = since == 0 || since < m_begin;
    fleet_difference difference;
    difference.since = isWhole ? 0 : since;
    difference.commands = state.commands();
    difference.version = state.version();
    if (version < state.version())
        difference.document = state.document();
    difference.evacuated = state.evacuated();
    if (isWhole || m_entriesChanged > since) {
        difference.entries.emplace();
        for (const auto &[address, entry] : state.entries())
            difference.entries->push_back(entry);
    }
    if (isWhole) {
        for (const auto &[id, life] : state.upstreams()) {
            if (life.state == upstream_state::serving)
                difference.upstreams.push_back(life);
        }
        return difference;
    }
    for (const auto &[id, changed] : m_upstreamChanged) {
        if (changed <= since)
            continue;
        const auto known = state.upstreams().find(id);
        upstream_life life;
        life.id = id;
        life.state = upstream_state::gone;
        difference.upstreams.push_back(known == state.upstreams().end() ? life : known->second);
    }
    return difference;
}

} // namespace kingcuptiller
