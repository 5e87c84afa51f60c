#pragma once

#include "simulated_network.h"
#include "tests/storage/fake_disk.h"

#include "kingcuptiller/control/control_loop.h"

#include <array>
#include <memory>
#include <string>

namespace kingcuptiller::testing {

// Three control loops on fake disks, each with clocks of its own.
class control_hosts
{
public:
    static constexpr std::size_t count = 3;

    explicit control_hosts(simulated_network &network);

    [[nodiscard]] static std::string nameOf(std::size_t number);
    void start(std::size_t number, bool founding = false);
    void kill(std::size_t number);
    void wipe(std::size_t number) { m_hosts.at(number).files.clear(); }
    // One round of each host that is neither dead nor frozen.
    void step();

    // nullptr when the host is dead.
    control_loop *loop(std::size_t number) { return m_hosts.at(number).loop.get(); }
    // All hosts run, vote and know a leader.
    [[nodiscard]] bool allVote() const;
    // The host with a leader lease, or nullptr.
    control_loop *leader();

private:
    struct control_host
    {
        fake_disk files;
        std::unique_ptr<control_loop> loop;
        milliseconds clock{0};
        milliseconds wall{0};
    };

    simulated_network &m_network;
    counter_registry m_counters;
    std::uint64_t m_drawn = 0;
    std::array<control_host, count> m_hosts;
};

} // namespace kingcuptiller::testing
