#pragma once

#include "kingcuptiller/transport/http_message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace kingcuptiller {

// Sizes the thread pool that cpprest shares between all clients of the process. Call it once, first
// thing in a daemon; without it the pool has 40 threads.
void setTrafficThreads(std::size_t count);

// Sends the answer to one request. Called exactly once, from any thread. If the last copy is
// destroyed without a call, the client receives status 500.
using http_reply = std::function<void(http_answer)>;

// Receives each request with its whole body, in the server's thread, which it must not block.
using http_handler = std::function<void(http_request, http_reply)>;

// An HTTP/1.1 server on one address with a thread of its own: a `traffic_server` whose handlers may
// answer from any thread. It refuses requests that it need not hand on: a body above
// the limit (413), a body without Content-Length (411), other methods than GET, HEAD and POST
// (405).
//
//     http_server server({.address = "127.0.0.1", .port = 8400}, handler);
class http_server
{
public:
    struct options
    {
        std::string address;
        std::uint16_t port = 0;
        std::size_t maximumBody = std::size_t(1024) * 1024;
        // PEM files; TLS is on when both are given.
        std::string certificateFile{};
        std::string keyFile{};
    };

    // Listens at once. Throws `error` with port_unavailable, or with settings_invalid when the TLS
    // files cannot be used.
    http_server(const options &chosen, http_handler handler);
    // Stops listening and waits, for a second at most, for the answers to requests that were read.
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuptiller
