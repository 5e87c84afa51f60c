#include "kingcuptiller/settings/settings_reader.h"

#include "kingcuptiller/values/error.h"

#include <INIReader.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <stdexcept>

namespace kingcuptiller {

namespace {

constexpr std::size_t largestFileBytes = 65536;
// libinih reads lines into a buffer of 200 bytes and cuts longer ones without a word.
constexpr std::size_t longestLine = 190;

std::string trimmed(const std::string &text)
{
    const auto isSpace = [](unsigned char each) { return std::isspace(each) != 0; };
    const auto first = std::find_if_not(text.begin(), text.end(), isSpace);
    const auto last = std::find_if_not(text.rbegin(), std::make_reverse_iterator(first), isSpace);
    return {first, last.base()};
}

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    return text;
}

bool isIdentifier(const std::string &text)
{
    return !text.empty() && text.size() <= 64
        && std::all_of(text.begin(), text.end(), [](unsigned char each) {
               return std::islower(each) != 0 || std::isdigit(each) != 0 || each == '-';
           });
}

[[noreturn]] void refuseFile(const std::string &path, std::size_t line, const std::string &reason)
{
    throw error(result_code::settings_invalid, fmt::format("{}:{}: {}", path, line, reason));
}

// Calls `parse` and turns a refusal of the text into one that names the setting.
template <typename Parse>
auto parsed(const settings_reader &reader, const std::string &section, const std::string &key,
            const std::string &value, Parse parse)
{
    try {
        return parse(value);
    } catch (const std::invalid_argument &fault) {
        reader.refuse(section, key, fault.what());
    }
}

std::uint64_t parseNumber(const std::string &text)
{
    if (text.empty() || text.size() > 18
        || !std::all_of(text.begin(), text.end(),
                        [](unsigned char each) { return std::isdigit(each) != 0; }))
        throw std::invalid_argument(fmt::format("'{}' is not a whole number without a unit", text));
    return std::stoull(text);
}

} // namespace

settings_reader::settings_reader(std::string path, const std::string &text)
    : m_path(std::move(path))
{
    collectNames(text);
    const INIReader reader(text.data(), text.size());
    if (reader.ParseError() != 0)
        refuseFile(m_path, static_cast<std::size_t>(std::max(reader.ParseError(), 0)),
                   "not a line of an INI file; write 'key = value' or '[section]'");
    for (auto &[setting, written] : m_written)
        written.value = trimmed(reader.Get(setting.first, setting.second, ""));
}

// INIReader keeps neither line numbers nor the list of keys, and joins the values of a key that is
// written twice. This pass finds the names, their lines and the repetitions.
void settings_reader::collectNames(const std::string &text)
{
    if (text.find('\0') != std::string::npos)
        refuseFile(m_path, 1, "the file contains a null byte");
    std::istringstream lines(text);
    std::string line;
    std::string section;
    for (std::size_t number = 1; std::getline(lines, line); ++number) {
        if (line.size() > longestLine)
            refuseFile(m_path, number,
                       "the line is longer than 190 bytes; indent its further lines");
        const std::string content = trimmed(line);
        if (content.empty() || content.front() == ';' || content.front() == '#')
            continue;
        if (content.front() == '[') {
            section = lowered(content.substr(1, content.find(']') - 1));
            m_sections.emplace(section, number);
            continue;
        }
        // libinih takes an indented line after a key as more of its value.
        const bool continues = std::isspace(static_cast<unsigned char>(line.front())) != 0;
        if (continues && !m_written.empty())
            continue;
        const std::string key = lowered(trimmed(content.substr(0, content.find_first_of("=:"))));
        if (!m_written.emplace(setting_name(section, key), written_value{"", number}).second)
            refuseFile(m_path, number, fmt::format("[{}] {} is given twice", section, key));
    }
}

std::string settings_reader::text(const std::string &section, const std::string &key,
                                  const std::optional<std::string> &fallback)
{
    const auto found = m_written.find({section, key});
    if (found == m_written.end()) {
        if (!fallback)
            refuse(section, key, "the setting is missing and has no default");
        m_effective.push_back({section, key, *fallback, "default"});
        return *fallback;
    }
    const written_value &written = found->second;
    m_effective.push_back(
        {section, key, written.value, fmt::format("{}:{}", m_path, written.line)});
    return written.value;
}

