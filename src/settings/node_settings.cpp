#include "kingcuptiller/settings/node_settings.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace kingcuptiller {

namespace {

constexpr double mostRetryShare = 10;
constexpr std::uint64_t leastMemory = std::uint64_t{16} * 1024 * 1024;
constexpr std::uint64_t mostMemory = std::uint64_t{1024} * 1024 * 1024 * 1024;
constexpr long mostDescriptors = 100'000'000;
constexpr const char *whiteSpace = " \t\r\n";
constexpr double mostRetrySlack = 1'000'000;
constexpr double mostQuotaOverage = 10;
constexpr double mostQuotaSlack = 1'000'000;

std::vector<std::string> parts(const std::string &text, char separator)
{
    std::vector<std::string> result;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const std::size_t end = std::min(text.find(separator, begin), text.size());
        std::string part = text.substr(begin, end - begin);
        part.erase(0, part.find_first_not_of(whiteSpace));
        part.erase(part.find_last_not_of(whiteSpace) + 1);
        if (!part.empty())
            result.push_back(part);
        begin = end + 1;
    }
    return result;
}

std::optional<endpoint_address> optionalEndpoint(settings_reader &reader, const std::string &key)
{
    const std::string text = reader.text("listen", key, "");
    if (text.empty())
        return std::nullopt;
    try {
        return parseEndpoint(text);
    } catch (const std::invalid_argument &failure) {
        reader.refuse("listen", key, failure.what());
    }
}

double decimal(settings_reader &reader, const std::string &section, const std::string &key,
               double fallback, double most)
{
    const std::string text = reader.text(section, key, std::to_string(fallback));
    try {
        std::size_t used = 0;
        const double value = std::stod(text, &used);
        if (used == text.size() && std::isfinite(value) && value >= 0 && value <= most)
            return value;
    } catch (const std::logic_error &) {
        reader.refuse(section, key, "'" + text + "' is not a number");
    }
    reader.refuse(section, key, "'" + text + "' is out of range");
}

std::map<zone_name, region_name> zonesIn(settings_reader &reader)
{
    std::map<zone_name, region_name> zones;
    for (const std::string &pair : parts(reader.text("places", "zones"), ',')) {
        const std::size_t equals = pair.find('=');
        if (equals == std::string::npos || equals == 0 || equals + 1 == pair.size())
            reader.refuse("places", "zones", "'" + pair + "' is not zone=region");
        zones.emplace(zone_name(pair.substr(0, equals)), region_name(pair.substr(equals + 1)));
    }
    return zones;
}

// Seeds are given by the address of a service on them; only the host matters.
std::vector<host_id> seedsIn(settings_reader &reader)
{
    std::vector<host_id> seeds;
    for (const std::string &each : parts(reader.text("control", "seeds"), ',')) {
        const host_id host(each.substr(0, each.rfind(':')));
        if (std::find(seeds.begin(), seeds.end(), host) == seeds.end())
            seeds.push_back(host);
    }
    if (seeds.empty())
        reader.refuse("control", "seeds", "at least one control host is needed");
    return seeds;
}

bool flag(settings_reader &reader, const std::string &section, const std::string &key)
{
    const std::string text = reader.text(section, key, "false");
    if (text != "true" && text != "false")
        reader.refuse(section, key, "'" + text + "' is neither true nor false");
    return text == "true";
}

} // namespace

node_settings parseNodeSettings(const std::string &path, const std::string &text)
{
    settings_reader reader(path, text);
    node_settings settings;
    settings.name = reader.text("host", "name");
    settings.host = host_id(reader.text("host", "address"));
    settings.zone = zone_name(reader.text("host", "zone"));
    settings.region = region_name(reader.text("host", "region"));
    settings.zones = zonesIn(reader);
    settings.zones.emplace(settings.zone, settings.region);
    settings.traffic = optionalEndpoint(reader, "traffic");
    settings.ready = optionalEndpoint(reader, "ready");
    settings.control = optionalEndpoint(reader, "control");
    settings.directory = optionalEndpoint(reader, "directory");
    settings.metrics = optionalEndpoint(reader, "metrics");
    settings.internalPort =
        static_cast<unsigned short>(reader.number("listen", "internal_port", 0, {1, 65'535}));
    settings.seeds = seedsIn(reader);
    settings.founding = flag(reader, "control", "founding");
    settings.dataFolder = reader.text("control", "data_folder", "");
    if (settings.control && settings.dataFolder.empty())
        reader.refuse("control", "data_folder", "a control host needs a data folder");
    settings.memoryBytes = reader.bytes("process", "memory", "256 MiB", {leastMemory, mostMemory});
    settings.descriptors =
        static_cast<std::size_t>(reader.number("process", "descriptors", 0, {0, mostDescriptors}));
    settings.shutdownLimit = reader.duration("process", "shutdown_limit", "6 s",
                                             {milliseconds(500), milliseconds(600'000)});
    const inclusive_range<milliseconds> lifetimes{milliseconds(100), milliseconds(600'000)};
    settings.directoryLifetime =
        std::min(reader.duration("directory", "lifetime", "2 s", lifetimes),
                 reader.duration("directory", "longest_lifetime", "600 s", lifetimes));
    settings.retryShare = decimal(reader, "retries", "share", 0.2, mostRetryShare);
    settings.retrySlack = decimal(reader, "retries", "slack", 64, mostRetrySlack);
    settings.retryWindow =
        reader.duration("retries", "window", "10 s", {milliseconds(100), milliseconds(600'000)});
    settings.largestShift = decimal(reader, "steering", "largest_shift", 0.15, 1);
    if (settings.largestShift <= 0)
        reader.refuse("steering", "largest_shift", "requests could never leave a region");
    settings.shiftWindow = reader.duration("steering", "shift_window", "2 s",
                                           {milliseconds(100), milliseconds(60'000)});
    settings.strictRevocation = flag(reader, "accounts", "revocation_strict");
    settings.revocationLimit = reader.duration("accounts", "revocation_limit", "5 s",
                                               {milliseconds(100), milliseconds(600'000)});
    settings.quota.window = reader.duration("accounts", "quota_window", "5 s",
                                            {milliseconds(100), milliseconds(600'000)});
    settings.quota.overage = decimal(reader, "accounts", "quota_overage", 0.1, mostQuotaOverage);
    settings.quota.slack = decimal(reader, "accounts", "quota_slack", 20, mostQuotaSlack);
    settings.logLevel = reader.level("process", "log_level");
    settings.effective = reader.finish();
    return settings;
}

node_settings loadNodeSettings(const std::string &path)
{
    return parseNodeSettings(path, readSettingsText(path));
}

} // namespace kingcuptiller
