#pragma once

#include "kingcuptiller/fleet/traffic_configuration.h"
#include "kingcuptiller/node/fleet_feed.h"
#include "kingcuptiller/node/load_exchange_socket.h"
#include "kingcuptiller/node/shutdown_plan.h"
#include "kingcuptiller/relay/request_relay.h"
#include "kingcuptiller/settings/node_settings.h"
#include "kingcuptiller/telemetry/counters.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuptiller {

// What an entry needs to know of the platform on which it runs.
struct entry_platform
{
    relay_headers headers;
    // Reads a configuration as operators write it. Throws `error` with `change_malformed`.
    std::function<traffic_configuration(const std::string &document)> decodeConfiguration;
};

// The entries that a client in a zone should use: those of its zone, else of its region, else all.
[[nodiscard]] std::vector<fleet_entry> nearestEntries(const std::vector<fleet_entry> &entries,
                                                      const region_name &region,
                                                      const zone_name &zone);

// An entry: the server for clients, the relay, and the feed from control. Traffic runs in the
// thread that runs `context`; the feed, which decodes configurations, in a thread of its own.
class entry_node
{
public:
    // Throws `error` with `port_unavailable`.
    entry_node(boost::asio::io_context &context, const node_settings &settings,
               entry_platform platform, counter_registry &counters);
    ~entry_node();
    entry_node(const entry_node &) = delete;
    entry_node &operator=(const entry_node &) = delete;

    // Whether clients may be sent here.
    [[nodiscard]] bool ready() const { return m_relay.ready() && !m_leaving; }
    // The entries that the directory may name; without this one once it leaves.
    [[nodiscard]] const std::vector<fleet_entry> &entries() const { return m_view.entries; }
    // How long clients may keep an answer of the directory: not longer than entries that leave
    // can go on accepting connections.
    [[nodiscard]] milliseconds addressLifetime() const;

    // Changes how long the process may take to end. Has no effect once the entry leaves.
    void setShutdownLimit(milliseconds limit);
    // Ends the entry. It is taken off the directory, but goes on accepting connections while
    // clients may hold its address. It sends only those requests to upstreams whose deadlines are
    // before the end of the process, and rejects the others at once with 503. `done` is called when
    // nothing is left to answer or the time is over.
    void leave(std::function<void()> done);

private:
    void apply(const fleet_view &view, const std::optional<traffic_configuration> &configuration);
    // The hosts of the other entries of this zone.
    [[nodiscard]] std::vector<host_id> zonePeers() const;
    void scheduleTick();
    // Asks for credits after `delay`, unless that is to happen earlier anyway.
    void scheduleCreditRequest(milliseconds delay);
    void removeOwnEntry();
    // Waits until the address of this entry has expired and all requests are answered, then calls
    // `done`.
    boost::asio::awaitable<void> finishRequests(shutdown_plan plan, std::function<void()> done);

    boost::asio::io_context &m_context;
    node_settings m_settings;
    entry_platform m_platform;
    // Set by the thread of the feed.
    std::atomic<instant> m_lastControlContact{instant()};
    request_relay m_relay;
    counter &m_viewCommands;
    counter &m_upstreams;
    fleet_view m_view;
    std::unique_ptr<traffic_server> m_server;
    load_exchange_socket m_loadExchange;
    boost::asio::steady_timer m_tick;
    boost::asio::steady_timer m_creditTimer;
    // Until the next check; 0 while none is scheduled.
    milliseconds m_creditDelay{0};
    bool m_leaving = false;

    class feed_thread;
    std::unique_ptr<feed_thread> m_feed;
};

} // namespace kingcuptiller
