#include "kingcuptiller/cli/daemon_options.h"
#include "kingcuptiller/control/control_service.h"
#include "kingcuptiller/supervision/process.h"

#include <fmt/core.h>

using namespace kingcuptiller;

namespace {

// Status pages only; JSON-RPC has its own threads.
constexpr std::size_t statusThreads = 4;

} // namespace

// A control host. With --init an empty data folder is marked as one of a new fleet.
int main(int argc, char **argv)
{
    try {
        const daemon_options options = parseDaemonOptions(daemon_kind::control, argc, argv);
        if (!options.help.empty()) {
            fmt::print("{}", options.help);
            return 0;
        }
        const control_settings settings = loadControlSettings(options.configFile);
        if (options.check) {
            fmt::print("{}", describeSettings(settings.effective));
            return 0;
        }
        setLogLevel(settings.logLevel);
        blockTerminationSignals();
        setTrafficThreads(statusThreads);
        control_service service(settings, options.init);
        return service.run();
    } catch (const error &failure) {
        log_line(log_level::error, "control", "ended")
            .field("code", name(failure.code()))
            .field("reason", failure.what());
        return exitStatus(failure.code());
    }
}
