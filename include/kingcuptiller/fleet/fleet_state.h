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

// What the control hosts of a fleet agree on: the operators' configuration, zones that are being
// emptied, the upstreams that announced themselves, and the entries that serve.

namespace kingcuptiller {

enum class upstream_state {
    serving,
    // Finishes its requests and takes no new ones.
    draining,
    // Ended. Kept for a while, so that late announcements of the same lifetime do not bring it
    // back.
    terminated,
};

// One lifetime of an upstream as it announced itself.
struct upstream_incarnation
{
    upstream_id id;
    // When this lifetime began, in milliseconds since 1970; 0 when the upstream does not tell.
    std::int64_t startTimeMs = 0;
    // Grows with each announcement of a lifetime.
    std::uint64_t sequence = 0;
    endpoint_address address;
    service_name service;
    zone_name zone;
    std::uint32_t slots = 1;
    upstream_state state = upstream_state::serving;
    // How long the upstream stays cold, counted from this announcement.
    milliseconds coldRemaining{0};
    // Not heard for some time; the next announcement ends that.
    bool silent = false;

    auto operator<=>(const upstream_incarnation &) const = default;

    // Whether `other` is a later word about the same upstream, or about its next lifetime.
    [[nodiscard]] bool isOlderThan(const upstream_incarnation &other) const;
};

// An entry that clients may use.
struct serving_entry
{
    // Where clients reach it.
    endpoint_address address;
    region_name region;
    zone_name zone;

    auto operator<=>(const serving_entry &) const = default;
};

// A new version of the configuration. `document` is kept as the operator sent it, so that it can be
// handed back unchanged; `platform` adapters and entries decode it.
struct configure_command
{
    revision_number version;
    revision_number base;
    std::string document;

    bool operator==(const configure_command &) const = default;
};

struct evacuate_command
{
    zone_name zone;
    // False when the zone is taken back into use.
    bool evacuate = true;

    bool operator==(const evacuate_command &) const = default;
};

// Changes of upstreams and entries that the leader saw.
struct registration_command
{
    std::vector<upstream_incarnation> upstreams;
    std::vector<serving_entry> addedEntries;
    std::vector<endpoint_address> removedEntries;

    bool operator==(const registration_command &) const = default;
};

using fleet_command = std::variant<configure_command, evacuate_command, registration_command>;

// Text form in the log. `decodeFleetCommand` throws `error` with `message_malformed`.
[[nodiscard]] std::string encodeFleetCommand(const fleet_command &command);
[[nodiscard]] fleet_command decodeFleetCommand(std::string_view text);

// The replicated state. `apply` is deterministic and is called in log order on every control host.
class fleet_state
{
public:
    // `revision_conflict` when a configuration builds on another version than the current one and
    // is not one that was accepted before; `ok` otherwise.
    result_code apply(const fleet_command &command);

    // Whether exactly this document was accepted under this version.
    [[nodiscard]] bool wasAccepted(const configure_command &command) const;

    // Commands that were applied; the same on all control hosts that applied the same ones.
    [[nodiscard]] std::uint64_t appliedCommands() const { return m_appliedCommands; }
    [[nodiscard]] revision_number version() const { return m_version; }
    // Empty before the first configuration.
    [[nodiscard]] const std::string &document() const { return m_document; }
    [[nodiscard]] const std::set<zone_name> &evacuated() const { return m_evacuated; }
    [[nodiscard]] const std::map<upstream_id, upstream_incarnation> &upstreams() const
    {
        return m_upstreams;
    }
    [[nodiscard]] const std::map<endpoint_address, serving_entry> &entries() const
    {
        return m_entries;
    }

    [[nodiscard]] std::string snapshot() const;
    // Throws `error` with `message_malformed`.
    void restore(std::string_view text);

    bool operator==(const fleet_state &) const = default;

private:
    result_code applyCommand(const configure_command &command);
    result_code applyCommand(const evacuate_command &command);
    result_code applyCommand(const registration_command &command);
    void storeUpstream(const upstream_incarnation &incarnation);

    std::uint64_t m_appliedCommands = 0;
    revision_number m_version;
    std::string m_document;
    // The digests of all accepted configurations, so that a resent one is recognised.
    std::map<revision_number, std::string> m_accepted;
    std::set<zone_name> m_evacuated;
    std::map<upstream_id, upstream_incarnation> m_upstreams;
    std::map<endpoint_address, serving_entry> m_entries;
};

[[nodiscard]] std::string encodeUpstreamIncarnation(const upstream_incarnation &incarnation);
[[nodiscard]] upstream_incarnation decodeUpstreamIncarnation(std::string_view text);
[[nodiscard]] std::string encodeServingEntry(const serving_entry &entry);
[[nodiscard]] serving_entry decodeServingEntry(std::string_view text);

} // namespace kingcuptiller
