#include "kingcuptiller/transport/json_rpc_client.h"

#include "kingcuptiller/transport/json_rpc_adapter.h"

#include <json/json.h>

#include <algorithm>

namespace kingcuptiller {

namespace {

result_code remoteCode(int number)
{
    const auto &codes = allResultCodes();
    const auto found = std::find_if(codes.begin(), codes.end(), [number](result_code code) {
        return static_cast<int>(code) == number;
    });
    // Codes of JSON-RPC itself are negative: a method or parameters that the server does not know.
    return found == codes.end() ? result_code::message_malformed : *found;
}

[[noreturn]] void throwAsError(const internal::rpc_exception &failure)
{
    switch (failure.failure()) {
    case internal::rpc_failure::remote:
        if (remoteCode(failure.code()) == result_code::not_leader)
            throw not_leader_error(endpoint_address(failure.data()));
        throw error(remoteCode(failure.code()), failure.sentence());
    case internal::rpc_failure::not_connected:
        throw not_connected_error(result_code::peer_unreachable, failure.sentence());
    case internal::rpc_failure::no_answer:
        throw no_answer_error(result_code::peer_unreachable, failure.sentence());
    case internal::rpc_failure::too_large:
        throw error(result_code::message_too_large, failure.sentence());
    case internal::rpc_failure::malformed:
        break;
    }
    throw error(result_code::message_malformed, failure.sentence());
}

} // namespace

json_rpc_client::json_rpc_client(const endpoint_address &server)
    : m_client(std::make_unique<internal::rpc_client>("http://" + server.text() + "/",
                                                      maximumMessageBytes))
{
}

json_rpc_client::~json_rpc_client() = default;

Json::Value json_rpc_client::call(const std::string &method, const Json::Value &params,
                                  milliseconds timeout)
{
    Json::Value result;
    try {
        m_client->call(method, params, timeout.count(), result);
    } catch (const internal::rpc_exception &failure) {
        throwAsError(failure);
    }
    return result;
}

std::uint64_t json_rpc_client::connects() const
{
    return m_client->connects();
}

} // namespace kingcuptiller
