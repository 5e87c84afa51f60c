#include "kingcuptiller/cli/daemon_options.h"
#include "kingcuptiller/entry/entry_service.h"
#include "kingcuptiller/settings/entry_settings.h"
#include "kingcuptiller/supervision/process.h"
#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/transport/http_server.h"
#include "kingcuptiller/transport/system_clock.h"
#include "kingcuptiller/values/error.h"

#include <fmt/format.h>

using namespace kingcuptiller;

namespace {

int run(const entry_settings &settings)
{
    setLogLevel(settings.logLevel);
    blockTerminationSignals();
    setTrafficThreads(settings.trafficThreads);
    entry_service service(settings);
    supervisor root("entry", {});
    service.addTo(root);
    log_line(log_level::info, "entry", "starts")
        .field("host", settings.host.text())
        .field("listen", settings.listen.text());
    return supervise(root,
                     {.now = readInstant,
                      .terminationRequested =
                          [&service] {
                              log_line(log_level::info, "entry", "leaves");
                              service.leave();
                          },
                      .readyToStop = [&service] { return service.mayStop(); }});
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const daemon_options options = parseDaemonOptions(daemon_kind::entry, argc, argv);
        if (!options.help.empty()) {
            fmt::print("{}", options.help);
            return 0;
        }
        const entry_settings settings = loadEntrySettings(options.configFile);
        if (options.check) {
            fmt::print("{}", describeSettings(settings.effective));
            return 0;
        }
        return run(settings);
    } catch (const error &failure) {
        fmt::print(stderr, "kingcuptiller-entry: {} ({}): {}\n", static_cast<int>(failure.code()),
                   name(failure.code()), failure.what());
        return exitStatus(failure.code());
    }
}
