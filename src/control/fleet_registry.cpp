#include "kingcuptiller/control/fleet_registry.h"

#include <algorithm>
#include <numeric>

namespace kingcuptiller {

namespace {

void rememberFormer(std::vector<incarnation_id> &former, const incarnation_id &incarnation)
{
    former.push_back(incarnation);
    if (former.size() > fleet_registry::rememberedIncarnations)
        former.erase(former.begin());
}

bool contains(const std::vector<incarnation_id> &all, const incarnation_id &wanted)
{
    return std::find(all.begin(), all.end(), wanted) != all.end();
}

std::uint32_t inFlightAt(const std::vector<upstream_usage> &usage, const upstream_id &id)
{
    // Requests to a former process of the upstream count too: they may still use its slots.
    std::uint32_t total = 0;
    for (const auto &each : usage)
        total += each.id == id ? each.inFlight : 0;
    return total;
}

entry_key keyOf(const entry_identity &identity)
{
    return {identity.host, identity.incarnation};
}

} // namespace

std::uint32_t upstream_record::counted() const
{
    return std::accumulate(
        shares.begin(), shares.end(), std::uint32_t{0},
        [](std::uint32_t sum, const auto &share) { return sum + share.second.counted; });
}

std::uint32_t upstream_record::granted() const
{
    return std::accumulate(
        shares.begin(), shares.end(), std::uint32_t{0},
        [](std::uint32_t sum, const auto &share) { return sum + share.second.limit; });
}

void fleet_registry::apply(const fleet_update &update, wall_time now)
{
    // One number covers all changes of a command, so the sequence grows no faster than the log.
    const assignment_sequence before = m_sequence;
    m_sequence = m_sequence.next();
    for (const auto &each : update.joined)
        join(each);
    for (const auto &each : update.states)
        changeState(each);
    for (const auto &each : update.retired)
        retire(each);
    for (const auto &each : update.upstreams)
        announce(each, now);
    for (const auto &each : update.removed)
        remove(each);
    for (const auto &each : update.confirmed)
        confirm(each);
    applyLimits(update.limits);
    dropFinished();
    const bool used = std::any_of(m_entries.begin(), m_entries.end(), [this](const auto &each) {
        return each.second.assignment == m_sequence || each.second.left == m_sequence;
    });
    if (!used && update.retired.empty())
        m_sequence = before;
}

const entry_record *fleet_registry::find(const entry_key &key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

const upstream_record *fleet_registry::find(const upstream_id &id) const
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

const entry_record *fleet_registry::newestOf(const host_id &host) const
{
    for (auto each = m_entries.lower_bound({host, incarnation_id()});
         each != m_entries.end() && each->first.host == host; ++each) {
        if (each->second.state != entry_state::replaced)
            return &each->second;
    }
    return nullptr;
}

bool fleet_registry::isFormer(const entry_key &key) const
{
    const auto *newest = newestOf(key.host);
    return newest != nullptr && contains(newest->former, key.incarnation);
}

bool fleet_registry::classInUse(const class_name &name) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&name](const auto &each) {
        return each.second.announcement.workClass == name
            && each.second.state != upstream_state::removed;
    });
}

bool fleet_registry::wouldFree(const share_confirmation &confirmation) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &each) {
        const auto share = each.second.shares.find(confirmation.entry);
        return share != each.second.shares.end() && share->second.changed <= confirmation.applied
            && share->second.counted
            > std::max(share->second.limit, inFlightAt(confirmation.usage, each.first));
    });
}

void fleet_registry::restore(assignment_sequence sequence, std::vector<entry_record> entries,
                             std::vector<upstream_record> upstreams)
{
    m_sequence = sequence;
    m_entries.clear();
    m_upstreams.clear();
    for (auto &each : entries) {
        const entry_key key = keyOf(each.identity);
        m_entries.emplace(key, std::move(each));
    }
    for (auto &each : upstreams) {
        const upstream_id id = each.announcement.id;
        m_upstreams.emplace(id, std::move(each));
    }
}

void fleet_registry::join(const entry_identity &identity)
{
    const entry_key key = keyOf(identity);
    if (m_entries.contains(key) || isFormer(key))
        return;
    entry_record record;
    record.identity = identity;
    for (auto each = m_entries.lower_bound({identity.host, incarnation_id()});
         each != m_entries.end() && each->first.host == identity.host; ++each) {
        auto &old = each->second;
        if (old.state == entry_state::replaced)
            continue;
        old.state = entry_state::replaced;
        record.former = old.former;
        rememberFormer(record.former, each->first.incarnation);
        for (auto &upstream : m_upstreams) {
            const auto share = upstream.second.shares.find(each->first);
            if (share != upstream.second.shares.end()) {
                share->second.limit = 0;
                share->second.changed = m_sequence;
            }
        }
    }
    m_entries.emplace(key, std::move(record));
    touchAll();
}

