#pragma once

#include "kingcuptiller/protocol/messages.h"
#include "kingcuptiller/values/identifiers.h"

#include <memory>
#include <string_view>
#include <vector>

namespace kingcuptiller {

// Region and availability zone that a client reported. An empty name means unknown.
struct client_location
{
    region_name region;
    zone_name zone;

    auto operator<=>(const client_location &) const = default;
};

// Time for which a client may cache the answer to a look-up of entries.
constexpr milliseconds entryListLifetime{5000};

// Maximum number of entries in one answer. A longer list costs bandwidth without a benefit: with 8
// entries that fail independently and are each available 99% of the time, all 8 are unavailable in
// one of 10^16 look-ups.
constexpr std::size_t maxEntryListLength = 8;

// Answers look-ups of entries by clients. An answer lists the serving entries in the client's
// availability zone, then those in its region, then all others. Each of these three groups is
// rotated by a hash of the client name, which distributes clients over the entries while each
// client always gets the same order. Immutable: build a new object for each new list of entries and
// share it between threads through an atomic shared pointer.
class entry_list
{
public:
    entry_list() = default;
    // Copies those `entries` that are marked as serving; the others are never listed in answers.
    explicit entry_list(const std::vector<entry_listing> &entries);

    // Returns the entries for this client, most suitable first, at most `maxEntryListLength`. The
    // pointers are valid as long as this object exists.
    [[nodiscard]] std::vector<const entry_identity *> answer(const client_location &location,
                                                             std::string_view client) const;

    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    // Sorted by region, zone and host, so that each region and each zone is a contiguous range.
    std::vector<entry_identity> m_entries;
};

} // namespace kingcuptiller
