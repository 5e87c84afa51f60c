#pragma once

#include "kingcuptiller/consensus/peer_message.h"
#include "kingcuptiller/telemetry/counters.h"
#include "kingcuptiller/values/identifiers.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <stop_token>
#include <string>
#include <vector>

namespace kingcuptiller {

// Carries messages to one other control host. `send` only queues; several threads run `run`, so
// that a message does not wait for the answer to the one before it. Messages may be lost and
// overtake each other, which the replicas expect.
class peer_link
{
public:
    // Beyond this the oldest messages are dropped: the other host has not been reachable for a
    // while, and newer messages make them useless.
    static constexpr std::size_t maximumQueue = 256;
    // Connections, and threads, for each link.
    static constexpr unsigned senders = 3;

    peer_link(const host_id &host, endpoint_address address, counter_registry &counters);

    void send(const peer_message &message);
    // Sends what is queued until a stop is requested.
    void run(const std::stop_token &stop);

private:
    std::vector<std::string> takeBatch(const std::stop_token &stop);

    endpoint_address m_address;
    counter &m_sent;
    counter &m_failed;
    counter &m_dropped;
    std::mutex m_mutex;
    std::condition_variable_any m_wake;
    std::deque<std::string> m_queue;
};

} // namespace kingcuptiller
