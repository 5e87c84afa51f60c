#pragma once

#include "kingcuptiller/protocol/messages.h"

#include <string>
#include <vector>

namespace kingcuptiller::stand_in {

// Tells the entries about one upstream over HTTP. It stays with the entry that answered last and
// goes on to the next one in the list when that fails. Used by one thread.
class announcer
{
public:
    explicit announcer(std::vector<endpoint_address> entries);

    // True when an entry accepted it. Tries each entry at most once, 500 ms each.
    bool announce(const upstream_announcement &announcement);
    bool withdraw(const upstream_announcement &announcement);

private:
    bool post(const std::string &path, const std::string &body);

    std::vector<endpoint_address> m_entries;
    std::size_t m_current = 0;
};

// The body of POST /v1/announce as docs/design.md, section 8, has it.
[[nodiscard]] std::string announcementBody(const upstream_announcement &announcement);

} // namespace kingcuptiller::stand_in
