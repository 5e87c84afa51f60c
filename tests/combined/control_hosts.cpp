#include "control_hosts.h"

#include <algorithm>

namespace kingcuptiller::testing {

namespace {

constexpr wall_time wallStart = fromUnixMilliseconds(1'800'000'000'000);

} // namespace

control_hosts::control_hosts(simulated_network &network)
    : m_network(network)
{
    for (std::size_t each = 0; each < count; ++each) {
        m_hosts.at(each).clock = milliseconds(network.draw(1'000'000));
        // Below the clock error of 30 s that the ledger allows for.
        m_hosts.at(each).wall = milliseconds(network.draw(10'000));
        start(each, true);
    }
}

std::string control_hosts::nameOf(std::size_t number)
{
    return "c" + std::to_string(number);
}

void control_hosts::start(std::size_t number, bool founding)
{
    control_loop_options options;
    for (std::size_t each = 0; each < count; ++each)
        options.replicas.hosts.emplace_back(nameOf(each));
    control_host &host = m_hosts.at(number);
    options.openFolder = [&host] { return host.files.hooks(); };
    options.store = {host_id(nameOf(number)), founding,
                     [this] { return "i" + std::to_string(++m_drawn); }};
    options.now = [this, &host] { return m_network.now() + host.clock; };
    options.wall = [this, &host] {
        return wallStart + m_network.now().time_since_epoch() + host.wall;
    };
    options.random = [this] { return m_network.random()(); };
    options.send = [this, number](const peer_message &message) {
        const std::string to = message.to.host.text();
        m_network.send(
            nameOf(number), to,
            [this, to, message] {
                const auto &receiver = m_hosts.at(static_cast<std::size_t>(to.at(1) - '0'));
                if (receiver.loop)
                    receiver.loop->receive(message);
            },
            true);
    };
    host.loop = std::make_unique<control_loop>(std::move(options), m_counters);
    host.loop->open();
}

void control_hosts::kill(std::size_t number)
{
    m_hosts.at(number).loop.reset();
    m_hosts.at(number).files.crash(m_network.random());
}

void control_hosts::step()
{
    for (std::size_t each = 0; each < count; ++each) {
        if (loop(each) != nullptr && !m_network.isFrozen(nameOf(each)))
            loop(each)->step();
    }
}

bool control_hosts::allVote() const
{
    return std::all_of(m_hosts.begin(), m_hosts.end(), [](const auto &each) {
        if (!each.loop || !each.loop->isAlive())
            return false;
        const auto status = each.loop->status();
        return status->voter && !status->leader.empty();
    });
}

control_loop *control_hosts::leader()
{
    for (auto &each : m_hosts) {
        if (each.loop && each.loop->hasLease())
            return each.loop.get();
    }
    return nullptr;
}

} // namespace kingcuptiller::testing
