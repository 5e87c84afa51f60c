#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including its header.
#include <utility>

#include "kingcuptiller/relay/load_exchange.h"
#include "kingcuptiller/telemetry/counters.h"
#include "kingcuptiller/values/identifiers.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace kingcuptiller {

struct load_exchange_hooks
{
    // Returns the reports that were received since the last call.
    std::function<std::vector<shared_load_report>()> takeReports;
    // Takes over reports that another entry has sent.
    std::function<void(const std::vector<shared_load_report> &)> applyReports;
};

// Sends load reports to the other entries of the zone in datagrams, and receives theirs. Lost
// datagrams are not repeated: a newer report follows soon. Runs in the thread of the context.
class load_exchange_socket
{
public:
    // Opens the UDP port `port` on `host`. If that fails, logs it and exchanges nothing: the entry
    // works with its own reports.
    load_exchange_socket(boost::asio::io_context &context, const host_id &host, unsigned short port,
                         load_exchange_hooks hooks, counter_registry &counters);
    load_exchange_socket(const load_exchange_socket &) = delete;
    load_exchange_socket &operator=(const load_exchange_socket &) = delete;

    // Replaces the entries to which reports are sent. Datagrams of others are dropped.
    void setPeers(const std::vector<host_id> &hosts);

private:
    static constexpr std::size_t bufferBytes = 2'048;

    void scheduleSending();
    void sendReports();
    void receiveNext();

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    unsigned short m_port;
    load_exchange_hooks m_hooks;
    counter &m_bytesSent;
    counter &m_bytesReceived;
    counter &m_reportsReceived;
    std::vector<boost::asio::ip::udp::endpoint> m_peers;
    std::array<char, bufferBytes> m_buffer{};
    boost::asio::ip::udp::endpoint m_sender;
};

} // namespace kingcuptiller
