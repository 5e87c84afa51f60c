#include "command_context.h"

#include "kingcuptiller/cli/state_text.h"
#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/values/error.h"

#include <fmt/format.h>

#include <array>

// The commands that change the configuration.

namespace kingcuptiller::internal {

namespace {

milliseconds durationOption(const option_set &options, const std::string &name,
                            milliseconds fallback)
{
    if (!options.has(name))
        return fallback;
    try {
        return parseDuration(options.text(name));
    } catch (const std::invalid_argument &fault) {
        throw error(result_code::command_line_invalid, fmt::format("--{}: {}", name, fault.what()));
    }
}

std::uint64_t numberOption(const option_set &options, const std::string &name,
                           std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum)
{
    if (!options.has(name))
        return fallback;
    return static_cast<std::uint64_t>(parseNumberOption(
        name, options.text(name), static_cast<double>(minimum), static_cast<double>(maximum)));
}

revision_number baseOf(const command_context &context, const configuration &current)
{
    return revision_number(numberOption(context.options, "base", current.revision.number(), 0,
                                        std::uint64_t(1) << 53U));
}

// Sends the change and reports the answer. The id is printed before sending, so that the operator
// can submit the change again when this process is killed.
int submit(const command_context &context, control_caller &caller, change_request change)
{
    change.id = change_id(context.options.text("change-id", context.environment.drawId()));
    if (!context.options.has("json"))
        context.environment.print(fmt::format("change id {}\n", change.id.text()));
    change_answer answer;
    try {
        answer = caller.submit(change);
    } catch (const error &fault) {
        throw error(
            fault.code(),
            fmt::format("{}; to ask again, repeat the command with --change-id {} --base {}",
                        fault.what(), change.id.text(), change.base.number()));
    }
    if (answer.code != result_code::ok)
        throw error(answer.code,
                    fmt::format("{} (current revision {}, change id {})", answer.message,
                                answer.revision.number(), change.id.text()));
    Json::Value document = toJson(answer);
    document["changeId"] = change.id.text();
    context.show(document,
                 fmt::format("in force everywhere as revision {}\n", answer.revision.number()));
    return 0;
}

stop_scope parseScope(const std::string &text)
{
    constexpr std::array<std::pair<const char *, stop_scope>, 4> scopes{
        {{"upstream", stop_scope::upstream},
         {"host", stop_scope::host},
         {"zone", stop_scope::zone},
         {"region", stop_scope::region}}};
    for (const auto &[scopeName, scope] : scopes) {
        if (text == scopeName)
            return scope;
    }
    throw error(result_code::command_line_invalid,
                fmt::format("'{}' is none of upstream, host, zone, region", text));
}

// The class with the options of the command line over `former`.
work_class applyClassOptions(work_class former, const option_set &options)
{
    if (options.has("idempotent") && options.has("non-idempotent"))
        throw error(result_code::command_line_invalid,
                    "--idempotent and --non-idempotent exclude each other");
    former.rank = rank_number(numberOption(options, "rank", former.rank.number(), 1, 9));
    former.idempotent =
        options.has("idempotent") || (former.idempotent && !options.has("non-idempotent"));
    former.target.latency = durationOption(options, "latency", former.target.latency);
    former.target.successPerMille = static_cast<std::uint32_t>(
        numberOption(options, "success-per-mille", former.target.successPerMille, 0, 1000));
    former.target.worth =
        static_cast<std::uint32_t>(numberOption(options, "worth", former.target.worth, 1, 1000000));
    former.maximumDeadline = durationOption(options, "max-deadline", former.maximumDeadline);
    return former;
}

} // namespace

int putClass(const command_context &context)
{
    const class_name wanted(context.onlyWord("the name of the class"));
    control_caller caller = context.caller();
    const configuration current = caller.showState().current;
    const work_class *const former = current.find(wanted);
    if (former == nullptr && !context.options.has("rank"))
        throw error(result_code::command_line_invalid,
                    fmt::format("the class '{}' is new, so --rank is needed", wanted.text()));
    work_class fresh;
    fresh.name = wanted;
    change_request change;
    change.base = baseOf(context, current);
    change.putClasses = {applyClassOptions(former == nullptr ? fresh : *former, context.options)};
    return submit(context, caller, change);
}

int removeClass(const command_context &context)
{
    const class_name wanted(context.onlyWord("the name of the class"));
    control_caller caller = context.caller();
    change_request change;
    change.base = baseOf(context, caller.showState().current);
    change.removeClasses = {wanted};
    if (!context.options.has("yes")
        && !context.environment.confirm(
            fmt::format("Requests of class '{}' will be refused from now on. Remove it? [y/N] ",
                        wanted.text())))
        throw error(result_code::command_line_invalid, "not confirmed; nothing was changed");
    return submit(context, caller, change);
}

int planStop(const command_context &context)
{
    if (context.words.size() != 2)
        throw error(result_code::command_line_invalid,
                    "give the scope (upstream, host, zone or region) and the subject");
    planned_stop stop;
    stop.scope = parseScope(context.words[0]);
    stop.subject = context.words[1];
    if (stop.scope == stop_scope::zone && stop.subject.find('/') == std::string::npos)
        throw error(result_code::command_line_invalid,
                    "an availability zone is given as REGION/ZONE");
    static_cast<void>(context.options.required("for"));
    stop.id = stop_id(context.options.text("id", "stop-" + context.environment.drawId()));
    stop.start = parseTime(context.options.text("start", "now"), context.environment.now());
    stop.end = stop.start + durationOption(context.options, "for", milliseconds(0));
    control_caller caller = context.caller();
    change_request change;
    change.base = baseOf(context, caller.showState().current);
    change.planStops = {stop};
    if (!context.options.has("json"))
        context.environment.print(fmt::format("stop id {}\n", stop.id.text()));
    return submit(context, caller, change);
}

int withdrawStop(const command_context &context)
{
    const stop_id wanted(context.onlyWord("the id of the stop"));
    control_caller caller = context.caller();
    change_request change;
    change.base = baseOf(context, caller.showState().current);
    change.withdrawStops = {wanted};
    return submit(context, caller, change);
}

} // namespace kingcuptiller::internal
