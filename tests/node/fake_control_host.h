#pragma once

#include "kingcuptiller/node/fleet_feed.h"
#include "kingcuptiller/relay/http_types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace kingcuptiller {

namespace asio = boost::asio;

enum class host_mood { current, stale, frozen };

// A control host on a loopback address. A frozen one accepts connections, as its kernel would, and
// answers nothing.
class fake_control_host
{
public:
    fake_control_host(asio::io_context &context, const std::string &address, std::uint16_t port,
                      host_mood first)
        : mood(first)
        , m_acceptor(openListener(context, parseTcpEndpoint(address + ":" + std::to_string(port))))
    {
        view.appliedCommands = 7;
        accept();
    }

    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }

    host_mood mood;
    int presences = 0;
    // What it shows.
    fleet_difference view;

private:
    void accept()
    {
        m_acceptor.async_accept(
            [this](boost::system::error_code problem, asio::ip::tcp::socket socket) {
                if (problem)
                    return;
                const auto connection = std::make_shared<frame_connection>(std::move(socket));
                m_connections.push_back(connection);
                connection->start([this, weak = std::weak_ptr(connection)](
                                      const frame &received) { answer(*weak.lock(), received); },
                                  [] {});
                accept();
            });
    }

    void answer(frame_connection &connection, const frame &received)
    {
        if (mood == host_mood::frozen)
            return;
        if (mood == host_mood::stale) {
            connection.send(frame_kind::stale, {});
            return;
        }
        connection.send(frame_kind::current, {});
        if (received.kind != frame_kind::presence)
            return;
        ++presences;
        connection.send(frame_kind::view, encodeFleetDifference(view));
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<frame_connection>> m_connections;
};

} // namespace kingcuptiller
