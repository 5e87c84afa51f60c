#pragma once

#include "kingcuptiller/entry/announcement_book.h"
#include "kingcuptiller/entry/entry_snapshot.h"
#include "kingcuptiller/entry/work_coordinator.h"
#include "kingcuptiller/report/burn_board.h"
#include "kingcuptiller/telemetry/counters.h"

#include <atomic>
#include <memory>

namespace kingcuptiller::internal {

// What the sync thread and the traffic threads of one entry share.
struct entry_state
{
    entry_identity identity;
    milliseconds lookupLifetime = entryListLifetime;
    counter_registry counters;
    announcement_book announcements;
    burn_board burn;
    http_forwarder forwarder;
    std::atomic<std::shared_ptr<const entry_snapshot>> snapshot =
        std::make_shared<const entry_snapshot>();
    std::shared_ptr<work_coordinator> coordinator;
    std::atomic<bool> leaving{false};
};

} // namespace kingcuptiller::internal
