#include "kingcuptiller/transport/json_rpc_server.h"

#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/transport/json_rpc_adapter.h"

#include <json/json.h>

namespace kingcuptiller {

namespace {

void answer(const json_rpc_server::handler &handle, const std::string &method,
            const Json::Value &params, Json::Value &result)
{
    using internal::rpc_exception;
    using internal::rpc_failure;
    try {
        result = handle(method, params);
    } catch (const not_leader_error &refusal) {
        throw rpc_exception(rpc_failure::remote, static_cast<int>(refusal.code()), refusal.what(),
                            refusal.leader().text());
    } catch (const error &refusal) {
        throw rpc_exception(rpc_failure::remote, static_cast<int>(refusal.code()), refusal.what(),
                            "");
    } catch (const std::exception &fault) {
        log_line(log_level::error, "json_rpc_server", "handler_failed")
            .field("method", method)
            .field("reason", fault.what());
        throw rpc_exception(rpc_failure::remote, static_cast<int>(result_code::internal_fault),
                            std::string(advice(result_code::internal_fault)), "");
    }
}

} // namespace

not_leader_error::not_leader_error(endpoint_address leader)
    : error(result_code::not_leader, std::string(advice(result_code::not_leader)))
    , m_leader(std::move(leader))
{
}

json_rpc_server::json_rpc_server(const options &chosen, handler handle)
{
    internal::rpc_server_options inner;
    inner.address = chosen.address;
    inner.port = chosen.port;
    inner.maximumMessage = maximumMessageBytes;
    inner.maximumConnections = chosen.maximumConnections;
    inner.methods = chosen.methods;
    try {
        m_server = std::make_unique<internal::rpc_server>(
            inner,
            [handle = std::move(handle)](const std::string &method, const Json::Value &params,
                                         Json::Value &result) {
                answer(handle, method, params, result);
            });
    } catch (const internal::rpc_exception &failure) {
        throw error(result_code::port_unavailable, failure.sentence());
    }
}

json_rpc_server::~json_rpc_server() = default;

std::uint16_t json_rpc_server::port() const
{
    return m_server->port();
}

} // namespace kingcuptiller
