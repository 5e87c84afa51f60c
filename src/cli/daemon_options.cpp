#include "kingcuptiller/cli/daemon_options.h"

#include "kingcuptiller/values/error.h"

#include <fmt/format.h>
#include <popt.h>

#include <cstdlib>
#include <memory>

namespace kingcuptiller {

namespace {

constexpr std::string_view entryHelp = R"(Usage: kingcuptiller-entry --config FILE [--check]

Answers clients' look-ups, accepts their requests and the announcements of upstreams. It keeps
nothing on disk and serves as soon as control has answered it.

  -c, --config FILE   the settings file; samples are in docs/examples/
      --check         check the settings, print each with its source, and end
  -?, --help          print this text

Examples:
  kingcuptiller-entry --config /etc/kingcuptiller/entry.ini --check
  kingcuptiller-entry --config /etc/kingcuptiller/entry.ini

SIGTERM stops it gracefully: it leaves the look-up answers first and finishes its requests.
The exit status is 0, or says why it ended: 'kingcuptiller codes' lists the codes.
)";

constexpr std::string_view controlHelp =
    R"(Usage: kingcuptiller-control --config FILE [--check] [--init]

Keeps the configuration, the ledger of request keys and the slot shares, replicated over all
control hosts. A majority of them must run.

  -c, --config FILE   the settings file; samples are in docs/examples/
      --check         check the settings, print each with its source, and end
      --init          for a new fleet only: mark the empty data folder as founding. Give it on
                      every control host at the first start, and never again; a host that lost
                      its disk is started without it and is caught up by the others
  -?, --help          print this text

Examples:
  kingcuptiller-control --config /etc/kingcuptiller/control.ini --check
  kingcuptiller-control --config /etc/kingcuptiller/control.ini --init    (first start)
  kingcuptiller-control --config /etc/kingcuptiller/control.ini           (every other start)

SIGTERM stops it; the others go on if they are a majority.
The exit status is 0, or says why it ended: 'kingcuptiller codes' lists the codes.
)";

using popt_handle =
    std::unique_ptr<std::remove_pointer_t<poptContext>, poptContext (*)(poptContext)>;

[[noreturn]] void refuse(const std::string &reason)
{
    throw error(result_code::command_line_invalid, reason + "; --help shows the options");
}

} // namespace

daemon_options parseDaemonOptions(daemon_kind kind, int argc, const char *const *argv)
{
    enum option_value : int { none, config, check, init, help };
    char *configText = nullptr;
    const poptOption table[] = {// NOLINT(modernize-avoid-c-arrays): the form that popt takes
                                {"config", 'c', POPT_ARG_STRING, static_cast<void *>(&configText),
                                 config, nullptr, nullptr},
                                {"check", '\0', POPT_ARG_NONE, nullptr, check, nullptr, nullptr},
                                {"help", '?', POPT_ARG_NONE, nullptr, help, nullptr, nullptr},
                                {kind == daemon_kind::control ? "init" : nullptr, '\0',
                                 POPT_ARG_NONE, nullptr, init, nullptr, nullptr},
                                POPT_TABLEEND};
    const popt_handle context(
        poptGetContext(nullptr, argc, const_cast<const char **>(argv), table, 0), poptFreeContext);
    daemon_options options;
    int value = 0;
    while ((value = poptGetNextOpt(context.get())) > 0) {
        options.check |= value == check;
        options.init |= value == init;
        if (value == help)
            options.help = kind == daemon_kind::entry ? entryHelp : controlHelp;
    }
    const std::unique_ptr<char, decltype(&std::free)> owner(configText, std::free);
    if (value < -1)
        refuse(fmt::format("{}: {}", poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                           poptStrerror(value)));
    if (const char *extra = poptGetArg(context.get()); extra != nullptr)
        refuse(fmt::format("'{}' is not an option", extra));
    if (configText != nullptr)
        options.configFile = configText;
    if (options.help.empty() && options.configFile.empty())
        refuse("--config FILE is missing");
    return options;
}

} // namespace kingcuptiller
