#pragma once

#include "kingcuptiller/values/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace kingcuptiller::bench {

// Computes the traffic shift of one entry from what it decided, by the definition in section 7 of
// the design and apart from the code under test, and keeps the largest value beside the cap.
class shift_audit
{
public:
    // A request that was sent to a region or refused. `arrives` is false for a further attempt.
    void sent(std::size_t workClass, std::size_t origin, std::size_t destination, bool arrives,
              instant now)
    {
        advance(now);
        flow_counts &of = m_origins[origin][workClass];
        of.arrivals += arrives ? 1 : 0;
        of.sent[destination] += 1;
    }

    void refused(std::size_t workClass, std::size_t origin, instant now)
    {
        advance(now);
        m_origins[origin][workClass].arrivals += 1;
    }

    // The largest moved share of the arrivals of an origin in an interval, over intervals in which
    // more than one request was moved (one request is always allowed).
    [[nodiscard]] double peakShare() const { return m_peakShare; }
    // Intervals of an origin with more moved than the cap and more than one request.
    [[nodiscard]] std::uint64_t violations() const { return m_violations; }

private:
    struct flow_counts
    {
        double arrivals = 0;
        std::map<std::size_t, double> sent;
        std::map<std::size_t, double> before;
    };

    void advance(instant now)
    {
        const std::int64_t interval = now.time_since_epoch() / std::chrono::seconds(1);
        if (interval == m_interval)
            return;
        m_interval = interval;
        for (auto &[origin, classes] : m_origins)
            close(origin, classes);
    }

    static double totalOf(const std::map<std::size_t, double> &counts)
    {
        double total = 0;
        for (const auto &[destination, count] : counts)
            total += count;
        return total;
    }

    static double share(std::size_t origin, const flow_counts &of, std::size_t destination)
    {
        const double total = totalOf(of.before);
        const auto found = of.before.find(destination);
        if (total <= 0)
            return destination == origin ? 1 : 0;
        return found == of.before.end() ? 0 : found->second / total;
    }

    // What was sent, with the refused requests added where the class went before and got less than
    // its share.
    static std::map<std::size_t, double> baselineOf(std::size_t origin, const flow_counts &of)
    {
        std::map<std::size_t, double> shortfalls;
        std::map<std::size_t, double> before = of.before;
        if (before.empty())
            before[origin] = 1;
        std::map<std::size_t, double> next = of.sent;
        for (const auto &[destination, count] : before) {
            const double expected = share(origin, of, destination) * of.arrivals;
            shortfalls[destination] = std::max(0.0, expected - next[destination]);
        }
        const double missing = totalOf(shortfalls);
        const double refused = std::max(0.0, of.arrivals - totalOf(of.sent));
        for (const auto &[destination, shortfall] : shortfalls)
            next[destination] += missing > 0 ? refused * shortfall / missing : 0;
        return next;
    }

    static double moved(std::size_t origin, const flow_counts &of)
    {
        double sum = 0;
        for (const auto &[destination, count] : of.sent)
            sum += std::max(0.0, count - share(origin, of, destination) * of.arrivals);
        return sum;
    }

    void close(std::size_t origin, std::map<std::size_t, flow_counts> &classes)
    {
        double sum = 0;
        double arrivals = 0;
        for (auto &[workClass, of] : classes) {
            sum += moved(origin, of);
            arrivals += of.arrivals;
            if (!of.sent.empty())
                of.before = baselineOf(origin, of);
            of.sent.clear();
            of.arrivals = 0;
        }
        constexpr double rounding = 1e-6;
        if (arrivals <= 0 || sum <= 1 + rounding)
            return;
        m_peakShare = std::max(m_peakShare, sum / arrivals);
        m_violations += sum > 0.2 * arrivals + rounding ? 1 : 0;
    }

    std::int64_t m_interval = 0;
    std::map<std::size_t, std::map<std::size_t, flow_counts>> m_origins;
    double m_peakShare = 0;
    std::uint64_t m_violations = 0;
};

} // namespace kingcuptiller::bench
