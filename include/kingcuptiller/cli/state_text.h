#pragma once

#include "kingcuptiller/protocol/messages.h"

#include <string>
#include <vector>

// The state of the fleet as tables for a terminal.

namespace kingcuptiller {

[[nodiscard]] std::string classesTable(const configuration &current);
[[nodiscard]] std::string stopsTable(const configuration &current, wall_time now);
// Control hosts and entries.
[[nodiscard]] std::string hostsTable(const state_report &state);
[[nodiscard]] std::string upstreamsTable(const state_report &state);
// All of the above and the newest events.
[[nodiscard]] std::string stateText(const state_report &state, wall_time now);

// "2026-12-04 07:20:00 UTC".
[[nodiscard]] std::string timeText(wall_time time);

// The inverse, and "now", "+10 min" and milliseconds since 1970. Throws `error` with
// command_line_invalid.
[[nodiscard]] wall_time parseTime(const std::string &text, wall_time now);

// Where a class of work is served and why requests of it are refused: one sentence each. Throws
// `error` with class_unknown.
[[nodiscard]] std::vector<std::string> explainClass(const state_report &state,
                                                    const class_name &workClass, wall_time now);

} // namespace kingcuptiller
