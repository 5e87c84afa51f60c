#include "kingcuptiller/control/control_service.h"

#include "json_fields.h"

#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/supervision/process.h"
#include "kingcuptiller/transport/control_calls.h"
#include "kingcuptiller/transport/system_clock.h"

#include <fmt/format.h>

#include <random>

namespace kingcuptiller {

namespace {

using namespace internal;

// Just below the limit of a JSON-RPC call, so that a slow answer is still an answer.
constexpr milliseconds callLimit{1950};

std::uint64_t drawRandom()
{
    thread_local std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

std::string ipOf(const endpoint_address &address)
{
    std::string ip = address.text().substr(0, address.text().rfind(':'));
    if (ip.starts_with('[') && ip.ends_with(']'))
        ip = ip.substr(1, ip.size() - 2);
    return ip;
}

std::uint16_t portOf(const endpoint_address &address)
{
    return static_cast<std::uint16_t>(
        std::stoul(address.text().substr(address.text().rfind(':') + 1)));
}

replica_settings replicaSettings(const control_settings &settings)
{
    replica_settings result;
    for (const auto &each : settings.peers)
        result.hosts.push_back(each.host);
    result.heartbeatInterval = settings.heartbeat;
    result.minimumElectionTimeout = settings.electionMinimum;
    result.maximumElectionTimeout = settings.electionMaximum;
    return result;
}

control_options controlOptions(const control_settings &settings)
{
    control_options result;
    result.leases.entryLease = settings.entryLease;
    result.ledger = {settings.ledgerRetention, settings.ledgerRecords, settings.ledgerBodyBudget};
    return result;
}

} // namespace

control_service::control_service(const control_settings &settings, bool founding)
    : m_settings(settings)
    , m_loop(control_loop_options{
                 replicaSettings(settings),
                 controlOptions(settings),
                 [folder = settings.dataFolder] { return posixDisk(folder); },
                 {settings.host, founding,
                  [] { return fmt::format("{:016x}{:016x}", drawRandom(), drawRandom()); }},
                 readInstant,
                 readWallTime,
                 drawRandom,
                 [this](const peer_message &message) {
                     const auto link = m_links.find(message.to.host);
                     if (link != m_links.end())
                         link->second->send(message);
                 }},
             m_counters)
    , m_pages(m_loop, m_counters, settings.host)
{
    for (const auto &each : settings.peers) {
        if (each.host != settings.host)
            m_links[each.host] = std::make_unique<peer_link>(each.host, each.address, m_counters);
    }
    m_loop.open();
}

void control_service::addComponents(supervisor &root)
{
    root.add(
        threadComponent("control_loop", [this](const std::stop_token &stop) { m_loop.run(stop); }));
    for (const auto &[host, link] : m_links) {
        for (unsigned sender = 0; sender < peer_link::senders; ++sender)
            root.add(threadComponent(
                fmt::format("peer_{}_{}", host.text(), sender),
                [link = link.get()](const std::stop_token &stop) { link->run(stop); }));
    }
    const json_rpc_server::options options{.address = ipOf(m_settings.rpcListen),
                                           .port = portOf(m_settings.rpcListen),
                                           .methods = {"entry_sync", "claim_requests",
                                                       "settle_requests", "submit_change",
                                                       "show_state", "peer_message"}};
    root.add({.name = "rpc_server",
              .start =
                  [this, options] {
                      m_server = std::make_unique<json_rpc_server>(
                          options, [this](const std::string &method, const Json::Value &params) {
                              return handle(method, params);
                          });
                  },
              .stop = [this] { m_server.reset(); },
              .failure = [](instant) { return std::nullopt; }});
    const http_server::options httpOptions{.address = ipOf(m_settings.httpListen),
                                           .port = portOf(m_settings.httpListen),
                                           .certificateFile = "",
                                           .keyFile = ""};
    root.add({.name = "http_server",
              .start =
                  [this, httpOptions] {
                      m_httpServer = std::make_unique<http_server>(
                          httpOptions,
                          [this](const http_request &request, const http_reply &answer) {
                              m_pages.handle(request, answer);
                          });
                  },
              .stop = [this] { m_httpServer.reset(); },
              .failure = [](instant) { return std::nullopt; }});
}

int control_service::run()
{
    supervisor root("control", restart_policy{});
    addComponents(root);
    return supervise(root,
                     {.now = readInstant,
                      .terminationRequested = [] {},
                      // The other hosts elect a leader when this one falls silent; calls
                      // that wait are answered while the components stop.
                      .readyToStop = [] { return true; }});
}

Json::Value control_service::handle(const std::string &method, const Json::Value &params)
{
    m_counters.get("kct_control_calls", {{"method", method}}).add();
    try {
        if (method == "entry_sync")
            return syncEntry(params);
        if (method == "claim_requests")
            return claimRequests(params);
        if (method == "settle_requests")
            return settleRequests(params);
        if (method == "submit_change")
            return submitChange(params);
        if (method == "show_state")
            return showState();
        if (method == "peer_message")
            return takePeerMessages(params);
    } catch (const error &failure) {
        m_counters
            .get("kct_control_refused_calls",
                 {{"code", std::string(name(failure.code()))}, {"method", method}})
            .add();
        if (failure.code() == result_code::not_leader)
            throw not_leader_error(leaderAddress());
        throw;
    }
    throw error(result_code::not_found, "there is no method " + method);
}

endpoint_address control_service::leaderAddress() const
{
    const auto status = m_loop.status();
    for (const auto &each : m_settings.peers) {
        if (each.host == status->leader && each.host != m_settings.host)
            return each.address;
    }
    return {};
}

void control_service::requireLease() const
{
    if (!m_loop.hasLease())
        throw error(result_code::not_leader, "this control host is not the leader");
}

Json::Value control_service::syncEntry(const Json::Value &params)
{
    const auto request = fromJson<entry_sync_request>(params);
    const auto response = m_loop.call<entry_sync_response>(
        [request](control_core &core, lease_moment moment, const auto &done) {
            done(core.syncEntry(request, moment));
        },
        callLimit);
    Json::Value document = toJson(response);
    document["epoch"] = Json::UInt64(m_loop.status()->term.number());
    // The thread may have been stopped since the control thread answered.
    requireLease();
    return document;
}

Json::Value control_service::claimRequests(const Json::Value &params)
{
    const auto claims = claimsFromJson(params);
    const auto answers = m_loop.call<std::vector<claim_answer>>(
        [claims](control_core &core, lease_moment moment, const auto &done) {
            core.claimRequests(claims, moment, done);
        },
        callLimit);
    return claimAnswersToJson(answers);
}

Json::Value control_service::settleRequests(const Json::Value &params)
{
    const auto settlements = settlementsFromJson(params);
    const auto settled = m_loop.call<std::size_t>(
        [settlements](control_core &core, lease_moment moment, const auto &done) {
            core.settleRequests(settlements, moment, done);
        },
        callLimit);
    Json::Value result(Json::objectValue);
    result["settled"] = Json::UInt64(settled);
    return result;
}

Json::Value control_service::submitChange(const Json::Value &params)
{
    const auto request = fromJson<change_request>(params);
    return toJson(m_loop.call<change_answer>(
        [request](control_core &core, lease_moment moment, const auto &done) {
            core.submitChange(request, moment, done);
        },
        callLimit));
}

Json::Value control_service::showState()
{
    auto report = m_loop.call<state_report>([](control_core &core, lease_moment moment,
                                               const auto &done) { done(core.report(moment)); },
                                            callLimit);
    const auto status = m_loop.status();
    report.leader = status->self.host;
    report.epoch = status->term;
    report.committed = status->committed;
    report.replicas.push_back(
        {status->self.host, status->self.incarnation, "leader", status->lastIndex});
    for (const auto &each : status->peers) {
        const std::string role = !each.reachable ? "unreachable"
            : each.voter                         ? "follower"
                                                 : "learner";
        report.replicas.push_back(
            {each.identity.host, each.identity.incarnation, role, each.matchIndex});
    }
    requireLease();
    return toJson(report);
}

Json::Value control_service::takePeerMessages(const Json::Value &params)
{
    const Json::Value &messages = member(params, "messages");
    if (!messages.isArray())
        throwField("messages", "is not a list");
    for (const Json::Value &each : messages)
        m_loop.receive(decodePeerMessage(writeJson(each)));
    return Json::Value(Json::objectValue);
}

} // namespace kingcuptiller
