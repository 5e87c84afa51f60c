#pragma once

#include "kingcuptiller/protocol/messages.h"
#include "kingcuptiller/values/identifiers.h"

#include <memory>
#include <string_view>
#include <vector>

namespace kingcuptiller {

// Where a client is, as far as it said so. Empty names mean unknown.
struct client_location
{
    region_name region;
    zone_name zone;

    auto operator<=>(const client_location &) const = default;
};

// How long a client may keep a look-up answer.
constexpr milliseconds entryListLifetime{5000};

// The most entries in one answer. Longer lists cost bandwidth and no client gets that far: with 8
// independent entries that are each up 99% of the time, all are down once in 10^16 look-ups.
constexpr std::size_t maxEntryListLength = 8;

// Answers entry look-ups: the serving entries in the client's availability zone, then those in its
// region, then the rest. Each of the three groups is rotated by a hash of the client, so that
// clients spread over the entries while one client keeps its order. Immutable: build one for each
// new list of entries and share it between threads through an atomic shared pointer.
class entry_list
{
public:
    entry_list() = default;
    explicit entry_list(const std::vector<entry_listing> &entries);

    // The entries for this client, most suitable first, at most `maxEntryListLength`.
    // The pointers are valid as long as this object.
    [[nodiscard]] std::vector<const entry_identity *> answer(const client_location &location,
                                                             std::string_view client) const;

    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    // Sorted by region, zone and host, so that a zone and a region are contiguous ranges.
    std::vector<entry_identity> m_entries;
};

} // namespace kingcuptiller
