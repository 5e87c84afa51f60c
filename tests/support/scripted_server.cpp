#include "tests/support/scripted_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <string_view>

namespace kingcuptiller {

namespace {

// Removes one complete request from the start of `buffer`, or returns an empty text.
std::string takeRequest(std::string &buffer)
{
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end == std::string::npos)
        return {};
    const std::string_view name = "Content-Length:";
    const std::size_t field = buffer.find(name);
    const std::size_t length =
        field < end ? std::strtoul(buffer.c_str() + field + name.size(), nullptr, 10) : 0;
    if (buffer.size() < end + 4 + length)
        return {};
    std::string request = buffer.substr(0, end + 4 + length);
    buffer.erase(0, request.size());
    return request;
}

} // namespace

scripted_server::scripted_server(script answer)
    : m_script(std::move(answer))
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (bind(m_listener, generic, size) != 0 || listen(m_listener, 64) != 0
        || getsockname(m_listener, generic, &size) != 0)
        std::abort();
    m_port = ntohs(address.sin_port);
    m_acceptor = std::jthread([this] { accept(); });
}

scripted_server::~scripted_server()
{
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const int connection : m_connections)
            shutdown(connection, SHUT_RDWR);
    }
    m_threads.clear();
    for (const int connection : m_connections)
        close(connection);
    close(m_listener);
}

int scripted_server::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

int scripted_server::connections() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(m_connections.size());
}

void scripted_server::accept()
{
    for (;;) {
        const int connection = ::accept(m_listener, nullptr, nullptr);
        if (connection < 0)
            return;
        const std::lock_guard lock(m_mutex);
        m_connections.push_back(connection);
        m_threads.emplace_back([this, connection] { serve(connection); });
    }
}

void scripted_server::serve(int connection)
{
    int number = 0;
    std::string buffer;
    char block[4096];
    for (;;) {
        const std::string request = takeRequest(buffer);
        if (request.empty()) {
            const ssize_t received = recv(connection, block, sizeof block, 0);
            if (received <= 0)
                return;
            buffer.append(block, static_cast<std::size_t>(received));
            continue;
        }
        {
            const std::lock_guard lock(m_mutex);
            ++m_requests;
        }
        const std::string answer = m_script(++number, request);
        send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        if (answer.find("\r\nConnection: close\r\n") != std::string::npos || answer.empty()) {
            shutdown(connection, SHUT_RDWR);
            return;
        }
    }
}

} // namespace kingcuptiller
