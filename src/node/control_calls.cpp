#include "kingcuptiller/node/control_node.h"

#include "../consensus/peer_json.h"
#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/values/error.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Calls of operators, upstreams and entries, answered here by the leader or passed on to it.

namespace kingcuptiller {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// An upstream that has ended, and the start of the incarnation that is meant, if one is known.
struct known_incarnation
{
    upstream_id id;
    std::optional<std::int64_t> startTimeMs;
};

std::string toJson(const known_incarnation &incarnation)
{
    Json::Value object;
    object["id"] = incarnation.id.text();
    if (incarnation.startTimeMs)
        object["born"] = Json::Int64(*incarnation.startTimeMs);
    return internal::writeCompactJson(object);
}

known_incarnation knownIncarnationFromJson(const std::string &text)
{
    const Json::Value object = internal::parseJsonObject(text);
    known_incarnation incarnation{upstream_id(internal::stringField(object, "id")), std::nullopt};
    if (object.isMember("born"))
        incarnation.startTimeMs = internal::signedField(object, "born");
    return incarnation;
}

std::string toJson(const std::map<upstream_id, heartbeat_number> &heartbeats,
                   const std::set<endpoint_address> &presentEntries)
{
    Json::Value list(Json::arrayValue);
    for (const auto &[id, heartbeat] : heartbeats) {
        Json::Value object;
        object["id"] = id.text();
        object["born"] = Json::Int64(heartbeat.startTimeMs);
        object["sequence"] = Json::UInt64(heartbeat.sequence);
        list.append(object);
    }
    Json::Value entries(Json::arrayValue);
    for (const endpoint_address &address : presentEntries)
        entries.append(address.text());
    Json::Value object;
    object["heartbeats"] = list;
    object["entries"] = entries;
    return internal::writeCompactJson(object);
}

std::vector<heartbeat_number> heartbeatsFromJson(const Json::Value &object)
{
    std::vector<heartbeat_number> heartbeats;
    for (const Json::Value &each : internal::arrayField(object, "heartbeats"))
        heartbeats.push_back({upstream_id(internal::stringField(each, "id")),
                              internal::signedField(each, "born"),
                              internal::unsignedField(each, "sequence")});
    return heartbeats;
}

std::vector<endpoint_address> entriesFromJson(const Json::Value &object)
{
    std::vector<endpoint_address> entries;
    for (const Json::Value &each : internal::arrayField(object, "entries")) {
        if (!each.isString())
            internal::reportMalformed("the address of an entry is not a string");
        entries.emplace_back(each.asString());
    }
    return entries;
}

} // namespace

asio::awaitable<control_node::call_answer> control_node::call(call_text text)
{
    struct waiting
    {
        asio::steady_timer timer;
        std::optional<call_answer> answer;
    };
    const auto state = std::make_shared<waiting>(
        waiting{asio::steady_timer(m_context, m_options.callLimit), std::nullopt});
    const call_reply done = [state](const call_answer &answer) {
        state->answer = answer;
        state->timer.cancel();
    };
    passOn(text, done);
    error_code ignored;
    if (!state->answer)
        co_await state->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    call_answer answer = state->answer.value_or(call_answer{});
    m_counters
        .get("kct_control_calls",
             {{"operation", text.operation}, {"code", std::string(name(answer.code))}})
        .add();
    co_return answer;
}

