#include "kingcuptiller/node/control_node.h"

#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/values/error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace kingcuptiller {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// A frame is read in two passes of the event loop: its header, then its body.
constexpr int passesPerFrame = 2;

} // namespace

control_node::control_node(asio::io_context &context, control_node_options options,
                           counter_registry &counters)
    : m_context(context)
    , m_options(std::move(options))
    , m_counters(counters)
    , m_quotaPool(m_options.quota)
    , m_acceptor(
          openListener(context, {asio::ip::make_address(m_options.host.text()), m_options.port}))
    , m_tick(context)
    , m_lastTick(m_options.now())
    , m_viewsEncoded(counters.get("kct_control_views_encoded"))
    , m_heldFrames(m_options.heldFrameBytes)
{
    m_options.replicas.hosts = m_options.seeds;
    m_options.replicas.maximumVoters = m_options.maximumVoters;
    openReplica(m_options.founding);
    asio::co_spawn(m_context, acceptAll(), asio::detached);
    for (const host_id &seed : m_options.seeds)
        noteHost(seed);
    dialPeers();
    scheduleTick();
}

control_node::~control_node() = default;

void control_node::openReplica(bool founding)
{
    m_replica.reset();
    m_newestView = {};
    m_control = std::make_unique<fleet_control>(
        m_options.fleet,
        fleet_control_callbacks{
            [this](const std::string &text) -> std::optional<fleet_log_position> {
                const auto index = m_replica->propose(text, m_options.now());
                if (!index)
                    return std::nullopt;
                scheduleRound();
                return fleet_log_position{*index, m_replica->status().term};
            },
            [this] { return m_replica->hasLease(m_options.now()); }});
    if (!m_store)
        m_store = openStore(founding);
    m_replica = std::make_unique<replica>(
        m_options.replicas,
        replica_hooks{[this] { return m_control->state().snapshot(); },
                      [this](const std::string &state) { m_control->restore(state); },
                      m_options.random},
        *m_store, m_options.now());
    log_line(log_level::info, "control", "replica_opened")
        .field("host", m_options.host.text())
        .field("incarnation", m_store->identity().incarnation.text())
        .field("founding", m_store->founding() ? 1 : 0)
        .field("last_index", m_store->lastIndex().number());
}

std::unique_ptr<replica_store> control_node::openStore(bool founding)
{
    const auto open = [this](bool asFounder) {
        return std::make_unique<replica_store>(
            m_options.openDisk(m_options.dataFolder),
            store_options{m_options.host, asFounder,
                          [this] { return fmt::format("{:016x}", m_options.random()); }});
    };
    try {
        return open(founding);
    } catch (const error &failure) {
        // The folder holds a replica already: the process was started again.
        if (failure.code() != result_code::data_folder_not_founding)
            throw;
        return open(false);
    }
}

void control_node::guardDisk(const std::function<void()> &action)
{
    try {
        action();
    } catch (const error &failure) {
        if (failure.code() != result_code::disk_failed)
            throw;
        closeReplica(failure.what());
    }
}

void control_node::closeReplica(const std::string &reason)
{
    if (m_replica)
        log_line(log_level::error, "control", "replica_closed").field("reason", reason);
    else
        log_line(log_level::debug, "control", "replica_not_opened").field("reason", reason);
    m_current = false;
    m_control->stopLeading();
    m_replica.reset();
    m_store.reset();
    m_reopenTime = m_options.now() + m_options.reopenInterval;
}

void control_node::reopenReplica()
{
    if (m_options.now() < m_reopenTime)
        return;
    guardDisk([this] {
        openReplica(false);
        for (const auto &[host, link] : m_peers)
            m_replica->addJoinTarget(host);
    });
}

void control_node::scheduleTick()
{
    m_tick.expires_after(m_options.tickInterval);
    m_tick.async_wait([this](error_code problem) {
        if (problem)
            return;
        noteTick(m_options.now());
        round();
        updateGauges();
        scheduleTick();
    });
}

