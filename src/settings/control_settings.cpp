#include "kingcuptiller/settings/control_settings.h"

#include <algorithm>

namespace kingcuptiller {

namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

void readHost(settings_reader &reader, control_settings &settings)
{
    settings.host = reader.identifier<host_id>("host", "id");
    settings.region = reader.identifier<region_name>("host", "region");
    settings.zone = reader.identifier<zone_name>("host", "zone");
    settings.rpcListen = reader.endpoint("host", "rpc_listen");
    settings.httpListen = reader.endpoint("host", "http_listen");
    if (settings.httpListen == settings.rpcListen)
        reader.refuse("host", "http_listen", "the address is the same as rpc_listen");
    settings.peers = reader.hostAddresses("peers", "hosts");
    // An even number tolerates no more losses than the odd number below it.
    if (settings.peers.size() % 2 == 0 || settings.peers.size() > 7)
        reader.refuse("peers", "hosts", "the number of control hosts must be 1, 3, 5 or 7");
    if (std::none_of(settings.peers.begin(), settings.peers.end(),
                     [&](const host_address &each) { return each.host == settings.host; }))
        reader.refuse("peers", "hosts", "this host's own id is not in the list");
    settings.dataFolder = reader.text("storage", "folder");
    if (settings.dataFolder.empty())
        reader.refuse("storage", "folder", "the path is empty");
}

void readTiming(settings_reader &reader, control_settings &settings)
{
    settings.heartbeat =
        reader.duration("timing", "heartbeat", "100 ms", {milliseconds(10), seconds(10)});
    settings.electionMinimum =
        reader.duration("timing", "election_minimum", "500 ms", {milliseconds(50), minutes(1)});
    settings.electionMaximum =
        reader.duration("timing", "election_maximum", "900 ms", {milliseconds(50), minutes(1)});
    settings.entryLease =
        reader.duration("timing", "entry_lease", "2500 ms", {milliseconds(500), minutes(1)});
    // One lost heartbeat must not start an election.
    if (settings.electionMinimum < 3 * settings.heartbeat)
        reader.refuse("timing", "election_minimum", "must be at least three heartbeats");
    if (settings.electionMaximum <= settings.electionMinimum)
        reader.refuse("timing", "election_maximum", "must be above election_minimum");
    // Entries would stop serving at each election otherwise.
    if (settings.entryLease <= 2 * settings.electionMaximum)
        reader.refuse("timing", "entry_lease", "must be above twice election_maximum");
}

void readLedger(settings_reader &reader, control_settings &settings)
{
    settings.ledgerRetention =
        reader.duration("ledger", "retention", "1 h", {minutes(1), hours(24)});
    settings.ledgerRecords = static_cast<std::uint32_t>(
        reader.number("ledger", "records", settings.ledgerRecords, {100, 10000000}));
    settings.ledgerBodyBudget =
        reader.bytes("ledger", "body_budget", "64 MiB", {0, 1024ULL * 1024 * 1024});
}

} // namespace

control_settings parseControlSettings(const std::string &path, const std::string &text)
{
    settings_reader reader(path, text);
    control_settings settings;
    readHost(reader, settings);
    readTiming(reader, settings);
    readLedger(reader, settings);
    settings.logLevel = reader.level("log", "level");
    settings.effective = reader.finish();
    return settings;
}

control_settings loadControlSettings(const std::string &path)
{
    return parseControlSettings(path, readSettingsText(path));
}

} // namespace kingcuptiller
