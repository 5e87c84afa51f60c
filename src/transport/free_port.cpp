#include "kingcuptiller/transport/free_port.h"

#include "kingcuptiller/values/error.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace kingcuptiller {

std::uint16_t findFreePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    const bool found = descriptor >= 0 && bind(descriptor, generic, size) == 0
        && getsockname(descriptor, generic, &size) == 0;
    if (descriptor >= 0)
        close(descriptor);
    if (!found)
        throw error(result_code::port_unavailable, "no free port on 127.0.0.1");
    return ntohs(address.sin_port);
}

} // namespace kingcuptiller
