#include "kingcuptiller/entry/entry_snapshot.h"

#include <algorithm>

namespace kingcuptiller {

namespace {

// A registration, a plan of the shares and two syncs, with room for a change of leader.
constexpr milliseconds slotWait{3000};

bool grantsSlots(const entry_sync_response &response)
{
    return response.newAssignments
        && std::any_of(response.newAssignments->begin(), response.newAssignments->end(),
                       [](const upstream_assignment &each) { return each.limit > 0; });
}

bool isStale(const entry_snapshot &former, const entry_sync_response &response)
{
    if (response.epoch < former.epoch || response.revision < former.revision
        || response.assignment < former.assignment)
        return true;
    const bool lacksConfiguration = response.revision > former.revision
        && (!response.newConfiguration || response.newConfiguration->revision != response.revision);
    const bool lacksAssignments =
        response.assignment > former.assignment && !response.newAssignments;
    return lacksConfiguration || lacksAssignments;
}

} // namespace

std::optional<result_code> entry_snapshot::refusal(instant now, milliseconds lookupLifetime) const
{
    if (!synced)
        return result_code::entry_starting;
    if (releasedAt && now >= *releasedAt + lookupLifetime)
        return result_code::entry_leaving;
    if (now >= leaseUntil)
        return result_code::entry_without_lease;
    return std::nullopt;
}

std::optional<result_code> entry_snapshot::workRefusal(instant now,
                                                       milliseconds lookupLifetime) const
{
    if (const auto refused = refusal(now, lookupLifetime))
        return refused;
    if (!slotsGranted && firstSyncedAt && now < *firstSyncedAt + slotWait)
        return result_code::entry_starting;
    return std::nullopt;
}

std::optional<entry_snapshot> applySync(const entry_snapshot &former,
                                        const entry_sync_response &response, instant sentAt,
                                        instant receivedAt)
{
    if (isStale(former, response))
        return std::nullopt;
    entry_snapshot next = former;
    next.synced = true;
    if (!next.firstSyncedAt)
        next.firstSyncedAt = receivedAt;
    next.slotsGranted = former.slotsGranted || grantsSlots(response);
    next.epoch = response.epoch;
    next.revision = response.revision;
    next.assignment = response.assignment;
    next.leaseUntil = std::max(former.leaseUntil, sentAt + response.lease);
    if (!response.released)
        next.releasedAt.reset();
    else if (!former.releasedAt)
        next.releasedAt = receivedAt;
    if (response.newConfiguration && response.newConfiguration->revision == response.revision)
        next.current = std::make_shared<configuration>(*response.newConfiguration);
    next.entries = std::make_shared<entry_list>(response.entries);
    return next;
}

} // namespace kingcuptiller
