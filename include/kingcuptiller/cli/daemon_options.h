#pragma once

#include <string>
#include <string_view>

namespace kingcuptiller {

// The command line of a daemon: --config FILE, --check, --help, and for control --init.
struct daemon_options
{
    // The settings file.
    std::string configFile;
    // Print the settings in force with their sources, then end.
    bool check = false;
    // Control only: mark an empty data folder as one of a new fleet.
    bool init = false;
    // The text to print before ending with status 0; empty unless --help was given.
    std::string help;

    bool operator==(const daemon_options &) const = default;
};

enum class daemon_kind { entry, control };

// Reads the command line of a daemon. Throws `error` with `command_line_invalid` for an unknown
// option, an extra argument or a missing --config. A main looks like this:
//
//     const daemon_options options = parseDaemonOptions(daemon_kind::entry, argc, argv);
//     if (!options.help.empty())
//         return fmt::print("{}", options.help), 0;
//     const entry_settings settings = loadEntrySettings(options.configFile);
//     if (options.check)
//         return fmt::print("{}", describeSettings(settings.effective)), 0;
[[nodiscard]] daemon_options parseDaemonOptions(daemon_kind kind, int argc,
                                                const char *const *argv);

} // namespace kingcuptiller