void fleet_registry::changeState(const entry_state_change &change)
{
    const auto found = m_entries.find(change.entry);
    if (found == m_entries.end() || found->second.state == entry_state::replaced
        || found->second.state == change.state)
        return;
    found->second.state = change.state;
    if (change.state == entry_state::leaving)
        found->second.left = m_sequence;
    touchAll();
}

void fleet_registry::retire(const entry_key &key)
{
    if (m_entries.erase(key) == 0)
        return;
    for (auto &upstream : m_upstreams)
        upstream.second.shares.erase(key);
    touchAll();
}

void fleet_registry::announce(const upstream_announcement &announcement, wall_time now)
{
    auto &record = m_upstreams[announcement.id];
    if (contains(record.former, announcement.incarnation))
        return;
    auto &known = record.announcement;
    const bool restarted = known.incarnation != announcement.incarnation;
    // Entries that have not heard of the restart may send to the same address. What is counted for
    // them stays counted until they confirm that their limit is 0.
    if (restarted || record.state == upstream_state::removed) {
        if (!known.id.empty() && restarted)
            rememberFormer(record.former, known.incarnation);
        clearLimits(record);
        record.registered = now;
    }
    upstream_announcement announced = announcement;
    announced.load = 0;
    const bool differs = known != announced;
    known = std::move(announced);
    const auto state = announcement.leaving ? upstream_state::leaving : upstream_state::serving;
    if (state == upstream_state::leaving)
        clearLimits(record);
    if (record.state != state || differs) {
        for (const auto &share : record.shares)
            touch(share.first);
    }
    record.state = state;
}

void fleet_registry::remove(const upstream_id &id)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    found->second.state = upstream_state::removed;
    for (const auto &share : found->second.shares)
        touch(share.first);
    clearLimits(found->second);
}

void fleet_registry::confirm(const share_confirmation &confirmation)
{
    for (auto &[id, upstream] : m_upstreams) {
        const auto share = upstream.shares.find(confirmation.entry);
        if (share == upstream.shares.end() || share->second.changed > confirmation.applied)
            continue;
        // The limit has been the same since the entry applied it, so the entry had no more than
        // `inFlight` when it spoke and can have grown only up to the limit since.
        const auto bound = std::max(share->second.limit, inFlightAt(confirmation.usage, id));
        share->second.counted = std::min(share->second.counted, bound);
    }
}

void fleet_registry::applyLimits(const std::vector<share_limit> &limits)
{
    for (const auto &each : limits)
        setLimit(each, true);
    for (const auto &each : limits)
        setLimit(each, false);
}

void fleet_registry::setLimit(const share_limit &wanted, bool decreases)
{
    const auto upstream = m_upstreams.find(wanted.upstream);
    const auto entry = m_entries.find(wanted.entry);
    if (upstream == m_upstreams.end() || entry == m_entries.end())
        return;
    auto &record = upstream->second;
    const auto known = record.shares.find(wanted.entry);
    const slot_share former = known == record.shares.end() ? slot_share{} : known->second;
    std::uint32_t limit = wanted.limit;
    if (record.state != upstream_state::serving || entry->second.state == entry_state::replaced)
        limit = 0;
    if (limit > former.limit) {
        const std::uint32_t counted = record.counted();
        const std::uint32_t slots = record.announcement.slots;
        const std::uint32_t open = slots > counted ? slots - counted : 0;
        limit = std::max(former.limit, std::min(limit, former.counted + open));
    }
    if (limit == former.limit || (limit < former.limit) != decreases)
        return;
    record.shares[wanted.entry] = {limit, std::max(former.counted, limit), m_sequence};
    touch(wanted.entry);
}

void fleet_registry::clearLimits(upstream_record &upstream)
{
    for (auto &[key, share] : upstream.shares) {
        if (share.limit == 0)
            continue;
        share.limit = 0;
        share.changed = m_sequence;
        touch(key);
    }
}

void fleet_registry::touch(const entry_key &key)
{
    const auto found = m_entries.find(key);
    if (found != m_entries.end())
        found->second.assignment = m_sequence;
}

void fleet_registry::touchAll()
{
    for (auto &each : m_entries)
        each.second.assignment = m_sequence;
}

void fleet_registry::dropFinished()
{
    for (auto &upstream : m_upstreams)
        std::erase_if(upstream.second.shares,
                      [](const auto &share) { return share.second.counted == 0; });
    std::erase_if(m_upstreams, [](const auto &each) {
        return each.second.state == upstream_state::removed && each.second.shares.empty();
    });
}

} // namespace kingcuptiller
