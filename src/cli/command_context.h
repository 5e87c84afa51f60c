#pragma once

#include "kingcuptiller/cli/control_caller.h"
#include "kingcuptiller/cli/operator_command.h"
#include "kingcuptiller/cli/option_set.h"

#include <json/value.h>

#include <string>
#include <vector>

namespace kingcuptiller::internal {

// What one command works with.
struct command_context
{
    const operator_environment &environment;
    const option_set &options;
    // The command's own words, such as {"payments"} of "class put payments".
    std::vector<std::string> words;

    [[nodiscard]] control_caller caller() const;
    // Prints the document with --json, otherwise the text.
    void show(const Json::Value &document, const std::string &text) const;
    // The only word; throws `error` with command_line_invalid when there are none or more.
    [[nodiscard]] std::string onlyWord(const std::string &what) const;
    void requireNoWords() const;
};

using command_function = int (*)(const command_context &context);

int putClass(const command_context &context);
int removeClass(const command_context &context);
int listClasses(const command_context &context);
int planStop(const command_context &context);
int withdrawStop(const command_context &context);
int listStops(const command_context &context);
int showState(const command_context &context);
int showHosts(const command_context &context);
int showUpstreams(const command_context &context);
int explain(const command_context &context);
int showReport(const command_context &context);
int showCodes(const command_context &context);

} // namespace kingcuptiller::internal
