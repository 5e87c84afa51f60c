#pragma once

#include "kingcuptiller/protocol/messages.h"
#include "kingcuptiller/steering/choice_policy.h"
#include "kingcuptiller/steering/steering_index.h"
#include "kingcuptiller/steering/upstream_health.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuptiller::internal {

using upstream_index = std::uint32_t;

// Identifies the group of upstreams of one class of work in one region.
struct upstream_group_key
{
    class_index workClass = 0;
    region_index region = 0;

    auto operator<=>(const upstream_group_key &) const = default;
};

// An upstream selected for a request, with the expected latency of the request at that upstream.
struct picked_upstream
{
    upstream_index upstream = 0;
    microseconds expectedLatency{0};
    // True if the upstream was selected only to measure its latency again.
    bool isProbe = false;
};

// Constraints and parameters of the selection of an upstream for one request.
struct pick_criteria
{
    // An upstream that must not be selected, because it already has an attempt of this request in
    // flight or has just failed it.
    std::optional<upstream_index> excluded;
    // Expected latency of an upstream that has not been measured yet.
    microseconds priorLatency{0};
    // Whether the request may be executed more than once. An upstream that was not used for some
    // time receives a request to measure its latency again: an idempotent request after 10 s, any
    // other request after 30 s.
    bool idempotent = false;
};

// The upstreams of an entry with the number of the entry's own requests at each of them. Upstreams
// of one class in one region form a group. Each group keeps a list of upstreams with a free slot,
// and `pick` passes a random sample of at most `sampleSize` of them to the policy, so that its cost
// does not grow with the size of the group. Only if none in the sample can be used does `pick`
// examine the whole list.
class upstream_table
{
public:
    // `warmUp` is the time from the start of an upstream until it may receive requests up to its
    // full limit.
    explicit upstream_table(microseconds warmUp)
        : m_warmUp(warmUp)
    {
    }

    // Maximum number of upstreams examined in one sample.
    static constexpr std::size_t sampleSize = 32;

    // Replaces the list of upstreams. `groupKeys` has the class and region of each assignment, at
    // the same index.
    void apply(const std::vector<upstream_assignment> &assignments,
               const std::vector<upstream_group_key> &groupKeys, instant now);
    void applyLoads(const std::vector<upstream_load> &loads, instant now);

    // Selects an upstream of the group with a free slot; returns nothing if there is none. Ejected
    // upstreams are not considered.
    [[nodiscard]] std::optional<picked_upstream> pick(const upstream_group_key &group,
                                                      const pick_criteria &criteria,
                                                      const choice_policy &policy,
                                                      random_engine &engine, instant now);

    void take(upstream_index upstream, instant now);
    // Frees the slot of an attempt and records its result.
    void release(upstream_index upstream, const attempt_report &report, instant now);

    [[nodiscard]] const std::shared_ptr<const upstream_assignment> &
    assignment(upstream_index upstream) const
    {
        return m_records[upstream]->assignment;
    }
    [[nodiscard]] const upstream_group_key &groupKey(upstream_index upstream) const
    {
        return m_records[upstream]->groupKey;
    }

    // Number of listed upstreams of the group that accept new requests, including those whose limit
    // is currently 0. An upstream that is leaving (draining before it stops) is not counted.
    [[nodiscard]] std::size_t listedUpstreams(const upstream_group_key &group) const;
    // Sum of the limits of the listed upstreams of the group.
    [[nodiscard]] std::uint32_t slots(const upstream_group_key &group) const;
    // Returns true if an upstream of the class has a free slot in any region.
    [[nodiscard]] bool hasFreeSlot(class_index workClass) const;
    // Smoothed latency of attempts at upstreams of the group that were answered or timed out, or
    // `priorLatency` if there were none.
    [[nodiscard]] microseconds groupLatency(const upstream_group_key &group,
                                            microseconds priorLatency) const;
    // Number of this entry's requests in flight at the upstreams of the group.
    [[nodiscard]] std::uint32_t inFlight(const upstream_group_key &group) const;
    // One more than the highest index of a region in which the class has or had upstreams; 0 if
    // none.
    [[nodiscard]] std::size_t regionIndexEnd(class_index workClass) const;

    [[nodiscard]] std::vector<upstream_usage> usage() const;

private:
    struct record
    {
        std::shared_ptr<const upstream_assignment> assignment;
        upstream_group_key groupKey;
        upstream_health health;
        std::uint32_t inFlight = 0;
        // Number of this entry's requests in flight at all incarnations of this upstream; an
        // incarnation is one run of the upstream process. After a restart, requests may still run
        // in the previous incarnation, and the limit covers both.
        std::shared_ptr<std::uint32_t> inFlightAllIncarnations;
        std::uint64_t lastSelection = 0;
        instant lastUsed;
        instant startTime;
        // The smaller of the slot limit and the connection limit; 0 if the upstream is not listed
        // or is leaving (draining before it stops).
        std::uint32_t limit = 0;
        bool listed = false;
        // Index in the `freeUpstreams` list of the group, if the upstream is in it.
        std::optional<std::size_t> freePosition;
    };
    struct group
    {
        // Upstreams with a limit above 0, and those among them with a free slot.
        std::vector<upstream_index> enabledUpstreams;
        std::vector<upstream_index> freeUpstreams;
        std::uint32_t slots = 0;
        std::size_t listed = 0;
        std::uint32_t inFlight = 0;
        double latencyUs = 0;
    };

    upstream_index findOrAddRecord(const upstream_assignment &assignment, instant now);
    void releaseUnusedRecords();
    void rebuildGroups();
    void updateFreeList(upstream_index upstream);
    void ejectIfAllowed(record &upstreamRecord, instant now);
    group &groupAt(const upstream_group_key &groupKey);
    [[nodiscard]] const group *findGroup(const upstream_group_key &groupKey) const;
    [[nodiscard]] bool isUsable(const record &upstreamRecord, const pick_criteria &criteria,
                                instant now) const;
    void collectCandidates(const group &from, const pick_criteria &criteria, std::size_t start,
                           std::size_t count, instant now);

    microseconds m_warmUp;
    std::vector<std::unique_ptr<record>> m_records;
    std::vector<upstream_index> m_reusableRecords;
    // The key is the upstream id and the incarnation, separated by a newline.
    std::unordered_map<std::string, upstream_index> m_byIdAndIncarnation;
    // Record of the newest incarnation of each upstream.
    std::unordered_map<upstream_id, upstream_index> m_byId;
    // Indexed by class, then by region.
    std::vector<std::vector<group>> m_groups;
    std::uint64_t m_selectionCount = 0;
    // Scratch space of `pick`, kept to avoid allocations for each request.
    std::vector<upstream_candidate> m_candidates;
    std::vector<upstream_index> m_candidateIndexes;
};

} // namespace kingcuptiller::internal
