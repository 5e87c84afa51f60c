#include "command_context.h"

#include "kingcuptiller/cli/state_text.h"
#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/report/burn_report.h"
#include "kingcuptiller/values/error.h"

#include <fmt/format.h>

// The commands that only look.

namespace kingcuptiller::internal {

namespace {

constexpr std::size_t largestReport = 16UL * 1024 * 1024;

state_report readState(const command_context &context)
{
    context.requireNoWords();
    return context.caller().showState();
}

// One member of the state's JSON, so that scripts see the field names of the messages.
Json::Value memberOf(const state_report &state, const char *member)
{
    return toJson(state)[member];
}

} // namespace

int listClasses(const command_context &context)
{
    const state_report state = readState(context);
    context.show(toJson(state.current)["classes"], classesTable(state.current));
    return 0;
}

int listStops(const command_context &context)
{
    const state_report state = readState(context);
    context.show(toJson(state.current)["stops"],
                 stopsTable(state.current, context.environment.now()));
    return 0;
}

int showState(const command_context &context)
{
    const state_report state = readState(context);
    context.show(toJson(state), stateText(state, context.environment.now()));
    return 0;
}

int showHosts(const command_context &context)
{
    const state_report state = readState(context);
    Json::Value document(Json::objectValue);
    document["replicas"] = memberOf(state, "replicas");
    document["entries"] = memberOf(state, "entries");
    context.show(document, hostsTable(state));
    return 0;
}

int showUpstreams(const command_context &context)
{
    const state_report state = readState(context);
    context.show(memberOf(state, "upstreams"), upstreamsTable(state));
    return 0;
}

int explain(const command_context &context)
{
    const class_name wanted(context.onlyWord("the name of the class"));
    const state_report state = context.caller().showState();
    Json::Value document(Json::arrayValue);
    std::string text;
    for (const std::string &line : explainClass(state, wanted, context.environment.now())) {
        document.append(line);
        text += line + "\n";
    }
    context.show(document, text);
    return 0;
}

int showReport(const command_context &context)
{
    context.requireNoWords();
    endpoint_address from;
    try {
        from = parseEndpoint(context.options.required("from"));
    } catch (const std::invalid_argument &fault) {
        throw error(result_code::command_line_invalid, fmt::format("--from: {}", fault.what()));
    }
    const std::string body = context.environment.fetch(from, "/report?format=json");
    const Json::Value document = parseJson(body, largestReport);
    context.show(document, toTable(reportFromJson(document)));
    return 0;
}

int showCodes(const command_context &context)
{
    context.requireNoWords();
    Json::Value document(Json::arrayValue);
    std::string text = fmt::format("{:>4} {:>5}  {:<30}{}\n", "code", "exit", "name", "what to do");
    for (const result_code code : allResultCodes()) {
        Json::Value row(Json::objectValue);
        row["number"] = static_cast<int>(code);
        row["exitStatus"] = exitStatus(code);
        row["name"] = std::string(name(code));
        row["advice"] = std::string(advice(code));
        document.append(row);
        text += fmt::format("{:>4} {:>5}  {:<30}{}\n", static_cast<int>(code), exitStatus(code),
                            name(code), advice(code));
    }
    context.show(document, text);
    return 0;
}

} // namespace kingcuptiller::internal
