#pragma once

#include "kingcuptiller/fleet/fleet_state.h"
#include "kingcuptiller/node/frame_connection.h"
#include "kingcuptiller/values/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace kingcuptiller {

struct fleet_feed_options
{
    std::vector<host_id> seeds;
    unsigned short controlPort = 0;
    serving_entry entry;
    // How often the entry tells that it is there.
    milliseconds presenceInterval{500};
    // A control host that says nothing for this long is given up.
    milliseconds silence{1'500};
    // A control host that was given up is not asked again for this long, unless no other answers.
    milliseconds avoidance{5'000};
    std::function<instant()> now;
};

// An entry's connection to the control hosts: it tells one of them that the entry serves and
// receives views of the fleet. Of all hosts that it knows the one that answers first is used, which
// is a near one. The last view stays in force while none answers.
class fleet_feed
{
public:
    fleet_feed(boost::asio::io_context &context, fleet_feed_options options,
               std::function<void(fleet_view)> onView);

    // The entry takes requests from now on, or no longer.
    void setServing(bool serving);

private:
    void dialAll();
    void adopt(const host_id &host, boost::asio::ip::tcp::socket socket);
    void receive(const frame &received);
    void drop(const char *reason);
    void sendPresence();
    void scheduleTick();

    boost::asio::io_context &m_context;
    fleet_feed_options m_options;
    std::function<void(fleet_view)> m_onView;
    std::set<host_id> m_hosts;
    std::map<host_id, instant> m_avoidUntil;
    std::shared_ptr<frame_connection> m_connection;
    host_id m_host;
    instant m_heard;
    instant m_connected;
    instant m_dialUntil;
    // Grows with each round of connecting; late connections of a former round are closed.
    std::uint64_t m_round = 0;
    bool m_serving = false;
    revision_number m_version;
    std::uint64_t m_commands = 0;
    boost::asio::steady_timer m_tick;
};

} // namespace kingcuptiller
