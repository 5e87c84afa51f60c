#pragma once

#include "kingcuptiller/values/error.h"
#include "kingcuptiller/values/identifiers.h"

#include <json/forwards.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kingcuptiller {

namespace internal {
class rpc_server;
}

// The largest JSON-RPC request or answer.
inline constexpr std::size_t maximumMessageBytes = std::size_t(1024) * 1024;

// Refusal of a call by a control host that is not the leader. `leader` is where to send the call,
// or empty while no leader is known.
class not_leader_error : public error
{
public:
    explicit not_leader_error(endpoint_address leader);

    [[nodiscard]] const endpoint_address &leader() const { return m_leader; }

private:
    endpoint_address m_leader;
};

// Serves JSON-RPC 2.0 calls over HTTP, with the parameters as one JSON object.
//
//     json_rpc_server server({.address = "127.0.0.1", .port = 7400, .methods = {"entry_sync"}},
//                            [](const std::string &method, const Json::Value &params) {...});
//
// The handler runs in a thread of the calling connection and may block; calls of different
// connections run at the same time. It throws `error` to refuse a call; the caller sees the same
// code and sentence (and the leader of a not_leader_error). Any other exception becomes
// internal_fault. Requests above maximumMessageBytes are refused with HTTP status 413. An idle
// connection is closed after 60 s.
class json_rpc_server
{
public:
    struct options
    {
        // The IP address to listen on.
        std::string address;
        // 0 lets the kernel choose; port() tells.
        std::uint16_t port = 0;
        // Calls of other methods are refused by the library.
        std::vector<std::string> methods;
        // Each connection costs a thread, so this bounds the threads too.
        unsigned maximumConnections = 256;
    };
    using handler =
        std::function<Json::Value(const std::string &method, const Json::Value &params)>;

    // Listens at once. Throws `error` with port_unavailable when the address cannot be bound.
    json_rpc_server(const options &chosen, handler handle);
    // Stops listening and waits for the calls that are being handled.
    ~json_rpc_server();
    json_rpc_server(const json_rpc_server &) = delete;
    json_rpc_server &operator=(const json_rpc_server &) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    std::unique_ptr<internal::rpc_server> m_server;
};

} // namespace kingcuptiller
