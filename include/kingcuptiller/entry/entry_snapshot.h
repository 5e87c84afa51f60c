#pragma once

#include "kingcuptiller/protocol/messages.h"
#include "kingcuptiller/steering/entry_list.h"
#include "kingcuptiller/values/configuration.h"
#include "kingcuptiller/values/result_code.h"
#include "kingcuptiller/values/time.h"

#include <memory>
#include <optional>

namespace kingcuptiller {

// What an entry knows from control, as traffic threads read it. Immutable: the sync thread
// publishes a new one after each answered sync.
struct entry_snapshot
{
    // False until the first sync has been answered.
    bool synced = false;
    epoch_number epoch;
    revision_number revision;
    assignment_sequence assignment;
    // By the monotonic clock that includes suspended time.
    instant leaseUntil{};
    // When the first sync was answered, and whether control has given this entry any slots since.
    std::optional<instant> firstSyncedAt;
    bool slotsGranted = false;
    // When control said that this entry's removal is in force everywhere.
    std::optional<instant> releasedAt;
    std::shared_ptr<const configuration> current = std::make_shared<configuration>();
    std::shared_ptr<const entry_list> entries = std::make_shared<entry_list>();

    // Why the entry must refuse new work at `now`, or nothing. `lookupLifetime` is how long clients
    // may still use a look-up answer that lists this entry.
    [[nodiscard]] std::optional<result_code> refusal(instant now,
                                                     milliseconds lookupLifetime) const;

    // As `refusal`, for work. An entry that has just started holds a lease before it holds slots;
    // until it has some it refuses as starting, so that clients go to another entry. After 3 s
    // without slots the fleet has none to give, and each class is refused with its own reason.
    [[nodiscard]] std::optional<result_code> workRefusal(instant now,
                                                         milliseconds lookupLifetime) const;
};

// The snapshot after a sync that was sent at `sentAt` and answered at `receivedAt`, or nothing when
// the answer is stale: of an older epoch, revision or assignment than `former`, or of a newer
// revision without its configuration. A stale answer also renews no lease.
[[nodiscard]] std::optional<entry_snapshot> applySync(const entry_snapshot &former,
                                                      const entry_sync_response &response,
                                                      instant sentAt, instant receivedAt);

} // namespace kingcuptiller
