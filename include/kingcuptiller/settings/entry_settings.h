#pragma once

#include "kingcuptiller/settings/settings_reader.h"
#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace kingcuptiller {

// The settings of one kingcuptiller-entry, checked as a whole before anything starts. Sample files
// are in docs/examples/. The comment of each member gives its section and key.
struct entry_settings
{
    host_id host; // [host] id
    region_name region; // [host] region
    zone_name zone; // [host] zone
    // Where clients, upstreams and operators reach this host over HTTP. [host] listen
    endpoint_address listen;
    // What look-up answers say, by default `listen`. [host] advertise
    endpoint_address advertised;

    // The RPC addresses of all control hosts, "id=IP:port, ...". [control] hosts
    std::vector<host_address> controlHosts;

    // Requests in flight to upstreams at once. [limits] concurrency
    std::uint32_t concurrency = 512;
    // Requests that wait, for each class of work. [limits] queue
    std::uint32_t queueLength = 256;
    // [limits] request_body
    std::size_t requestBodyLimit = 1024UL * 1024;
    // [limits] answer_body
    std::size_t answerBodyLimit = 8UL * 1024 * 1024;
    // How long clients may keep a look-up answer. [limits] lookup_lifetime
    milliseconds lookupLifetime{5000};
    // Threads that serve clients and upstreams. [limits] traffic_threads
    std::uint32_t trafficThreads = 8;

    // The most traffic that may move between regions in one interval. [steering] shift_cap_percent
    std::uint32_t shiftCapPercent = 20;
    // Link of each pair of regions in each direction, in Mbit/s. [steering] link_mbit
    std::uint32_t linkMegabits = 4000;
    // Time in which a new upstream's usable slots grow to its limit. [steering] warm_up
    milliseconds warmUp{10000};

    // PEM files; TLS is on when both are given. [tls] certificate, [tls] key
    std::string tlsCertificate;
    std::string tlsKey;

    // debug, info, warning or error. [log] level
    log_level logLevel = log_level::info;

    // Every setting with its source, for --check.
    std::vector<effective_setting> effective;
};

// Throws `error` with `settings_invalid`; the message names file, section and key.
[[nodiscard]] entry_settings loadEntrySettings(const std::string &path);

// As above for text that is already read; `path` serves for messages and sources.
[[nodiscard]] entry_settings parseEntrySettings(const std::string &path, const std::string &text);

} // namespace kingcuptiller
