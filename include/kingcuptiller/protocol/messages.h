#pragma once

#include "kingcuptiller/values/configuration.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/result_code.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// The messages between the system's own processes, as values. protocol/codec.h turns them into JSON
// and back. Every call is safe to repeat: claims are matched by attempt, settlements by key and
// attempt, changes by change id, and syncs replace the sender's former one.

namespace kingcuptiller {

// What an upstream says of itself when it announces itself to an entry. `load` is its own estimate
// of its use, 0 (idle) to 1 (all slots taken); it may lag or mislead.
struct upstream_announcement
{
    upstream_id id;
    incarnation_id incarnation;
    endpoint_address address;
    region_name region;
    zone_name zone;
    class_name workClass;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    double load = 0;
    // How long the announcement holds without a renewal.
    milliseconds lifetime{3000};
    // A leaving upstream takes no new work; the last announcement before it withdraws says so.
    bool leaving = false;

    bool operator==(const upstream_announcement &) const = default;
};

// An entry host's process. The incarnation is drawn at each start.
struct entry_identity
{
    host_id host;
    incarnation_id incarnation;
    endpoint_address address;
    region_name region;
    zone_name zone;

    auto operator<=>(const entry_identity &) const = default;
};

// Requests that an entry has in flight at one upstream.
struct upstream_usage
{
    upstream_id id;
    incarnation_id incarnation;
    std::uint32_t inFlight = 0;

    auto operator<=>(const upstream_usage &) const = default;
};

// What clients asked of an entry since its former sync, for planning slot shares.
struct class_demand
{
    class_name workClass;
    // Smoothed number of requests that were in flight or waiting at once.
    double concurrency = 0;
    // Requests a second, smoothed.
    double arrivalsPerSecond = 0;

    auto operator<=>(const class_demand &) const = default;
};

// The part of a class's requests from clients in `origin` that went to `destination` in the last
// whole interval of the shift limiter, in thousandths of requests.
struct region_flow
{
    class_name workClass;
    region_name origin;
    region_name destination;
    std::uint64_t forwarded = 0;

    auto operator<=>(const region_flow &) const = default;
};

// Counts of finished requests of one class and client region since the entry's start.
struct service_counts
{
    class_name workClass;
    region_name origin;
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    // `refused` and `unknown` by result code, as pairs of equal position.
    std::vector<result_code> codes;
    std::vector<std::uint64_t> codeCounts;

    bool operator==(const service_counts &) const = default;
};

struct entry_sync_request
{
    entry_identity entry;
    bool leaving = false;
    revision_number appliedRevision;
    assignment_sequence appliedAssignment;
    std::vector<upstream_usage> usage;
    std::vector<class_demand> demand;
    std::vector<region_flow> flows;
    std::vector<service_counts> service;
    // Announcements and withdrawals that the entry received since its last answered sync.
    std::vector<upstream_announcement> announcements;
    std::vector<upstream_id> withdrawals;

    bool operator==(const entry_sync_request &) const = default;
};

// One upstream as an entry may use it.
struct upstream_assignment
{
    upstream_id id;
    incarnation_id incarnation;
    endpoint_address address;
    region_name region;
    zone_name zone;
    class_name workClass;
    // The most requests that this entry may have in flight at the upstream.
    std::uint32_t limit = 0;
    // The most connections that this entry may hold to the upstream.
    std::uint32_t connectionLimit = 0;
    // True while the upstream leaves or lies in the scope of a planned stop: no new work.
    bool leaving = false;
    // Time since registration, for warming up.
    milliseconds age{0};

    bool operator==(const upstream_assignment &) const = default;
};

struct upstream_load
{
    upstream_id id;
    double load = 0;
    // Time since control received this report.
    milliseconds age{0};

    auto operator<=>(const upstream_load &) const = default;
};

// An entry as it may appear in look-up answers.
struct entry_listing
{
    entry_identity entry;
    // Only serving entries are given to clients.
    bool serving = false;

