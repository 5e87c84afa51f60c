#pragma once

#include "kingcuptiller/transport/json_rpc_server.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace kingcuptiller {

namespace internal {
class rpc_client;
}

// No connection could be made, so the call did not reach the host. Code: peer_unreachable.
class not_connected_error : public error
{
public:
    using error::error;
};

// The call was sent, at least in part, and no complete answer came in time. Whether it ran is
// unknown. Code: peer_unreachable.
class no_answer_error : public error
{
public:
    using error::error;
};

// Calls one JSON-RPC server over one connection that is kept alive and made again when it breaks.
// Used by one thread at a time; a thread that needs calls in parallel uses several clients.
//
//     json_rpc_client client(endpoint_address("127.0.0.1:7400"));
//     const Json::Value result = client.call("entry_sync", toJson(request), milliseconds(2000));
class json_rpc_client
{
public:
    explicit json_rpc_client(const endpoint_address &server);
    ~json_rpc_client();
    json_rpc_client(const json_rpc_client &) = delete;
    json_rpc_client &operator=(const json_rpc_client &) = delete;

    // Returns the result. Throws not_connected_error, no_answer_error, not_leader_error, or `error`
    // with the server's code, message_too_large (either way above maximumMessageBytes) or
    // message_malformed.
    Json::Value call(const std::string &method, const Json::Value &params, milliseconds timeout);

    // Connections made since the client was created; more than one means that one broke.
    [[nodiscard]] std::uint64_t connects() const;

private:
    std::unique_ptr<internal::rpc_client> m_client;
};

} // namespace kingcuptiller