void control_node::noteTick(instant now)
{
    const milliseconds pause = std::chrono::duration_cast<milliseconds>(now - m_lastTick);
    m_lastTick = now;
    if (pause <= m_options.callLimit)
        return;
    m_resumedAt = now;
    log_line(log_level::warning, "control", "resumed").field("pause_ms", pause.count());
}

bool control_node::wasSuspended(instant now) const
{
    return now - m_lastTick > m_options.callLimit
        || (m_resumedAt && now - *m_resumedAt < m_options.callLimit);
}

void control_node::updateGauges()
{
    m_counters.get("kct_control_leading").set(m_control->isLeading() ? 1 : 0);
    m_counters.get("kct_control_current").set(m_current ? 1 : 0);
    m_counters.get("kct_control_commands").set(m_control->state().appliedCommands());
    m_counters.get("kct_control_upstreams").set(m_control->state().upstreams().size());
    m_counters.get("kct_control_entries").set(m_control->state().entries().size());
    m_counters.get("kct_control_entry_connections").set(m_entries.size());
}

void control_node::scheduleRound()
{
    m_inputArrived = true;
    if (std::exchange(m_roundScheduled, true))
        return;
    const microseconds longest = std::max(m_options.gatherLimit, m_options.tickInterval);
    m_gatherEnd =
        m_options.now() + std::clamp<microseconds>(m_roundDuration, m_options.gatherLimit, longest);
    gatherInput();
}

void control_node::gatherInput()
{
    // Each posted handler runs after one pass of the event loop over all connections.
    asio::post(m_context, [this] {
        m_passesWithoutInput = std::exchange(m_inputArrived, false) ? 0 : m_passesWithoutInput + 1;
        if (m_passesWithoutInput < passesPerFrame && m_options.now() < m_gatherEnd) {
            gatherInput();
            return;
        }
        m_roundScheduled = false;
        round();
    });
}

void control_node::round()
{
    const instant start = m_options.now();
    if (!m_replica)
        reopenReplica();
    if (m_replica)
        guardDisk([this] { runReplica(); });
    closeSilentConnections();
    expireCalls();
    reportHeartbeats();
    dialPeers();
    m_roundDuration = std::chrono::duration_cast<microseconds>(m_options.now() - start);
}

void control_node::runReplica()
{
    const instant now = m_options.now();
    m_replica->tick(now);
    sendOutgoing();
    for (const committed_entry &each : m_replica->takeCommitted())
        m_control->apply({each.index, each.term}, each.command, now);
    followLeadership();
    if (now >= m_timeoutCheckTime) {
        m_timeoutCheckTime = now + m_options.timeoutCheckInterval;
        m_control->tick(now);
    }
    sendOutgoing();
    noteEvents();
    m_current = m_replica->isCurrent(now);
    sendViews();
    if (m_replica->status().superseded) {
        log_line(log_level::warning, "control", "identity_abandoned")
            .field("incarnation", m_store->identity().incarnation.text());
        m_control->stopLeading();
        m_replica.reset();
        m_store->abandon();
        openReplica(false);
    }
}

void control_node::sendOutgoing()
{
    for (const peer_message &message : m_replica->takeOutgoing()) {
        noteHost(message.to.host);
        sendTo(message.to.host, frame_kind::peer, encodePeerMessage(message));
    }
}

void control_node::followLeadership()
{
    const replica_status status = m_replica->status();
    const bool leads = status.role == replica_role::leader;
    if (m_control->isLeading() && (!leads || status.term != m_leadingTerm))
        m_control->stopLeading();
    if (!m_control->isLeading() && m_replica->hasLease(m_options.now())) {
        m_leadingTerm = status.term;
        m_control->startLeading(m_options.now());
        m_quotaPool.restart(m_options.now());
    }
}

void control_node::noteEvents()
{
    for (const replica_event &event : m_replica->takeEvents())
        log_line(log_level::info, "control", event.kind).field("detail", event.detail);
}

} // namespace kingcuptiller
