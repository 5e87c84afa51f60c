#pragma once

#include "kingcuptiller/control/command.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kingcuptiller {

// What one entry process may use of one upstream.
struct slot_share
{
    // The most requests that the entry may have in flight.
    std::uint32_t limit = 0;
    // The most requests that the entry may have in flight as far as control knows; >= limit.
    std::uint32_t counted = 0;
    // The assignment that changed `limit` last.
    assignment_sequence changed;

    auto operator<=>(const slot_share &) const = default;
};

enum class upstream_state {
    serving,
    leaving,
    // Withdrawn or silent. The record stays until no entry can have requests in flight there.
    removed,
};

struct upstream_record
{
    // As registered; the load is not part of the state and stands at 0.
    upstream_announcement announcement;
    upstream_state state = upstream_state::serving;
    wall_time registered;
    // Earlier processes of this upstream, newest last, so that a late announcement of one of them
    // is not taken for a restart.
    std::vector<incarnation_id> former;
    std::map<entry_key, slot_share> shares;

    [[nodiscard]] std::uint32_t counted() const;
    [[nodiscard]] std::uint32_t granted() const;

    bool operator==(const upstream_record &) const = default;
};

struct entry_record
{
    entry_identity identity;
    entry_state state = entry_state::serving;
    // The newest assignment that differs for this entry.
    assignment_sequence assignment;
    // The assignment that took this entry out of the list of serving entries.
    assignment_sequence left;
    // Earlier processes of this host, newest last.
    std::vector<incarnation_id> former;

    bool operator==(const entry_record &) const = default;
};

// Entries, upstreams and slot shares. Deterministic; changed only by `apply`.
//
// The sum of `counted` over an upstream's shares never grows beyond its slots, whatever the limits
// ask for: an increase takes only slots that are not counted. A lowered limit frees its slots only
// when the entry has confirmed it, or when the entry is retired. (An upstream that itself comes
// back with fewer slots than are counted gets no new work until the count has come down.)
class fleet_registry
{
public:
    static constexpr std::size_t rememberedIncarnations = 8;

    void apply(const fleet_update &update, wall_time now);

    [[nodiscard]] const std::map<entry_key, entry_record> &entries() const { return m_entries; }
    [[nodiscard]] const std::map<upstream_id, upstream_record> &upstreams() const
    {
        return m_upstreams;
    }
    [[nodiscard]] assignment_sequence sequence() const { return m_sequence; }

    // nullptr when there is none. Valid until the next `apply`.
    [[nodiscard]] const entry_record *find(const entry_key &key) const;
    [[nodiscard]] const upstream_record *find(const upstream_id &id) const;
    // The process of `host` that registered last, or nullptr.
    [[nodiscard]] const entry_record *newestOf(const host_id &host) const;

    // True when this process was replaced by a newer one of its host.
    [[nodiscard]] bool isFormer(const entry_key &key) const;
    [[nodiscard]] bool classInUse(const class_name &name) const;

    // True when `confirmation` would free slots.
    [[nodiscard]] bool wouldFree(const share_confirmation &confirmation) const;

    // Restores a snapshot.
    void restore(assignment_sequence sequence, std::vector<entry_record> entries,
                 std::vector<upstream_record> upstreams);

    bool operator==(const fleet_registry &) const = default;

private:
    void join(const entry_identity &identity);
    void changeState(const entry_state_change &change);
    void retire(const entry_key &key);
    void announce(const upstream_announcement &announcement, wall_time now);
    void remove(const upstream_id &id);
    void confirm(const share_confirmation &confirmation);
    void applyLimits(const std::vector<share_limit> &limits);
    void setLimit(const share_limit &wanted, bool decreases);
    void clearLimits(upstream_record &upstream);
    void touch(const entry_key &key);
    void touchAll();
    void dropFinished();

    assignment_sequence m_sequence;
    std::map<entry_key, entry_record> m_entries;
    std::map<upstream_id, upstream_record> m_upstreams;
};

} // namespace kingcuptiller