    auto operator<=>(const entry_listing &) const = default;
};

struct entry_sync_response
{
    epoch_number epoch;
    // Counted by the entry from the time at which it sent the sync.
    milliseconds lease{0};
    revision_number revision;
    // Only when `revision` is newer than the entry's.
    std::optional<configuration> newConfiguration;
    assignment_sequence assignment;
    // Only when `assignment` is newer than the entry's: the whole list.
    std::optional<std::vector<upstream_assignment>> newAssignments;
    std::vector<entry_listing> entries;
    std::vector<upstream_load> loads;
    // Region flows summed over the fleet, the baseline of an entry that has just started.
    std::vector<region_flow> flows;
    // A leaving entry may stop: its removal is in force everywhere.
    bool released = false;

    bool operator==(const entry_sync_response &) const = default;
};

// An upstream's recorded answer to a non-idempotent request.
struct recorded_answer
{
    std::uint16_t status = 0;
    std::string contentType;
    // Raw bytes; base64 in JSON.
    std::string body;
    // The body was dropped to keep the ledger within its size.
    bool bodyDropped = false;

    bool operator==(const recorded_answer &) const = default;
};

struct claim
{
    request_key key;
    class_name workClass;
    wall_time issueTime;
    body_hash bodyHash;
    attempt_id attempt;
    host_id entry;
    incarnation_id entryIncarnation;
    // Time that is left to the request's deadline when the claim is sent.
    milliseconds deadline{0};

    bool operator==(const claim &) const = default;
};

// `code` is ok when the claim was granted, otherwise a refusal of the ledger.
struct claim_answer
{
    attempt_id attempt;
    result_code code = result_code::ok;
    std::optional<recorded_answer> answer;

    bool operator==(const claim_answer &) const = default;
};

enum class settlement_kind {
    // The upstream ran the request; `answer` is recorded.
    completed,
    // Nothing was sent, or the upstream said that it did not run this attempt.
    released,
};

struct settlement
{
    request_key key;
    attempt_id attempt;
    settlement_kind kind = settlement_kind::released;
    std::optional<recorded_answer> answer;

    bool operator==(const settlement &) const = default;
};

// An operator's change: all of it is accepted or none.
struct change_request
{
    change_id id;
    revision_number base;
    std::vector<work_class> putClasses;
    std::vector<class_name> removeClasses;
    std::vector<planned_stop> planStops;
    std::vector<stop_id> withdrawStops;

    bool operator==(const change_request &) const = default;
};

// `code` is ok when the change is accepted and in force everywhere. `revision` is the revision that
// the change made, or the current one when it was refused.
struct change_answer
{
    result_code code = result_code::ok;
    revision_number revision;
    std::string message;

    bool operator==(const change_answer &) const = default;
};

// What `show_state` tells operators.
struct entry_report
{
    entry_listing listing;
    revision_number appliedRevision;
    // Zero when the lease has run out.
    milliseconds leaseLeft{0};

    bool operator==(const entry_report &) const = default;
};

struct upstream_report
{
    upstream_announcement announcement;
    std::uint32_t grantedSlots = 0;
    milliseconds lastHeard{0};

    bool operator==(const upstream_report &) const = default;
};

struct replica_report
{
    host_id host;
    incarnation_id incarnation;
    // "leader", "follower", "learner" or "unreachable".
    std::string role;
    log_index matched;

    bool operator==(const replica_report &) const = default;
};

// Something that the fleet did by itself or that an operator did, for the report.
struct fleet_event
{
    wall_time time;
    // Short and stable, such as "replica_repaired" or "stop_started".
    std::string kind;
    std::string detail;

    bool operator==(const fleet_event &) const = default;
};

struct state_report
{
    host_id leader;
    epoch_number epoch;
    log_index committed;
    configuration current;
    std::vector<entry_report> entries;
    std::vector<upstream_report> upstreams;
    std::vector<replica_report> replicas;
    std::vector<fleet_event> events;
    std::vector<service_counts> service;

    bool operator==(const state_report &) const = default;
};

} // namespace kingcuptiller
