#pragma once

#include "kingcuptiller/accounts/account_quota_pool.h"
#include "kingcuptiller/settings/settings_reader.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcuptiller {

// The settings of one process of a fleet whose hosts find each other from a few seeds.
struct node_settings
{
    std::string name;
    // The IP address at which the other hosts reach this one.
    host_id host;
    zone_name zone;
    region_name region;
    // All zones of the deployment and their regions.
    std::map<zone_name, region_name> zones;

    // Where this process listens; those that it does not serve are absent.
    std::optional<endpoint_address> traffic;
    std::optional<endpoint_address> ready;
    std::optional<endpoint_address> control;
    std::optional<endpoint_address> directory;
    // Counters and latency histograms as text.
    std::optional<endpoint_address> metrics;
    // Control hosts listen here for each other and for entries; the same on all hosts.
    unsigned short internalPort = 0;

    std::vector<host_id> seeds;
    // The whole system starts for the first time.
    bool founding = false;
    // Control hosts only.
    std::string dataFolder;

    // The memory that the process may use; the platform ends a process that uses more.
    std::uint64_t memoryBytes = std::uint64_t{256} * 1024 * 1024;
    // The files that the process may open; 0 for the limit of the operating system.
    std::size_t descriptors = 0;
    // The time between SIGTERM and the end of the process at the latest.
    milliseconds shutdownLimit{6'000};
    // How long clients may keep an answer of the directory.
    milliseconds directoryLifetime{2'000};
    // Repeats that all entries together may send to a service in `retryWindow`: this share of its
    // requests plus the slack.
    double retryShare = 0.2;
    double retrySlack = 64;
    milliseconds retryWindow{10'000};
    // The most of a region's requests that may change their region from one window to the next.
    double largestShift = 0.15;
    milliseconds shiftWindow{2'000};

    // Whether an entry refuses requests that need the key of an account once it has heard nothing
    // from control for `revocationLimit`, because the key may have been revoked.
    bool strictRevocation = false;
    milliseconds revocationLimit{5'000};
    // What is promised about the rate limits of accounts.
    quota_tolerance quota;

    log_level logLevel = log_level::info;
    std::vector<effective_setting> effective;
};

// Reads and checks a file in INI format. Throws `error` with `settings_invalid`; the message names
// file, section and key.
[[nodiscard]] node_settings loadNodeSettings(const std::string &path);

// The same from text; `path` serves for messages.
[[nodiscard]] node_settings parseNodeSettings(const std::string &path, const std::string &text);

} // namespace kingcuptiller
