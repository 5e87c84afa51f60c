#include "kingcuptiller/cli/control_caller.h"

#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/transport/json_rpc_client.h"
#include "kingcuptiller/values/error.h"

#include <exception>
#include <optional>

namespace kingcuptiller {

namespace {

// Refusals that another host or a later attempt may not give.
bool isPassing(result_code code)
{
    return code == result_code::not_leader || code == result_code::no_quorum
        || code == result_code::peer_unreachable || code == result_code::change_outcome_unknown;
}

} // namespace

control_caller::control_caller(std::vector<host_address> hosts, control_call_hook call,
                               std::function<void(milliseconds)> pause)
    : m_hosts(std::move(hosts))
    , m_call(std::move(call))
    , m_pause(std::move(pause))
{
    if (m_hosts.empty())
        throw error(result_code::command_line_invalid, "no control host is given; see --control");
}

state_report control_caller::showState()
{
    return fromJson<state_report>(call("show_state", Json::Value(Json::objectValue)));
}

change_answer control_caller::submit(const change_request &change)
{
    m_uncertain = false;
    try {
        change_answer answer = fromJson<change_answer>(call("submit_change", toJson(change)));
        // Control answers so when its own time limit is over; asking again waits further.
        for (std::size_t round = 0;
             answer.code == result_code::change_not_in_force && round < maximumRounds; ++round) {
            m_pause(pauseBetweenRounds);
            answer = fromJson<change_answer>(call("submit_change", toJson(change)));
        }
        return answer;
    } catch (const error &refusal) {
        if (isPassing(refusal.code()) && m_uncertain)
            throw error(result_code::change_outcome_unknown, refusal.what());
        if (isPassing(refusal.code()))
            throw;
        return {refusal.code(), change.base, refusal.what()};
    }
}

Json::Value control_caller::call(const std::string &method, const Json::Value &params)
{
    std::exception_ptr last;
    for (std::size_t round = 0; round < maximumRounds; ++round) {
        if (round > 0)
            m_pause(pauseBetweenRounds);
        std::optional<endpoint_address> hint;
        for (std::size_t tried = 0; tried < m_hosts.size(); ++tried) {
            // A hint is followed once; a second one would let two confused hosts point in circles.
            const endpoint_address server =
                hint && !hint->empty() ? *hint : m_hosts[m_next].address;
            const bool hinted = hint && !hint->empty();
            hint.reset();
            try {
                return m_call(server, method, params);
            } catch (const not_leader_error &refusal) {
                last = std::current_exception();
                if (!hinted)
                    hint = refusal.leader();
            } catch (const error &refusal) {
                last = std::current_exception();
                if (!isPassing(refusal.code()))
                    throw;
                m_uncertain = m_uncertain || refusal.code() == result_code::change_outcome_unknown
                    || dynamic_cast<const no_answer_error *>(&refusal) != nullptr;
            }
            m_next = (m_next + 1) % m_hosts.size();
        }
    }
    std::rethrow_exception(last);
}

} // namespace kingcuptiller
