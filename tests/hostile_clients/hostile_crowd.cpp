#include "tests/hostile_clients/hostile_crowd.h"

#include <boost/asio/ip/address_v4.hpp>

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <string_view>
#include <thread>

namespace kingcuptiller {

namespace {

constexpr std::size_t pieceBytes = 65'536;
// A server that takes nothing for so long has stopped reading.
constexpr std::chrono::seconds stallLimit{2};
constexpr std::chrono::milliseconds retryInterval{2};

int connectTo(const tcp_endpoint &where)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port());
    address.sin_addr.s_addr = htonl(where.address().to_v4().to_uint());
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, O_NONBLOCK);
    return socket;
}

std::string repeated(const std::string &text, std::size_t atLeast)
{
    std::string result;
    while (!text.empty() && result.size() < atLeast)
        result += text;
    return result;
}

} // namespace

hostile_crowd::~hostile_crowd()
{
    for (const client &each : m_clients)
        ::close(each.socket);
}

bool hostile_crowd::sendSome(client &sender, const hostile_input &input)
{
    const std::size_t total = std::max(input.begin.size(), input.mostBytes);
    if (sender.sentBytes >= total) {
        sender.isFinished = true;
        return false;
    }
    const std::string_view text = sender.sentBytes < input.begin.size()
        ? std::string_view(input.begin).substr(sender.sentBytes)
        : std::string_view(input.filler)
              .substr((sender.sentBytes - input.begin.size()) % input.filler.size());
    const auto sent = ::send(sender.socket, text.data(), text.size(), MSG_NOSIGNAL);
    if (sent > 0) {
        sender.sentBytes += static_cast<std::size_t>(sent);
        return true;
    }
    sender.isFinished = errno != EAGAIN && errno != EWOULDBLOCK;
    return false;
}

void hostile_crowd::attack(const tcp_endpoint &where, std::size_t clients,
                           const hostile_input &input)
{
    const hostile_input whole{input.begin, repeated(input.filler, pieceBytes), input.mostBytes};
    std::vector<client> crowd;
    for (std::size_t i = 0; i < clients; ++i) {
        const int socket = connectTo(where);
        if (socket >= 0)
            crowd.push_back({socket});
    }
    auto lastProgress = std::chrono::steady_clock::now();
    const auto isFinished = [](const client &each) { return each.isFinished; };
    while (!std::all_of(crowd.begin(), crowd.end(), isFinished)
           && std::chrono::steady_clock::now() - lastProgress < stallLimit) {
        bool hasProgress = false;
        for (client &each : crowd) {
            if (!each.isFinished && sendSome(each, whole))
                hasProgress = true;
        }
        if (hasProgress)
            lastProgress = std::chrono::steady_clock::now();
        else
            std::this_thread::sleep_for(retryInterval);
    }
    m_clients.insert(m_clients.end(), crowd.begin(), crowd.end());
}

} // namespace kingcuptiller
