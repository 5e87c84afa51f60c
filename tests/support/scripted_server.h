#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace kingcuptiller {

// A raw HTTP server for tests. It reads each request completely, then sends exactly the bytes that
// the script returns; an empty text closes the connection without an answer.
class scripted_server
{
public:
    // `request` counts from 1 on each connection.
    using script = std::function<std::string(int request, const std::string &text)>;

    explicit scripted_server(script answer);
    ~scripted_server();
    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    std::uint16_t port() const { return m_port; }
    // Requests that arrived completely, and connections that were made.
    int requests() const;
    int connections() const;

private:
    void accept();
    void serve(int connection);

    script m_script;
    int m_listener;
    std::uint16_t m_port = 0;
    mutable std::mutex m_mutex;
    int m_requests = 0;
    std::vector<int> m_connections;
    std::vector<std::jthread> m_threads;
    std::jthread m_acceptor;
};

} // namespace kingcuptiller