void control_node::answerHere(const call_text &text, const call_reply &done)
{
    const instant now = m_options.now();
    const command_result_callback withCode = [done](result_code code) { done({code, {}}); };
    if (text.operation == "order") {
        m_control->submitCommand(decodeFleetCommand(text.body), now, withCode);
    } else if (text.operation == "announce") {
        m_control->announce(decodeUpstreamIncarnation(text.body), now, withCode);
    } else if (text.operation == "end_incarnation") {
        const known_incarnation ended = knownIncarnationFromJson(text.body);
        m_control->withdraw(ended.id, ended.startTimeMs, now, withCode);
    } else if (text.operation == "unchanged_heartbeats") {
        const Json::Value object = internal::parseJsonObject(text.body);
        m_control->recordUnchangedHeartbeats(heartbeatsFromJson(object), entriesFromJson(object),
                                             now);
        withCode(result_code::ok);
    } else if (text.operation == "entry") {
        m_control->recordEntryHeartbeat(decodeFleetEntry(text.body), now);
        withCode(result_code::ok);
    } else if (text.operation == "credits" && m_replica && m_replica->hasLease(now)) {
        done(grantCredits(text.body, now));
    } else if (text.operation == "read" && m_replica && m_replica->hasLease(now)) {
        done({result_code::ok, m_control->state().document()});
    } else {
        withCode(result_code::not_leader);
    }
}

void control_node::updateQuotaPool(instant now)
{
    const fleet_state &state = m_control->state();
    if (m_quotaVersion == state.version() || !m_options.decodeAccounts || state.document().empty())
        return;
    m_quotaVersion = state.version();
    m_quotaPool.setAccounts(m_options.decodeAccounts(state.document()), now);
}

control_node::call_answer control_node::grantCredits(const std::string &body, instant now)
{
    updateQuotaPool(now);
    const credit_reply reply =
        m_quotaPool.handle(decodeCreditRequest(body), m_control->state().entries().size(), now);
    return {result_code::ok, encodeCreditReply(reply)};
}

void control_node::passOn(const call_text &text, const call_reply &done)
{
    if (m_control->isLeading()) {
        answerHere(text, done);
        return;
    }
    const host_id leader = m_replica ? m_replica->status().leader : host_id();
    const auto link = m_peers.find(leader);
    if (leader.empty() || link == m_peers.end() || !link->second.connection) {
        done({result_code::not_leader, {}});
        return;
    }
    Json::Value object;
    object["id"] = Json::UInt64(m_nextCall);
    object["from"] = m_options.host.text();
    object["operation"] = text.operation;
    object["body"] = text.body;
    m_calls[m_nextCall++] = {done, m_options.now() + m_options.callLimit};
    link->second.connection->send(frame_kind::call, internal::writeCompactJson(object));
}

void control_node::noteCall(const std::string &body)
{
    const Json::Value object = internal::parseJsonObject(body);
    const host_id from(internal::stringField(object, "from"));
    const std::uint64_t id = internal::unsignedField(object, "id");
    const call_text text{internal::stringField(object, "operation"),
                         internal::stringField(object, "body")};
    const call_reply reply = [this, from, id](const call_answer &answer) {
        Json::Value message;
        message["id"] = Json::UInt64(id);
        message["code"] = std::string(name(answer.code));
        message["body"] = answer.body;
        sendTo(from, frame_kind::reply, internal::writeCompactJson(message));
    };
    if (m_leaving) {
        reply({result_code::not_leader, {}});
        return;
    }
    answerHere(text, [reply, open = m_openPeerCalls](const call_answer &answer) { reply(answer); });
}

void control_node::leave()
{
    m_leaving = true;
    log_line(log_level::info, "control", "leaves")
        .field("host", m_options.host.text())
        .field("leading", m_control->isLeading() ? 1 : 0)
        .field("open_peer_calls", hasOpenPeerCalls() ? 1 : 0);
    // The leader must not take the upstreams that were answered here for silent ones.
    m_heartbeatReportTime = m_options.now();
    reportHeartbeats();
}

void control_node::noteReply(const std::string &body)
{
    const Json::Value object = internal::parseJsonObject(body);
    auto waiting = m_calls.extract(internal::unsignedField(object, "id"));
    if (!waiting.empty())
        waiting.mapped().done({resultCodeFromName(internal::stringField(object, "code")),
                               internal::stringField(object, "body")});
}

void control_node::expireCalls()
{
    const instant now = m_options.now();
    for (auto each = m_calls.begin(); each != m_calls.end();) {
        if (now < each->second.until) {
            ++each;
            continue;
        }
        const call_reply done = std::move(each->second.done);
        each = m_calls.erase(each);
        done({result_code::change_outcome_unknown, {}});
    }
}

