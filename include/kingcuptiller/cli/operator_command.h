#pragma once

#include "kingcuptiller/cli/control_caller.h"
#include "kingcuptiller/values/time.h"

#include <functional>
#include <string>
#include <vector>

namespace kingcuptiller {

// What the operators' command line needs from outside, as hooks, so that it runs without a network
// in tests.
struct operator_environment
{
    control_call_hook callControl;
    // The body of GET http://ADDRESS/PATH; throws `error`.
    std::function<std::string(const endpoint_address &address, const std::string &path)> fetch;
    std::function<wall_time()> now;
    std::function<void(milliseconds)> pause;
    // A new random id.
    std::function<std::string()> drawId;
    // Asks the operator; true means yes.
    std::function<bool(const std::string &question)> confirm;
    std::function<void(const std::string &text)> print;
    std::function<void(const std::string &text)> printError;
};

// Runs one command of the program kingcuptiller; `arguments` does not include the program's name.
// Returns the exit status, exitStatus() of the result. Throws nothing of its own.
[[nodiscard]] int runOperatorCommand(const std::vector<std::string> &arguments,
                                     const operator_environment &environment);

} // namespace kingcuptiller
