#pragma once

#include "kingcuptiller/transport/json_rpc_client.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace kingcuptiller {

// One call to one control host. Throws like json_rpc_client::call.
using control_call =
    std::function<Json::Value(const endpoint_address &host, std::string_view method,
                              const Json::Value &params, milliseconds timeout)>;

// A control_call over JSON-RPC that keeps one connection to each host. For one thread.
[[nodiscard]] control_call jsonRpcCalls();

// Calls the leader among the control hosts: it follows not_leader hints and goes on to the next
// host when one does not answer. It stays with the host that answered last. For one thread.
class control_link
{
public:
    control_link(std::vector<endpoint_address> hosts, control_call call,
                 std::function<instant()> now);

    struct answer
    {
        Json::Value result;
        // When the call that was answered was sent.
        instant sentAt;
    };

    // Tries hosts, hinted leaders first, until one answers, each was tried or `timeout` is over in
    // all. Throws the error of the last try, or at once one that another host would give too, such
    // as message_malformed.
    answer call(std::string_view method, const Json::Value &params, milliseconds timeout);

private:
    void moveOn(const endpoint_address &leader);

    std::vector<endpoint_address> m_hosts;
    control_call m_call;
    std::function<instant()> m_now;
    std::size_t m_current = 0;
};

} // namespace kingcuptiller
