#pragma once

#include "kingcuptiller/protocol/messages.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace kingcuptiller {

// The largest body of an announcement or a withdrawal.
inline constexpr std::size_t maximumAnnouncementBytes = 4096;

// Reads the body of POST /v1/announce. Throws `error` with announcement_malformed that names the
// faulty field.
[[nodiscard]] upstream_announcement parseAnnouncement(const std::string &body);

// Reads the body of POST /v1/withdraw, {"id": ...}. Throws like parseAnnouncement.
[[nodiscard]] upstream_id parseWithdrawal(const std::string &body);

// Announcements and withdrawals that wait for the next sync: the newest for each upstream. Bounded,
// so that strangers cannot make an entry's memory or its syncs grow without limit. Thread-safe.
class announcement_book
{
public:
    // So that a sync with all of them stays below the 1 MiB limit of a message.
    static constexpr std::size_t maximumUpstreams = 2000;

    // Return false when the book is full and the upstream is not in it.
    bool announce(const upstream_announcement &announcement);
    bool withdraw(const upstream_id &id);

    // Moves what waits into `request`.
    void takeInto(entry_sync_request &request);

    // Puts back what an unanswered sync carried; newer entries of the book win.
    void putBack(const entry_sync_request &request);

private:
    // A withdrawal is an entry without an announcement.
    struct waiting
    {
        bool withdrawn = false;
        upstream_announcement announcement;
    };

    bool hasRoomFor(const upstream_id &id) const;

    std::mutex m_mutex;
    std::map<upstream_id, waiting> m_waiting;
};

} // namespace kingcuptiller
