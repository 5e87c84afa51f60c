#pragma once

#include "kingcuptiller/relay/http_types.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kingcuptiller {

// What each client of a crowd sends on its connection, without ever reading.
struct hostile_input
{
    // Sent once.
    std::string begin;
    // Sent again and again, until `mostBytes` have been sent; empty to send nothing more.
    std::string filler{};
    std::size_t mostBytes = 0;
};

// Connections of clients that break limits. They stay open until the object is destroyed.
class hostile_crowd
{
public:
    hostile_crowd() = default;
    ~hostile_crowd();
    hostile_crowd(const hostile_crowd &) = delete;
    hostile_crowd &operator=(const hostile_crowd &) = delete;

    // Opens `clients` connections to `where`, and lets all of them send by turns until each has
    // sent its input, is closed by the server, or has not been read for two seconds.
    void attack(const tcp_endpoint &where, std::size_t clients, const hostile_input &input);

private:
    struct client
    {
        int socket = -1;
        std::size_t sentBytes = 0;
        bool isFinished = false;
    };

    // Returns whether the server has taken bytes.
    static bool sendSome(client &sender, const hostile_input &input);

    std::vector<client> m_clients;
};

} // namespace kingcuptiller
