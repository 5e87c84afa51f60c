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
    for (std::size_t tries = 1;; ++tries) {
        const instant sentAt = m_now();
        try {
            return {.result = m_call(m_hosts[m_current], method, params, timeout),
                    .sentAt = sentAt};
        } catch (const not_leader_error &refusal) {
            const auto leader = std::find(m_hosts.begin(), m_hosts.end(), refusal.leader());
            m_current = leader != m_hosts.end() ? static_cast<std::size_t>(leader - m_hosts.begin())
                                                : (m_current + 1) % m_hosts.size();
            if (tries >= m_hosts.size())
                throw;
        } catch (const error &failure) {
            if (!anotherHostMayAnswer(failure.code()))
                throw;
            m_current = (m_current + 1) % m_hosts.size();
            if (tries >= m_hosts.size())
                throw;
        }
    }
}

} // namespace kingcuptiller