std::string settings_reader::identifierText(const std::string &section, const std::string &key)
{
    std::string value = text(section, key);
    if (!isIdentifier(value))
        refuse(section, key,
               fmt::format("'{}' must be 1 to 64 lower-case letters, digits and hyphens", value));
    return value;
}

endpoint_address settings_reader::endpoint(const std::string &section, const std::string &key,
                                           const std::optional<std::string> &fallback)
{
    return parsed(*this, section, key, text(section, key, fallback), parseEndpoint);
}

std::vector<host_address> settings_reader::hostAddresses(const std::string &section,
                                                         const std::string &key)
{
    return parsed(*this, section, key, text(section, key), parseHostAddresses);
}

std::uint64_t settings_reader::number(const std::string &section, const std::string &key,
                                      std::uint64_t fallback, inclusive_range<std::uint64_t> range)
{
    const std::string value = text(section, key, std::to_string(fallback));
    const std::uint64_t result = parsed(*this, section, key, value, parseNumber);
    if (result < range.minimum || result > range.maximum)
        refuse(section, key,
               fmt::format("{} is outside {} to {}", result, range.minimum, range.maximum));
    return result;
}

std::uint64_t settings_reader::bytes(const std::string &section, const std::string &key,
                                     const std::string &fallback,
                                     inclusive_range<std::uint64_t> range)
{
    const std::string value = text(section, key, fallback);
    const std::uint64_t result = parsed(*this, section, key, value, parseBytes);
    if (result < range.minimum || result > range.maximum)
        refuse(section, key,
               fmt::format("'{}' is outside {} B to {} B", value, range.minimum, range.maximum));
    return result;
}

milliseconds settings_reader::duration(const std::string &section, const std::string &key,
                                       const std::string &fallback,
                                       inclusive_range<milliseconds> range)
{
    const std::string value = text(section, key, fallback);
    const milliseconds result = parsed(*this, section, key, value, parseDuration);
    if (result < range.minimum || result > range.maximum)
        refuse(section, key,
               fmt::format("'{}' is outside {} ms to {} ms", value, range.minimum.count(),
                           range.maximum.count()));
    return result;
}

log_level settings_reader::level(const std::string &section, const std::string &key)
{
    const std::string value = text(section, key, "info");
    if (value == "debug")
        return log_level::debug;
    if (value == "info")
        return log_level::info;
    if (value == "warning")
        return log_level::warning;
    if (value == "error")
        return log_level::error;
    refuse(section, key, fmt::format("'{}' is none of debug, info, warning, error", value));
}

void settings_reader::refuse(const std::string &section, const std::string &key,
                             const std::string &reason) const
{
    const auto found = m_written.find({section, key});
    const std::string place =
        found == m_written.end() ? m_path : fmt::format("{}:{}", m_path, found->second.line);
    throw error(result_code::settings_invalid,
                fmt::format("{}: [{}] {}: {}", place, section, key, reason));
}

std::vector<effective_setting> settings_reader::finish() const
{
    std::set<std::string> knownSections;
    std::set<setting_name> knownSettings;
    for (const effective_setting &each : m_effective) {
        knownSections.insert(each.section);
        knownSettings.emplace(each.section, each.key);
    }
    for (const auto &[section, line] : m_sections) {
        if (!knownSections.contains(section))
            refuseFile(m_path, line, fmt::format("[{}]: unknown section", section));
    }
    for (const auto &[setting, written] : m_written) {
        if (!knownSettings.contains(setting))
            refuse(setting.first, setting.second, "unknown setting");
    }
    return m_effective;
}

std::string readSettingsText(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw error(result_code::settings_invalid, path + ": the file cannot be opened");
    std::string text(largestFileBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || (file.gcount() == 0 && !file.eof()))
        throw error(result_code::settings_invalid, path + ": the file cannot be read");
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > largestFileBytes)
        throw error(result_code::settings_invalid, path + ": the file is larger than 64 KiB");
    return text;
}

std::string describeSettings(const std::vector<effective_setting> &settings)
{
    std::string result;
    for (const effective_setting &each : settings) {
        std::string value = each.value;
        std::replace(value.begin(), value.end(), '\n', ' ');
        result +=
            fmt::format("{:<44} ({})\n", fmt::format("[{}] {} = {}", each.section, each.key, value),
                        each.source);
    }
    return result;
}

} // namespace kingcuptiller
