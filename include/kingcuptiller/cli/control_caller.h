#pragma once

#include "kingcuptiller/protocol/messages.h"
#include "kingcuptiller/settings/settings_reader.h"

#include <json/value.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace kingcuptiller {

// Makes one JSON-RPC call to one control host. Throws as json_rpc_client::call does.
using control_call_hook = std::function<Json::Value(
    const endpoint_address &server, const std::string &method, const Json::Value &params)>;

// Calls whichever control host leads: follows the hints of the others, goes on to the next host
// when one does not answer, and waits for an election. Every call is safe to repeat, so it is sent
// again until it is answered or the rounds are used up.
//
//     control_caller caller(hosts, call, pause);
//     const state_report state = caller.showState();
//     const change_answer answer = caller.submit(change);
class control_caller
{
public:
    // The most rounds over all hosts, and the pause after each; together longer than an election.
    static constexpr std::size_t maximumRounds = 20;
    static constexpr milliseconds pauseBetweenRounds{250};

    control_caller(std::vector<host_address> hosts, control_call_hook call,
                   std::function<void(milliseconds)> pause);

    // Throws `error` with the code of the last attempt.
    [[nodiscard]] state_report showState();

    // Throws `error` with change_outcome_unknown when the change may have been sent and no answer
    // came; the same change id can be submitted again later. A refused change is returned, not
    // thrown. Waits until the change is in force everywhere, at most maximumRounds answers long.
    [[nodiscard]] change_answer submit(const change_request &change);

private:
    [[nodiscard]] Json::Value call(const std::string &method, const Json::Value &params);

    std::vector<host_address> m_hosts;
    control_call_hook m_call;
    std::function<void(milliseconds)> m_pause;
    std::size_t m_next = 0;
    // A call reached a host and its outcome was not told.
    bool m_uncertain = false;
};

} // namespace kingcuptiller
