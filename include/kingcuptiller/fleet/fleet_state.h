#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/result_code.h"
#include "kingcuptiller/values/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// State that the control hosts replicate among themselves: the operators' configuration, evacuated
// availability zones, the registered upstreams, and the entries.

namespace kingcuptiller {

// An upstream advances through these states in their order during one incarnation.
enum class upstream_state {
    serving,
    // Completes its current requests and accepts no new ones.
    draining,
    // Has ended. The 500 latest such records are kept, or two for each other upstream if that is
    // more, so that a delayed heartbeat of an ended incarnation does not register the upstream
    // again.
    terminated,
};

// One incarnation of an upstream, that is one run of it from its start to its end, with the
// contents of its latest replicated heartbeat.
struct upstream_incarnation
{
    upstream_id id;
    // Start of this incarnation in milliseconds since the Unix epoch; 0 if the upstream does not
    // report it.
    std::int64_t startTimeMs = 0;
    // Increases with each heartbeat of an incarnation.
    std::uint64_t sequence = 0;
    endpoint_address address;
    service_name service;
    zone_name zone;
    // Number of requests that the upstream can process concurrently.
    std::uint32_t slots = 1;
    upstream_state state = upstream_state::serving;
    // How long the upstream stays cold (just started, with empty caches), from the time of this
    // heartbeat.
    milliseconds coldRemaining{0};
    // Whether no heartbeat arrived within the timeout. The next heartbeat clears the flag.
    bool silent = false;

    auto operator<=>(const upstream_incarnation &) const = default;

    // Whether `other` belongs to a later incarnation of the upstream, or to a later heartbeat of
    // the same incarnation.
    [[nodiscard]] bool isOlderThan(const upstream_incarnation &other) const;
};

enum class entry_state {
    // Runs, but has no configuration yet and accepts no requests.
    joining,
    // Accepts requests.
    serving,
    // Accepts no requests any more, or sends no heartbeats. It may return at any moment.
    absent,
};

// An entry (a server that forwards client requests to upstreams). Entries divide what all of them
// may send together, for example to an upstream that has just started, by their number. So they
// have to know of each other before they serve and while one of them is started again.
struct fleet_entry
{
    // Address to which clients connect.
    endpoint_address address;
    region_name region;
    zone_name zone;
    entry_state state = entry_state::serving;

    auto operator<=>(const fleet_entry &) const = default;
};

// Replaces the configuration by a new version. `base` is the version that the operator changed to
// obtain it. `document` is kept as the operator sent it, so that it can be returned unchanged; its
// format is not known here, and those that use the configuration decode it.
struct configure_command
{
    revision_number version;
    revision_number base;
    std::string document;

    bool operator==(const configure_command &) const = default;
};

// Starts or ends the evacuation of an availability zone. Upstreams in an evacuated zone receive no
// new requests.
struct evacuate_command
{
    zone_name zone;
    // False to end the evacuation.
    bool evacuate = true;
    // `fleet_state::evacuationOrders` of the zone, read while the operator was waiting for the
    // answer to this order. An order that arrives after a newer one is recognized by it. Nothing in
    // commands of earlier versions, which are always applied.
    std::optional<std::uint64_t> precedingOrders = std::nullopt;

    bool operator==(const evacuate_command &) const = default;
};

// Changes of upstreams and entries that the leader learned from heartbeats or from their absence.
struct registration_command
{
    std::vector<upstream_incarnation> upstreams;
    std::vector<fleet_entry> addedEntries;
    std::vector<endpoint_address> removedEntries;

    bool operator==(const registration_command &) const = default;
};

using fleet_command = std::variant<configure_command, evacuate_command, registration_command>;

// JSON encoding of commands in the replicated log. `decodeFleetCommand` throws `error` with
// `message_malformed`.
[[nodiscard]] std::string encodeFleetCommand(const fleet_command &command);
[[nodiscard]] fleet_command decodeFleetCommand(std::string_view text);

// State machine of the replicated log. `apply` is deterministic and is called in log order on every
// control host.
class fleet_state
{
public:
    // Returns `revision_conflict` for a configuration that is not based on the current version or
    // does not increase the version, unless the same configuration was accepted earlier, and for an
    // evacuation order that another order for the zone has preceded. Returns `ok` for everything
    // else.
    result_code apply(const fleet_command &command);

    // Whether a configuration with this version and the same document was accepted earlier.
    [[nodiscard]] bool wasAccepted(const configure_command &command) const;

    // Number of commands applied so far, including those that changed nothing. Equal on all control
    // hosts that have applied the same part of the log.
    [[nodiscard]] std::uint64_t appliedCommands() const { return m_appliedCommands; }
    // Version of the current configuration; 0 before the first one.
    [[nodiscard]] revision_number version() const { return m_version; }
    // The current configuration as the operator sent it; empty before the first one.
    [[nodiscard]] const std::string &document() const { return m_document; }
    // Availability zones that are evacuated.
    [[nodiscard]] const std::set<zone_name> &evacuated() const { return m_evacuated; }
    // Number of evacuation orders for the zone that were applied so far, including those that
    // changed nothing. Orders carry no number of their own, so this one orders them.
    [[nodiscard]] std::uint64_t evacuationOrders(const zone_name &zone) const;
    // Upstreams in all states, including terminated ones.
    [[nodiscard]] const std::map<upstream_id, upstream_incarnation> &upstreams() const
    {
        return m_upstreams;
    }
    [[nodiscard]] const std::map<endpoint_address, fleet_entry> &entries() const
    {
        return m_entries;
    }

    // JSON encoding of the whole state.
    [[nodiscard]] std::string snapshot() const;
    // Replaces the state by a snapshot. Throws `error` with `message_malformed` and leaves the
    // state unchanged if the snapshot cannot be decoded.
    void restore(std::string_view text);

    bool operator==(const fleet_state &) const = default;

private:
    result_code applyCommand(const configure_command &command);
    result_code applyCommand(const evacuate_command &command);
    result_code applyCommand(const registration_command &command);
    // Stores `incarnation`, unless the stored one started later, or is the same one in a more
    // advanced state.
    void storeUpstream(const upstream_incarnation &incarnation);
    // Drops the upstreams that were terminated first, if there are too many.
    void dropTerminatedUpstreams();

    std::uint64_t m_appliedCommands = 0;
    revision_number m_version;
    std::string m_document;
    // Digests of all accepted documents by version, to recognise a configuration that is sent
    // again.
    std::map<revision_number, std::string> m_acceptedDigests;
    std::set<zone_name> m_evacuated;
    std::map<zone_name, std::uint64_t> m_evacuationOrders;
    std::map<upstream_id, upstream_incarnation> m_upstreams;
    // The number of the command that terminated each terminated upstream.
    std::map<upstream_id, std::uint64_t> m_terminatedAt;
    std::map<endpoint_address, fleet_entry> m_entries;
};

// JSON encodings. The decoding functions throw `error` with `message_malformed`.
[[nodiscard]] std::string encodeUpstreamIncarnation(const upstream_incarnation &incarnation);
[[nodiscard]] upstream_incarnation decodeUpstreamIncarnation(std::string_view text);
[[nodiscard]] std::string encodeFleetEntry(const fleet_entry &entry);
[[nodiscard]] fleet_entry decodeFleetEntry(std::string_view text);

} // namespace kingcuptiller
