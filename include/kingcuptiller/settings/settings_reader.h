#pragma once

#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kingcuptiller {

// One setting as it is in force, for --check.
struct effective_setting
{
    std::string section;
    std::string key;
    std::string value;
    // "FILE:LINE", or "default".
    std::string source;

    auto operator<=>(const effective_setting &) const = default;
};

// A host by id and by the "IP:port" at which the other hosts reach it.
struct host_address
{
    host_id host;
    endpoint_address address;

    auto operator<=>(const host_address &) const = default;
};

// "entry-1=10.0.0.1:7100, entry-2=..." as a list: at least one, ids and addresses unique. Throws
// std::invalid_argument with a sentence that says what is wrong.
[[nodiscard]] std::vector<host_address> parseHostAddresses(const std::string &text);

// Checks "IP:port" ("10.0.0.1:7100" or "[fd00::1]:7100"); throws std::invalid_argument. A name is
// refused because hosts must not depend on name resolution.
[[nodiscard]] endpoint_address parseEndpoint(const std::string &text);

// "200 ms", "2.5 s", "1 min" or "1 h"; throws std::invalid_argument without a unit.
[[nodiscard]] milliseconds parseDuration(const std::string &text);

// "512 B", "64 KiB", "8 MiB" or "1 GiB"; throws std::invalid_argument without a unit.
[[nodiscard]] std::uint64_t parseBytes(const std::string &text);

// A range that includes both ends.
template <typename T>
struct inclusive_range
{
    T minimum;
    T maximum;
};

// Reads one INI file key by key and keeps the source of each value. A loader asks for every key
// that it knows and ends with `finish`, which refuses what nobody asked for:
//
//     settings_reader reader(path, text);
//     settings.host = reader.identifier<host_id>("host", "id");
//     settings.warmUp = reader.duration("steering", "warm_up", "10 s", {seconds(0), minutes(10)});
//     settings.effective = reader.finish();
//
// All functions throw `error` with `settings_invalid`; the message names file, section and key.
// A key without a fallback must be in the file.
class settings_reader
{
public:
    // `path` serves for messages and sources only.
    settings_reader(std::string path, const std::string &text);

    [[nodiscard]] std::string text(const std::string &section, const std::string &key,
                                   const std::optional<std::string> &fallback = std::nullopt);

    // Lower-case letters, digits and hyphens, 1 to 64 characters.
    template <typename Identifier>
    [[nodiscard]] Identifier identifier(const std::string &section, const std::string &key)
    {
        return Identifier(identifierText(section, key));
    }

    [[nodiscard]] endpoint_address
    endpoint(const std::string &section, const std::string &key,
             const std::optional<std::string> &fallback = std::nullopt);
    [[nodiscard]] std::vector<host_address> hostAddresses(const std::string &section,
                                                          const std::string &key);
    [[nodiscard]] std::uint64_t number(const std::string &section, const std::string &key,
                                       std::uint64_t fallback,
                                       inclusive_range<std::uint64_t> range);
    [[nodiscard]] std::uint64_t bytes(const std::string &section, const std::string &key,
                                      const std::string &fallback,
                                      inclusive_range<std::uint64_t> range);
    [[nodiscard]] milliseconds duration(const std::string &section, const std::string &key,
                                        const std::string &fallback,
                                        inclusive_range<milliseconds> range);
    [[nodiscard]] log_level level(const std::string &section, const std::string &key);

    // Throws `settings_invalid` for this key, for rules that span several keys.
    [[noreturn]] void refuse(const std::string &section, const std::string &key,
                             const std::string &reason) const;

    // Refuses sections and keys that were not asked for; returns what is in force, in the order in
    // which it was asked for.
    [[nodiscard]] std::vector<effective_setting> finish() const;

private:
    // Section and key, in lower case as INIReader compares them.
    using setting_name = std::pair<std::string, std::string>;

    struct written_value
    {
        std::string value;
        std::size_t line = 0;
    };

    void collectNames(const std::string &text);
    [[nodiscard]] std::string identifierText(const std::string &section, const std::string &key);

    std::string m_path;
    std::map<setting_name, written_value> m_written;
    std::map<std::string, std::size_t> m_sections;
    std::vector<effective_setting> m_effective;
};

// The whole file as text; throws `settings_invalid` when it cannot be read or exceeds 64 KiB.
[[nodiscard]] std::string readSettingsText(const std::string &path);

// One line for each setting: "[section] key = value    (source)".
[[nodiscard]] std::string describeSettings(const std::vector<effective_setting> &settings);

} // namespace kingcuptiller
