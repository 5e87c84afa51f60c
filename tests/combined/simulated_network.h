#pragma once

#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcuptiller::testing {

// The true time, and everything that will happen at a later one: messages and timers of processes
// that are known by name. A frozen process receives what waits for it when it is thawed.
class simulated_network
{
public:
    struct link_fault
    {
        bool cut = false;
        unsigned dropPerMille = 0;
        unsigned duplicatePerMille = 0;
        // The longest additional delay; drawn for each message, so messages are reordered.
        milliseconds delay{0};
    };

    explicit simulated_network(std::uint64_t seed)
        : m_random(seed)
    {
    }

    [[nodiscard]] instant now() const { return m_now; }
    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
    bool happens(unsigned perMille) { return draw(1000) < perMille; }
    std::mt19937_64 &random() { return m_random; }

    // Runs `action` in the process `owner` at `when`.
    void at(const std::string &owner, instant when, std::function<void()> action)
    {
        m_events.emplace(when, event{owner, std::move(action)});
    }

    // `repeatable` messages may arrive twice. Others model one exchange over one connection, which
    // never delivers a request twice.
    void send(const std::string &from, const std::string &to, const std::function<void()> &action,
              bool repeatable)
    {
        const auto found = faults.find({from, to});
        const link_fault fault = found == faults.end() ? link_fault{} : found->second;
        if (fault.cut || happens(fault.dropPerMille))
            return;
        const int copies = repeatable && happens(fault.duplicatePerMille) ? 2 : 1;
        for (int each = 0; each < copies; ++each) {
            const auto extra = fault.delay.count() == 0
                ? 0
                : draw(static_cast<std::uint64_t>(fault.delay.count()));
            at(to, m_now + milliseconds(1 + draw(8) + extra), action);
        }
    }

    void freeze(const std::string &owner) { m_frozen.insert(owner); }
    void thaw(const std::string &owner)
    {
        m_frozen.erase(owner);
        for (auto &each : std::exchange(m_parked[owner], {}))
            at(owner, m_now, std::move(each));
    }
    [[nodiscard]] bool isFrozen(const std::string &owner) const { return m_frozen.contains(owner); }

    // Moves the time and runs what is due.
    void advance(milliseconds time)
    {
        const instant end = m_now + time;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            m_now = std::max(m_now, m_events.begin()->first);
            event next = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            if (isFrozen(next.owner))
                m_parked[next.owner].push_back(std::move(next.action));
            else
                next.action();
        }
        m_now = end;
    }

    // By sender and receiver.
    std::map<std::pair<std::string, std::string>, link_fault> faults;

private:
    struct event
    {
        std::string owner;
        std::function<void()> action;
    };

    instant m_now{};
    std::mt19937_64 m_random;
    std::multimap<instant, event> m_events;
    std::set<std::string> m_frozen;
    std::map<std::string, std::vector<std::function<void()>>> m_parked;
};

} // namespace kingcuptiller::testing
