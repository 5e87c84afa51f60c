#include "kingcuptiller/telemetry/counters.h"

#include <fmt/format.h>

namespace kingcuptiller {

namespace {

std::string escaped(const std::string &value)
{
    std::string result;
    for (const char character : value) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '"' || character == '\\')
            result += '\\';
        result += character;
    }
    return result;
}

std::string fullName(const std::string &name, const counter_labels &labels)
{
    if (labels.empty())
        return name;
    std::string list;
    for (const auto &[label, value] : labels)
        list += fmt::format("{}{}=\"{}\"", list.empty() ? "" : ",", label, escaped(value));
    return fmt::format("{}{{{}}}", name, list);
}

} // namespace

counter &counter_registry::get(const std::string &name, const counter_labels &labels)
{
    const std::string full = fullName(name, labels);
    const std::lock_guard lock(m_mutex);
    const auto found = m_byName.find(full);
    if (found != m_byName.end())
        return *found->second;
    counter &made = m_counters.emplace_back();
    m_byName.emplace(full, &made);
    return made;
}

std::string counter_registry::text() const
{
    const std::lock_guard lock(m_mutex);
    std::string result;
    for (const auto &[name, each] : m_byName)
        result += fmt::format("{} {}\n", name, each->value());
    return result;
}

} // namespace kingcuptiller
