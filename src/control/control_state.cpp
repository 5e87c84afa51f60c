#include "kingcuptiller/control/control_state.h"

#include "json_fields.h"
#include "state_document.h"

#include <algorithm>

namespace kingcuptiller {

namespace {

struct applier
{
    configuration_store &configurations;
    fleet_registry &fleet;
    request_ledger &ledger;
    wall_time now;

    command_result operator()(const change_command &body) const
    {
        return configurations.apply(
            body, now, [this](const class_name &wanted) { return fleet.classInUse(wanted); });
    }
    command_result operator()(const claims_command &body) const
    {
        std::vector<claim_result> results;
        results.reserve(body.claims.size());
        for (const auto &each : body.claims)
            results.push_back(ledger.claimRequest(each, now, configurations.current()));
        return results;
    }
    command_result operator()(const settlements_command &body) const
    {
        std::size_t settled = 0;
        for (const auto &each : body.settlements)
            settled += ledger.settle(each, now) ? 1 : 0;
        return settled;
    }
    command_result operator()(const fleet_update &body) const
    {
        fleet.apply(body, now);
        return std::monostate{};
    }
    command_result operator()(const ledger_limits &body) const
    {
        ledger.setLimits(body);
        return std::monostate{};
    }
};

} // namespace

command_result control_state::apply(const command &value)
{
    m_time = std::max(m_time, value.time);
    return std::visit(applier{m_configuration, m_fleet, m_ledger, m_time}, value.body);
}

std::string control_state::snapshot() const
{
    std::string text = writeJson(internal::stateDocument(m_time, m_configuration, m_fleet));
    text += '\n';
    m_ledger.writeLines(text);
    return text;
}

control_state control_state::fromSnapshot(const std::string &text)
{
    const std::size_t end = std::min(text.find('\n'), text.size());
    control_state state;
    internal::readStateDocument(text.substr(0, end), state.m_time, state.m_configuration,
                                state.m_fleet);
    if (end < text.size())
        state.m_ledger.readLines(std::string_view(text).substr(end + 1));
    return state;
}

} // namespace kingcuptiller
