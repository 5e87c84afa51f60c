#include "kingcuptiller/entry/control_link.h"

#include <algorithm>
#include <utility>

namespace kingcuptiller {

namespace {

bool anotherHostMayAnswer(result_code code)
{
    return code == result_code::not_leader || code == result_code::peer_unreachable
        || code == result_code::no_quorum;
}

} // namespace

control_call jsonRpcCalls()
{
    auto clients = std::make_shared<std::map<endpoint_address, std::unique_ptr<json_rpc_client>>>();
    return [clients](const endpoint_address &host, std::string_view method,
                     const Json::Value &params, milliseconds timeout) {
        auto &client = (*clients)[host];
        if (!client)
            client = std::make_unique<json_rpc_client>(host);
        return client->call(std::string(method), params, timeout);
    };
}

control_link::control_link(std::vector<endpoint_address> hosts, control_call call,
                           std::function<instant()> now)
    : m_hosts(std::move(hosts))
    , m_call(std::move(call))
    , m_now(std::move(now))
{
}

control_link::answer control_link::call(std::string_view method, const Json::Value &params,
                                        milliseconds timeout)
{
    const instant endsAt = m_now() + timeout;
    instant sentAt = m_now();
    for (std::size_t tries = 1;; ++tries) {
        const auto left = std::chrono::duration_cast<milliseconds>(endsAt - sentAt);
        const auto mayTryAgain = [&] {
            sentAt = m_now();
            return tries < m_hosts.size() && endsAt - sentAt >= milliseconds(1);
        };
        try {
            return {.result = m_call(m_hosts[m_current], method, params, left), .sentAt = sentAt};
        } catch (const not_leader_error &refusal) {
            moveOn(refusal.leader());
            if (!mayTryAgain())
                throw;
        } catch (const error &failure) {
            if (!anotherHostMayAnswer(failure.code()))
                throw;
            moveOn({});
            if (!mayTryAgain())
                throw;
        }
    }
}

// Only configured hosts are called, whatever a hint says.
void control_link::moveOn(const endpoint_address &leader)
{
    const auto found = std::find(m_hosts.begin(), m_hosts.end(), leader);
    m_current = found != m_hosts.end() ? static_cast<std::size_t>(found - m_hosts.begin())
                                       : (m_current + 1) % m_hosts.size();
}

} // namespace kingcuptiller
