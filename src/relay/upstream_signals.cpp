#include "kingcuptiller/relay/upstream_signals.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>

namespace kingcuptiller {

namespace {

constexpr std::chrono::minutes maxBackoff{10};
constexpr unsigned serviceUnavailable = 503;

} // namespace

std::optional<milliseconds> parseRetryAfter(std::string_view text)
{
    double seconds = 0;
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    if (parsed.ec == std::errc::result_out_of_range && parsed.ptr == end && !text.starts_with('-'))
        return maxBackoff;
    if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(seconds) || seconds <= 0)
        return std::nullopt;
    const double maxSeconds = std::chrono::duration<double>(maxBackoff).count();
    return milliseconds(std::llround(std::min(seconds, maxSeconds) * 1'000));
}

upstream_signals readUpstreamSignals(unsigned status, std::string_view leaving,
                                     std::string_view retryAfter)
{
    upstream_signals signals;
    signals.leaving = leaving == "1";
    if (status == serviceUnavailable)
        signals.backoff = parseRetryAfter(retryAfter);
    return signals;
}

upstream_signals upstream_availability::apply(const upstream_signals &signals, instant now)
{
    upstream_signals news;
    news.leaving = signals.leaving && !m_leaving;
    m_leaving = m_leaving || signals.leaving;
    if (signals.backoff && now + *signals.backoff > m_backoffUntil) {
        m_backoffUntil = now + *signals.backoff;
        news.backoff = signals.backoff;
    }
    return news;
}

} // namespace kingcuptiller
