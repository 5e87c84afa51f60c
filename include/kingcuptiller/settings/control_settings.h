#pragma once

#include "kingcuptiller/settings/settings_reader.h"
#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kingcuptiller {

// The settings of one kingcuptiller-control, checked as a whole before anything starts. Sample
// files are in docs/examples/. The comment of each member gives its section and key.
struct control_settings
{
    host_id host; // [host] id
    region_name region; // [host] region
    zone_name zone; // [host] zone
    // JSON-RPC from entries, operators and the other control hosts. [host] rpc_listen
    endpoint_address rpcListen;
    // Metrics, health and report. [host] http_listen
    endpoint_address httpListen;

    // All control hosts with their RPC addresses, this one included. [peers] hosts
    std::vector<host_address> peers;

    // The one folder under which all files are kept. [storage] folder
    std::string dataFolder;

    milliseconds heartbeat{100}; // [timing] heartbeat
    // An election starts after a random time between these without a leader.
    milliseconds electionMinimum{500}; // [timing] election_minimum
    milliseconds electionMaximum{900}; // [timing] election_maximum
    // How long an entry may serve without hearing from control. [timing] entry_lease
    milliseconds entryLease{2500};

    // How long request keys are kept. [ledger] retention
    milliseconds ledgerRetention{3600 * 1000};
    // The most request keys that are kept. [ledger] records
    std::uint32_t ledgerRecords = 1000000;
    // The most bytes of recorded answers that are kept. [ledger] body_budget
    std::uint64_t ledgerBodyBudget = 64ULL * 1024 * 1024;

    // debug, info, warning or error. [log] level
    log_level logLevel = log_level::info;

    // Every setting with its source, for --check.
    std::vector<effective_setting> effective;
};

// Throws `error` with `settings_invalid`; the message names file, section and key.
[[nodiscard]] control_settings loadControlSettings(const std::string &path);

// As above for text that is already read; `path` serves for messages and sources.
[[nodiscard]] control_settings parseControlSettings(const std::string &path,
                                                    const std::string &text);

} // namespace kingcuptiller
