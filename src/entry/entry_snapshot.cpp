#include "kingcuptiller/entry/entry_snapshot.h"

#include <algorithm>

namespace kingcuptiller {

namespace {

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

std::optional<entry_snapshot> applySync(const entry_snapshot &former,
                                        const entry_sync_response &response, instant sentAt,
                                        instant receivedAt)
{
    if (isStale(former, response))
        return std::nullopt;
    entry_snapshot next = former;
    next.synced = true;
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
