#pragma once

#include "kingcuptiller/fleet/fleet_view.h"
#include "kingcuptiller/node/frame_connection.h"
#include "kingcuptiller/values/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace kingcuptiller {

struct fleet_feed_options
{
    std::vector<host_id> seeds;
    unsigned short controlPort = 0;
    fleet_entry entry;
    // How often the entry tells that it is there.
    milliseconds presenceInterval{500};
    // When the control host has said nothing for this long, the others are asked. Longer than a
    // presence and its answer take between regions.
    milliseconds doubt{900};
    // How often hosts are asked while there is none or it is in doubt.
    milliseconds probeInterval{200};
    std::function<instant()> now;
    // Called with the time of each answer of a control host that is current.
    std::function<void(instant)> onContact{};
    // Called with the body of each frame of the kind `credit_reply`.
    std::function<void(const std::string &)> onCreditReply{};
};

// An entry's connection to the control hosts: it reports the entry's state to one of them and
// receives views of the fleet. While it has none, or that one keeps silent, it asks all that it
// knows, and takes the first that says it is current: a frozen host still accepts connections. The
// last view stays in force meanwhile.
class fleet_feed
{
public:
    fleet_feed(boost::asio::io_context &context, fleet_feed_options options,
               std::function<void(fleet_view)> onView);

    // Reports the state of the entry; it is `joining` at first.
    void setState(entry_state state);
    // Sends a `credit_request` to the control host; drops it while there is none.
    void sendCreditRequest(const std::string &body);

private:
    // A host that is asked whether it is current; without a connection while one is being made.
    struct candidate
    {
        std::shared_ptr<frame_connection> connection;
    };

    void probeAll();
    void dial(const host_id &host);
    void noteConnected(const host_id &host, boost::asio::ip::tcp::socket socket);
    void closeCandidates();
    void adopt(const host_id &host);
    void noteContact();
    void receive(const frame &received);
    void drop(const char *reason);
    void sendPresence();
    void scheduleTick();

    boost::asio::io_context &m_context;
    fleet_feed_options m_options;
    std::function<void(fleet_view)> m_onView;
    std::set<host_id> m_hosts;
    std::map<host_id, candidate> m_candidates;
    std::shared_ptr<frame_connection> m_connection;
    host_id m_host;
    instant m_heard;
    instant m_presenceDue;
    fleet_view m_view;
    boost::asio::steady_timer m_tick;
};

} // namespace kingcuptiller
