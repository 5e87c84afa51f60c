#pragma once

#include "kingcuptiller/control/configuration_store.h"
#include "kingcuptiller/control/fleet_registry.h"
#include "kingcuptiller/control/request_ledger.h"

#include <string>

namespace kingcuptiller {

// The replicated state of the control hosts: configuration, fleet and request ledger.
//
// Deterministic: equal sequences of commands make equal states, whichever host applies them and
// wherever snapshots were taken and restored in between. The only time it knows is that of the
// commands, which it never lets go backwards.
//
//     command_result result = state.apply(decodeCommand(text));
//     std::string text = state.snapshot();
//     control_state copy = control_state::fromSnapshot(text);
class control_state
{
public:
    command_result apply(const command &value);

    [[nodiscard]] wall_time time() const { return m_time; }
    [[nodiscard]] const configuration &currentConfiguration() const
    {
        return m_configuration.current();
    }
    [[nodiscard]] const configuration_store &configurations() const { return m_configuration; }
    [[nodiscard]] const fleet_registry &fleet() const { return m_fleet; }
    [[nodiscard]] const request_ledger &ledger() const { return m_ledger; }

    // One JSON document on the first line, then the ledger, one JSON array a line.
    [[nodiscard]] std::string snapshot() const;
    // Throws `error` with `message_malformed`.
    [[nodiscard]] static control_state fromSnapshot(const std::string &text);

private:
    wall_time m_time{};
    configuration_store m_configuration;
    fleet_registry m_fleet;
    request_ledger m_ledger;
};

} // namespace kingcuptiller
