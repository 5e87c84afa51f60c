#include "kingcuptiller/cli/operator_command.h"

#include "command_context.h"

#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/values/error.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <exception>
#include <optional>

namespace kingcuptiller {

namespace {

using internal::command_context;

struct command_entry
{
    // One or two words.
    std::string_view words;
    internal::command_function run;
};

constexpr auto commandTable = std::to_array<command_entry>({
    {"class put", internal::putClass},
    {"class remove", internal::removeClass},
    {"class list", internal::listClasses},
    {"stop plan", internal::planStop},
    {"stop withdraw", internal::withdrawStop},
    {"stop list", internal::listStops},
    {"state", internal::showState},
    {"hosts", internal::showHosts},
    {"upstreams", internal::showUpstreams},
    {"explain", internal::explain},
    {"report", internal::showReport},
    {"codes", internal::showCodes},
});

constexpr const char *usage = R"(Usage: kingcuptiller COMMAND [options]

Says what the fleet must achieve, and shows what it does. There are no weights and no addresses to
set: you say how fast and how surely a class of work must be answered and what it is worth, and the
system steers.

Look:
  state                       everything below at once
  class list                  classes of work with their targets
  stop list                   planned stops
  hosts                       control hosts and entries
  upstreams                   upstreams with their slots
  explain CLASS               where a class is served and why requests of it are refused
  report --from IP:PORT       service-level burn, from an entry's or a control host's HTTP address
  codes                       every result code, its exit status and what to do
Change:
  class put NAME              create a class, or change the targets that are given
  class remove NAME           refuse this work from now on (asks first)
  stop plan SCOPE SUBJECT     SCOPE is upstream, host, zone (REGION/ZONE) or region
  stop withdraw ID            take a planned stop back

Examples:
  export KCT='c1=10.20.1.2:7300,c2=10.20.2.2:7300,c3=10.20.3.2:7300'
  kingcuptiller state --control "$KCT"
  kingcuptiller class put tariff-postings --control "$KCT" --rank 1 --latency '500 ms' \
      --success-per-mille 999 --worth 100
  kingcuptiller class put index-lookups --control "$KCT" --rank 2 --idempotent --worth 10
  kingcuptiller stop plan zone austro/austro-a --control "$KCT" --start '+10 min' --for '1 h'
  kingcuptiller explain tariff-postings --config /etc/kingcuptiller/entry.ini

A change is accepted when it is in force on every entry; only then does the command end with 0. It
is based on the revision that the command read, or on --base; when somebody else was faster, it is
refused with revision_conflict. When the answer is lost, repeat the command with the printed
--change-id and --base: you get the first answer, and the change is made once.
The exit status says what went wrong; 'kingcuptiller codes' lists them.
)";

option_set declaredOptions()
{
    option_set options(usage);
    options.value("control", "ID=IP:PORT,..", "control hosts; any one finds the others' leader");
    options.value("config", "FILE", "take the control hosts from a host's settings file");
    options.flag("json", "print JSON for scripts");
    options.value("change-id", "ID", "submit a change again under its first id");
    options.value("base", "REVISION", "revision that the change is based on (the current one)");
    options.value("rank", "N", "class put: urgency, 1 is the most urgent");
    options.flag("idempotent", "class put: a request may be sent more than once");
    options.flag("non-idempotent", "class put: a request runs at most once (default if new)");
    options.value("latency", "TIME", "class put: answers later than this are missed ('500 ms')");
    options.value("success-per-mille", "N", "class put: share to be answered in time (990)");
    options.value("worth", "N", "class put: worth beside the other classes (1)");
    options.value("max-deadline", "TIME", "class put: the longest deadline of a request ('5 s')");
    options.flag("yes", "class remove: do not ask");
    options.value("start", "TIME", "stop plan: 'now', '+10 min' or 'YYYY-MM-DD HH:MM:SS' in UTC");
    options.value("for", "TIME", "stop plan: how long");
    options.value("id", "ID", "stop plan: name of the stop (drawn)");
    options.value("from", "IP:PORT", "report: HTTP address of an entry or control host");
    return options;
}

// The command whose words `arguments` begins with, and the rest of them.
std::pair<internal::command_function, std::vector<std::string>>
findCommand(const std::vector<std::string> &arguments)
{
    for (const command_entry &each : commandTable) {
        const std::size_t count = each.words.find(' ') == std::string_view::npos ? 1 : 2;
        if (arguments.size() < count)
            continue;
        const std::string given =
            count == 1 ? arguments[0] : fmt::format("{} {}", arguments[0], arguments[1]);
        if (given == each.words)
            return {each.run,
                    {arguments.begin() + static_cast<std::ptrdiff_t>(count), arguments.end()}};
    }
    throw error(result_code::command_line_invalid,
                fmt::format("'{}' is no command; --help shows them",
                            arguments.empty() ? "" : fmt::format("{}", fmt::join(arguments, " "))));
}

int report(const operator_environment &environment, bool json, result_code code,
           const std::string &message)
{
    if (json) {
        Json::Value document(Json::objectValue);
        document["code"] = std::string(name(code));
        document["number"] = static_cast<int>(code);
        document["message"] = message;
        document["advice"] = std::string(advice(code));
        environment.print(writeJson(document) + "\n");
    } else {
        environment.printError(fmt::format("kingcuptiller: {} ({}): {}\n{}\n", name(code),
                                           static_cast<int>(code), message, advice(code)));
    }
    return exitStatus(code);
}

// The control hosts of an entry's or a control host's settings file.
std::vector<host_address> controlHostsOf(const std::string &path)
{
    settings_reader reader(path, readSettingsText(path));
    try {
        return reader.hostAddresses("control", "hosts");
    } catch (const error &) {
        return reader.hostAddresses("peers", "hosts");
    }
}

} // namespace

namespace internal {

control_caller command_context::caller() const
{
    if (!options.has("control") && options.has("config"))
        return {controlHostsOf(options.text("config")), environment.callControl, environment.pause};
    try {
        return {parseHostAddresses(options.required("control")), environment.callControl,
                environment.pause};
    } catch (const std::invalid_argument &fault) {
        throw error(result_code::command_line_invalid, fmt::format("--control: {}", fault.what()));
    }
}

void command_context::show(const Json::Value &document, const std::string &text) const
{
    environment.print(options.has("json") ? writeJson(document) + "\n" : text);
}

std::string command_context::onlyWord(const std::string &what) const
{
    if (words.size() != 1)
        throw error(result_code::command_line_invalid,
                    fmt::format("give {} and nothing else", what));
    return words.front();
}

void command_context::requireNoWords() const
{
    if (!words.empty())
        throw error(result_code::command_line_invalid,
                    fmt::format("'{}' means nothing here", words.front()));
}

} // namespace internal

int runOperatorCommand(const std::vector<std::string> &arguments,
                       const operator_environment &environment)
{
    option_set options = declaredOptions();
    try {
        options.parse(arguments);
        if (options.has("help")) {
            environment.print(options.help());
            return 0;
        }
        const auto [run, words] = findCommand(options.arguments());
        return run({environment, options, words});
    } catch (const error &fault) {
        return report(environment, options.has("json"), fault.code(), fault.what());
    } catch (const std::exception &fault) {
        return report(environment, options.has("json"), result_code::internal_fault, fault.what());
    }
}

} // namespace kingcuptiller
