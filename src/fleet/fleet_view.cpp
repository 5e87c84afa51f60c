#include "kingcuptiller/fleet/fleet_view.h"

#include <algorithm>
#include <utility>

namespace kingcuptiller {

namespace {

// To bound the memory, all recorded changes are discarded when the upstreams that they concern
// outnumber those in the state by more than this. The state drops old terminated upstreams, but
// their changes stay recorded.
constexpr std::size_t maximumDroppedUpstreams = 1'000;

std::map<upstream_id, upstream_incarnation>
byId(const std::vector<upstream_incarnation> &incarnations)
{
    std::map<upstream_id, upstream_incarnation> result;
    for (const upstream_incarnation &incarnation : incarnations)
        result.emplace(incarnation.id, incarnation);
    return result;
}

} // namespace

fleet_view applyDifference(const fleet_view &known, const fleet_difference &difference)
{
    const bool isFullView = difference.baseAppliedCommands == 0;
    fleet_view view;
    view.appliedCommands = difference.appliedCommands;
    view.version = difference.version;
    view.document = difference.document;
    view.evacuated = difference.evacuated;
    view.controlHosts = difference.controlHosts;
    view.entries = difference.entries ? *difference.entries : known.entries;
    auto upstreams = byId(isFullView ? std::vector<upstream_incarnation>() : known.upstreams);
    for (const upstream_incarnation &incarnation : difference.upstreams) {
        if (incarnation.state == upstream_state::serving)
            upstreams[incarnation.id] = incarnation;
        else
            upstreams.erase(incarnation.id);
    }
    for (auto &[id, incarnation] : upstreams)
        view.upstreams.push_back(std::move(incarnation));
    return view;
}

void fleet_change_tracker::recordCommand(const fleet_command &command, const fleet_state &state)
{
    const auto *const registration = std::get_if<registration_command>(&command);
    if (registration == nullptr)
        return;
    for (const upstream_incarnation &incarnation : registration->upstreams)
        m_upstreamChangedAt[incarnation.id] = state.appliedCommands();
    if (!registration->addedEntries.empty() || !registration->removedEntries.empty())
        m_entriesChangedAt = state.appliedCommands();
    if (m_upstreamChangedAt.size() > state.upstreams().size() + maximumDroppedUpstreams)
        reset(state);
}

void fleet_change_tracker::reset(const fleet_state &state)
{
    m_appliedCommandsAtReset = state.appliedCommands();
    m_entriesChangedAt = 0;
    m_upstreamChangedAt.clear();
}

fleet_difference fleet_change_tracker::differenceSince(std::uint64_t baseAppliedCommands,
                                                       revision_number version,
                                                       const fleet_state &state) const
{
    const bool isFullView =
        baseAppliedCommands == 0 || baseAppliedCommands < m_appliedCommandsAtReset;
    fleet_difference difference;
    difference.baseAppliedCommands = isFullView ? 0 : baseAppliedCommands;
    difference.appliedCommands = state.appliedCommands();
    difference.version = state.version();
    if (version < state.version())
        difference.document = state.document();
    difference.evacuated = state.evacuated();
    if (isFullView || m_entriesChangedAt > baseAppliedCommands) {
        difference.entries.emplace();
        for (const auto &[address, entry] : state.entries())
            difference.entries->push_back(entry);
    }
    if (isFullView) {
        for (const auto &[id, incarnation] : state.upstreams()) {
            if (incarnation.state == upstream_state::serving)
                difference.upstreams.push_back(incarnation);
        }
        return difference;
    }
    for (const auto &[id, lastChange] : m_upstreamChangedAt) {
        if (lastChange <= baseAppliedCommands)
            continue;
        // An upstream that has been dropped from the state is sent as terminated.
        const auto known = state.upstreams().find(id);
        upstream_incarnation incarnation;
        incarnation.id = id;
        incarnation.state = upstream_state::terminated;
        difference.upstreams.push_back(known == state.upstreams().end() ? incarnation
                                                                        : known->second);
    }
    return difference;
}

} // namespace kingcuptiller