asio::awaitable<result_code> control_node::callInOrder(std::function<call_text()> makeText,
                                                       caller_check isWaiting)
{
    const instant until = m_options.now() + m_options.callLimit - m_options.abandonmentDelay;
    result_code code = result_code::not_leader;
    do {
        asio::steady_timer delay(m_context, m_options.abandonmentDelay);
        error_code ignored;
        co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        // The state is read before the caller is checked. Orders that the caller sends after it has
        // given up this one are applied later than that, and make the text outdated.
        call_text text = makeText();
        if (wasSuspended(m_options.now()) || !isWaiting()) {
            log_line(log_level::info, "control", "abandoned_call_dropped")
                .field("operation", text.operation);
            co_return result_code::not_leader;
        }
        const call_answer answer = co_await call(std::move(text));
        code = answer.code;
    } while (code == result_code::revision_conflict && m_options.now() < until);
    co_return code == result_code::revision_conflict ? result_code::not_leader : code;
}

asio::awaitable<result_code> control_node::orderEvacuation(zone_name zone, bool evacuate,
                                                           caller_check isWaiting)
{
    std::function<call_text()> makeText = [this, zone, evacuate] {
        const evacuate_command command{zone, evacuate, m_control->state().evacuationOrders(zone)};
        return call_text{"order", encodeFleetCommand(command)};
    };
    const result_code code = co_await callInOrder(std::move(makeText), std::move(isWaiting));
    co_return code;
}

asio::awaitable<result_code> control_node::submitCommand(fleet_command command)
{
    call_text text{"order", encodeFleetCommand(command)};
    const call_answer answer = co_await call(std::move(text));
    co_return answer.code;
}

void control_node::reportHeartbeats()
{
    const instant now = m_options.now();
    if ((m_answeredHeartbeats.empty() && m_presentEntries.empty()) || now < m_heartbeatReportTime)
        return;
    m_heartbeatReportTime = now + m_options.heartbeatReportInterval;
    passOn({"unchanged_heartbeats", toJson(m_answeredHeartbeats, m_presentEntries)},
           [](const call_answer &) {});
    m_answeredHeartbeats.clear();
    m_presentEntries.clear();
}

asio::awaitable<result_code> control_node::announce(upstream_incarnation life)
{
    // Most heartbeats change nothing. Passing on each of them would take all the time of the leader
    // of a large fleet.
    if (m_current && !m_control->isLeading() && m_control->isUnchanged(life, m_options.now())) {
        const heartbeat_number heartbeat{life.id, life.startTimeMs, life.sequence};
        heartbeat_number &latest = m_answeredHeartbeats[life.id];
        latest = std::max(latest, heartbeat);
        m_counters.get("kct_control_heartbeats_answered").add();
        co_return result_code::ok;
    }
    call_text text{"announce", encodeUpstreamIncarnation(life)};
    const call_answer answer = co_await call(std::move(text));
    co_return answer.code;
}

asio::awaitable<result_code> control_node::withdraw(upstream_id id, caller_check isWaiting)
{
    std::function<call_text()> makeText = [this, id] {
        known_incarnation ended{id, std::nullopt};
        const auto known = m_control->state().upstreams().find(id);
        if (known != m_control->state().upstreams().end())
            ended.startTimeMs = known->second.startTimeMs;
        return call_text{"end_incarnation", toJson(ended)};
    };
    const result_code code = co_await callInOrder(std::move(makeText), std::move(isWaiting));
    co_return code;
}

asio::awaitable<std::optional<std::string>> control_node::readDocument()
{
    call_text text{"read", {}};
    const call_answer answer = co_await call(std::move(text));
    std::optional<std::string> document;
    if (answer.code == result_code::ok)
        document = answer.body;
    co_return document;
}

} // namespace kingcuptiller
