#pragma once

#include "kingcuptiller/values/time.h"

#include <compare>
#include <optional>
#include <string_view>

namespace kingcuptiller {

// What an upstream states about its own availability in the headers of a response.
struct upstream_signals
{
    // The upstream drains: it completes its current requests and accepts no new ones.
    bool leaving = false;
    // The time for which the upstream accepts no requests from this entry.
    std::optional<milliseconds> backoff;

    auto operator<=>(const upstream_signals &) const = default;
};

// Parses the value of a Retry-After header in seconds, with or without a fraction. Values above ten
// minutes count as ten minutes, so that one malformed response cannot disable an upstream for good.
// Returns nullopt for any other text, for zero and for negative numbers.
[[nodiscard]] std::optional<milliseconds> parseRetryAfter(std::string_view text);

// Reads the signals of a response from its status and the values of its leaving and Retry-After
// headers; a missing header is empty. Retry-After counts only with the status 503.
[[nodiscard]] upstream_signals readUpstreamSignals(unsigned status, std::string_view leaving,
                                                   std::string_view retryAfter);

// Whether requests may be sent to one incarnation of an upstream, by the signals that it has sent
// to this entry. A new incarnation starts without any.
class upstream_availability
{
public:
    // Applies the signals of a response that arrived at `now`. Returns what is new in them: leaving
    // if it was not known, and a backoff that ends later than the known one.
    upstream_signals apply(const upstream_signals &signals, instant now);

    // Whether the upstream drains. It stays so until the incarnation ends.
    [[nodiscard]] bool isLeaving() const { return m_leaving; }
    // Whether the upstream has asked this entry to send it nothing at `now`.
    [[nodiscard]] bool isBackingOff(instant now) const { return now < m_backoffUntil; }
    // The end of the backoff; in the past when there is none.
    [[nodiscard]] instant backoffUntil() const { return m_backoffUntil; }
    // Whether a request may be sent at `now`.
    [[nodiscard]] bool permitsRequests(instant now) const
    {
        return !m_leaving && !isBackingOff(now);
    }

    auto operator<=>(const upstream_availability &) const = default;

private:
    bool m_leaving = false;
    instant m_backoffUntil;
};

} // namespace kingcuptiller
