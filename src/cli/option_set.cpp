#include "kingcuptiller/cli/option_set.h"

#include "kingcuptiller/values/error.h"

#include <fmt/format.h>
#include <popt.h>

#include <charconv>
#include <cstdlib>
#include <memory>

namespace kingcuptiller {

namespace {

using popt_handle =
    std::unique_ptr<std::remove_pointer_t<poptContext>, poptContext (*)(poptContext)>;

[[noreturn]] void refuse(const std::string &reason)
{
    throw error(result_code::command_line_invalid, reason + "; --help shows the options");
}

} // namespace

option_set::option_set(std::string usage)
    : m_usage(std::move(usage))
{
    flag("help", "print this text");
}

void option_set::value(const std::string &name, const std::string &placeholder,
                       const std::string &description)
{
    m_declarations.push_back({name, placeholder, description});
}

void option_set::flag(const std::string &name, const std::string &description)
{
    m_declarations.push_back({name, "", description});
}

void option_set::parse(const std::vector<std::string> &arguments)
{
    std::vector<poptOption> table;
    for (const declaration &each : m_declarations) {
        poptOption option{};
        option.longName = each.name.c_str();
        option.shortName = each.name == "help" ? '?' : '\0';
        option.argInfo = each.placeholder.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
        // popt returns this for the option; 0 would mean that it is not returned.
        option.val = static_cast<int>(table.size()) + 1;
        table.push_back(option);
    }
    table.push_back(poptOption{});
    std::vector<const char *> pointers{"program"};
    for (const std::string &each : arguments)
        pointers.push_back(each.c_str());
    pointers.push_back(nullptr);
    const popt_handle context(poptGetContext(nullptr, static_cast<int>(pointers.size()) - 1,
                                             pointers.data(), table.data(), 0),
                              poptFreeContext);
    int value = 0;
    while ((value = poptGetNextOpt(context.get())) > 0) {
        const std::unique_ptr<char, decltype(&std::free)> given(poptGetOptArg(context.get()),
                                                                std::free);
        m_values[m_declarations.at(static_cast<std::size_t>(value) - 1).name].emplace_back(
            given ? given.get() : "");
    }
    if (value < -1)
        refuse(fmt::format("{}: {}", poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                           poptStrerror(value)));
    while (const char *argument = poptGetArg(context.get()))
        m_arguments.emplace_back(argument);
}

bool option_set::has(const std::string &name) const
{
    return m_values.contains(name);
}

std::string option_set::text(const std::string &name, const std::string &fallback) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : found->second.back();
}

std::vector<std::string> option_set::all(const std::string &name) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? std::vector<std::string>() : found->second;
}

std::string option_set::required(const std::string &name) const
{
    if (!has(name))
        refuse("--" + name + " is missing");
    return text(name);
}

std::string option_set::help() const
{
    std::string result = m_usage + "\nOptions:\n";
    for (const declaration &each : m_declarations)
        result += fmt::format("  {:<26} {}\n", fmt::format("--{} {}", each.name, each.placeholder),
                              each.description);
    return result;
}

double parseNumberOption(const std::string &option, const std::string &text, double minimum,
                         double maximum)
{
    double number = 0;
    const char *const end = text.data() + text.size();
    const auto [rest, fault] = std::from_chars(text.data(), end, number, std::chars_format::fixed);
    if (fault != std::errc() || rest != end || !(number >= minimum && number <= maximum))
        refuse(fmt::format("--{}: '{}' is not a number from {} to {}", option, text, minimum,
                           maximum));
    return number;
}

} // namespace kingcuptiller
