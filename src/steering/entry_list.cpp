#include "kingcuptiller/steering/entry_list.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace kingcuptiller {

namespace {

// A half-open range of indexes in the sorted list of entries.
struct position_range
{
    std::size_t first = 0;
    std::size_t last = 0;

    [[nodiscard]] std::size_t size() const { return last - first; }
};

template <typename Less>
position_range equalRange(const std::vector<entry_identity> &entries,
                          const client_location &location, const Less &less)
{
    const auto found = std::equal_range(entries.begin(), entries.end(), location, less);
    return {static_cast<std::size_t>(found.first - entries.begin()),
            static_cast<std::size_t>(found.second - entries.begin())};
}

// Comparators of entries and client locations, by region or by region and zone. They compare the
// texts of the names, because clang-tidy 14 reports comparisons generated from a defaulted
// operator<=> as a use of a literal null pointer.
struct by_region
{
    template <typename Left, typename Right>
    bool operator()(const Left &left, const Right &right) const
    {
        return left.region.text() < right.region.text();
    }
};

struct by_zone
{
    template <typename Left, typename Right>
    bool operator()(const Left &left, const Right &right) const
    {
        return std::tie(left.region.text(), left.zone.text())
            < std::tie(right.region.text(), right.zone.text());
    }
};

// Appends the entries in the range `outer` that are not in `inner`, starting at an offset that
// depends on the client hash, until the answer has `maxEntryListLength` entries.
void append(std::vector<const entry_identity *> &answer, const std::vector<entry_identity> &entries,
            position_range outer, position_range inner, std::uint64_t hash)
{
    const std::size_t count = outer.size() - inner.size();
    const std::size_t start = count == 0 ? 0 : hash % count;
    for (std::size_t step = 0; step < count && answer.size() < maxEntryListLength; ++step) {
        std::size_t position = outer.first + (start + step) % count;
        if (inner.size() > 0 && position >= inner.first)
            position += inner.size();
        answer.push_back(&entries[position]);
    }
}

} // namespace

entry_list::entry_list(const std::vector<entry_listing> &entries)
{
    for (const entry_listing &listing : entries) {
        if (listing.serving)
            m_entries.push_back(listing.entry);
    }
    std::sort(m_entries.begin(), m_entries.end(),
              [](const entry_identity &left, const entry_identity &right) {
                  return std::tie(left.region.text(), left.zone.text(), left.host.text())
                      < std::tie(right.region.text(), right.zone.text(), right.host.text());
              });
}

std::vector<const entry_identity *> entry_list::answer(const client_location &location,
                                                       std::string_view client) const
{
    const std::uint64_t hash = XXH64(client.data(), client.size(), 0);
    const position_range all{0, m_entries.size()};
    const position_range region = equalRange(m_entries, location, by_region());
    const position_range zone = equalRange(m_entries, location, by_zone());
    std::vector<const entry_identity *> answer;
    answer.reserve(std::min(maxEntryListLength, m_entries.size()));
    append(answer, m_entries, zone, {}, hash);
    append(answer, m_entries, region, zone, hash);
    append(answer, m_entries, all, region, hash);
    return answer;
}

} // namespace kingcuptiller
