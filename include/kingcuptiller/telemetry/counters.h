#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

// Counters and latency histograms of a process, printed at /metrics in the usual text format.

namespace kingcuptiller {

// One number that any thread may change.
class counter
{
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    void set(std::uint64_t value) { m_value.store(value, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

// Label names and values of a counter, sorted by name, such as {{"class", "postings"}}.
using counter_labels = std::map<std::string, std::string>;

// Owns the counters of one process. `get` finds or makes a counter; the reference stays valid for
// the life of the registry, so callers look a counter up once and keep the reference.
class counter_registry
{
public:
    counter &get(const std::string &name, const counter_labels &labels = {});

    // All counters, one "name{label="value"} number" a line, sorted.
    [[nodiscard]] std::string text() const;

private:
    mutable std::mutex m_mutex;
    std::deque<counter> m_counters;
    std::map<std::string, counter *> m_byName;
};

} // namespace kingcuptiller
