#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuptiller {

// A program's long options, read by popt. Each option takes a value unless it is declared a flag.
//
//     option_set options("stand-in-upstream");
//     options.value("slots", "N", "requests that run at once");
//     options.flag("json", "print JSON");
//     options.parse(arguments);
//     if (options.has("slots")) ...options.text("slots")...
//
// --help is always declared; its text is `usage` plus one line for each option.
class option_set
{
public:
    explicit option_set(std::string usage);

    void value(const std::string &name, const std::string &placeholder,
               const std::string &description);
    void flag(const std::string &name, const std::string &description);

    // Reads options and arguments in any order; "--" ends the options. `arguments` does not
    // include the program's name. Throws `error` with command_line_invalid for an unknown option
    // or a missing value.
    void parse(const std::vector<std::string> &arguments);

    [[nodiscard]] bool has(const std::string &name) const;
    // The last value given, or `fallback`.
    [[nodiscard]] std::string text(const std::string &name, const std::string &fallback = "") const;
    // Every value given, in order.
    [[nodiscard]] std::vector<std::string> all(const std::string &name) const;
    // As `text`, but throws `error` with command_line_invalid when the option is missing.
    [[nodiscard]] std::string required(const std::string &name) const;
    // What is left over, in order.
    [[nodiscard]] const std::vector<std::string> &arguments() const { return m_arguments; }

    [[nodiscard]] std::string help() const;

private:
    struct declaration
    {
        std::string name;
        std::string placeholder;
        std::string description;
    };

    std::string m_usage;
    std::deque<declaration> m_declarations;
    std::map<std::string, std::vector<std::string>> m_values;
    std::vector<std::string> m_arguments;
};

// A number in `text` from `minimum` to `maximum`; otherwise throws `error` with
// command_line_invalid that names `option`.
[[nodiscard]] double parseNumberOption(const std::string &option, const std::string &text,
                                       double minimum, double maximum);

} // namespace kingcuptiller
