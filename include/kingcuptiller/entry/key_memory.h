#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace kingcuptiller {

// What one entry remembers of the request keys that it carried, so that it never says "not run" of
// a key whose earlier sending is still open or may have run. Such a second sending is common: HTTP
// client libraries send a request again by themselves when its connection is closed. The ledger
// knows these keys too, but a refusal for lack of slots or time is made before the ledger is asked.
//
// Not thread-safe. Times must not go backwards.
class key_memory
{
public:
    // A key that is no longer open is remembered for this long, up to `maximumKeys`.
    static constexpr std::chrono::minutes lifetime{10};
    static constexpr std::size_t maximumKeys = 100'000;

    // A request with this key has arrived / has been answered.
    void open(const request_key &key);
    void close(const request_key &key, instant now);

    // An attempt was sent / the upstream proved that it did not run.
    void sent(const request_key &key);
    void provedNotRun(const request_key &key);

    // Whether a request with this key may have run, or may still run, apart from `own` open
    // requests of the caller.
    [[nodiscard]] bool mayRun(const request_key &key, std::uint32_t own) const;

    [[nodiscard]] std::size_t size() const { return m_records.size(); }

private:
    struct record
    {
        std::uint32_t open = 0;
        // Sendings without proof that they were not run, those that ran included.
        std::uint32_t unresolved = 0;
        instant closedAt{};
    };

    void forgetOld(instant now);

    std::unordered_map<request_key, record> m_records;
    // Closed keys that are remembered, oldest first, with the time of their closing.
    std::deque<std::pair<instant, request_key>> m_closed;
};

} // namespace kingcuptiller
