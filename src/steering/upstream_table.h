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

// The class and the region of an upstream by position.
struct upstream_group_key
{
    class_index workClass = 0;
    region_index region = 0;

    auto operator<=>(const upstream_group_key &) const = default;
};

// An upstream that was picked, and when its answer is expected.
struct picked_upstream
{
    upstream_index upstream = 0;
    microseconds expectedLatency{0};
    // Picked only to measure it again.
    bool isProbe = false;
};

// What a pick must know of the request.
struct pick_criteria
{
    // An upstream that has an attempt of this request in flight already, or just failed it.
    std::optional<upstream_index> excluded;
    // Expected latency of an upstream that was not measured yet.
    microseconds priorLatency{0};
    // Only such requests may go to an upstream just to measure it again soon.
    bool idempotent = false;
};

// The upstreams of an entry with the entry's own requests at each of them. Upstreams of one class
// in one region form a group; those with a free slot are kept apart, so that a pick in a group of
// any size looks at no more than a fixed number of upstreams.
class upstream_table
{
public:
    // `warmUp` is how long a new upstream takes to get its full limit.
    explicit upstream_table(microseconds warmUp)
        : m_warmUp(warmUp)
    {
    }

    // The most upstreams that a policy is given at once.
    static constexpr std::size_t sampleSize = 32;

    // Replaces the list. `groupKeys` holds the class and region of each assignment.
    void apply(const std::vector<upstream_assignment> &assignments,
               const std::vector<upstream_group_key> &groupKeys, instant now);
    void applyLoads(const std::vector<upstream_load> &loads, instant now);

    // An upstream of the group with a free slot, if there is any. Ejected upstreams are left out.
    [[nodiscard]] std::optional<picked_upstream> pick(const upstream_group_key &group,
                                                      const pick_criteria &request,
                                                      const choice_policy &policy,
                                                      random_engine &engine, instant now);

    void take(upstream_index upstream, instant now);
    // Frees the slot and takes in how the attempt ended.
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

    // Upstreams of the group that are not leaving, including those whose limit is 0 for now.
    [[nodiscard]] std::size_t listedUpstreams(const upstream_group_key &group) const;
    // Sum of their limits.
    [[nodiscard]] std::uint32_t slots(const upstream_group_key &group) const;
    // True when some upstream of the class has a free slot.
    [[nodiscard]] bool hasFreeSlot(class_index workClass) const;
    // Smoothed latency of the group's answers, or `priorLatency` when there was none.
    [[nodiscard]] microseconds groupLatency(const upstream_group_key &group,
                                            microseconds priorLatency) const;
    // Own requests in flight at the group's upstreams that are listed.
    [[nodiscard]] std::uint32_t inFlight(const upstream_group_key &group) const;
    // Number of regions of the class, as an exclusive bound of region positions.
    [[nodiscard]] std::size_t regionBound(class_index workClass) const;

    [[nodiscard]] std::vector<upstream_usage> usage() const;

private:
    struct record
    {
        std::shared_ptr<const upstream_assignment> assignment;
        upstream_group_key groupKey;
        upstream_health health;
        std::uint32_t inFlight = 0;
        // Own requests at all processes of this upstream. A restarted upstream may still run those
        // of its former process, and the limit covers both.
        std::shared_ptr<std::uint32_t> inFlightAllIncarnations;
        std::uint64_t lastSelection = 0;
        instant lastUsed;
        instant startTime;
        // The least of the slot and the connection limit; 0 unless listed and not leaving.
        std::uint32_t limit = 0;
        bool listed = false;
        // Position in the group's `freeUpstreams`, if it is there.
        std::optional<std::size_t> freePosition;
    };
    struct group
    {
        // Upstreams with a limit above 0, and those of them with a free slot.
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
    void updateFree(upstream_index upstream);
    void ejectIfAllowed(record &upstreamRecord, instant now);
    group &groupAt(const upstream_group_key &groupKey);
    [[nodiscard]] const group *findGroup(const upstream_group_key &groupKey) const;
    [[nodiscard]] bool isUsable(const record &upstreamRecord, const pick_criteria &request,
                                instant now) const;
    void collectCandidates(const group &from, const pick_criteria &request, std::size_t start,
                           std::size_t count, instant now);

    microseconds m_warmUp;
    std::vector<std::unique_ptr<record>> m_records;
    std::vector<upstream_index> m_reusableRecords;
    std::unordered_map<std::string, upstream_index> m_byKey;
    // The record of an upstream's newest incarnation.
    std::unordered_map<upstream_id, upstream_index> m_byId;
    // By class and region.
    std::vector<std::vector<group>> m_groups;
    std::uint64_t m_selectionCount = 0;
    // Scratch space of `pick`, kept to avoid an allocation for each request.
    std::vector<upstream_candidate> m_candidates;
    std::vector<upstream_index> m_candidateIndexes;
};

} // namespace kingcuptiller::internal
