#include "kingcuptiller/node/fleet_feed.h"

#include "../consensus/peer_json.h"
#include "kingcuptiller/telemetry/log.h"

#include <exception>
#include <utility>

namespace kingcuptiller {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr milliseconds dialLimit{1'000};

} // namespace

fleet_feed::fleet_feed(asio::io_context &context, fleet_feed_options options,
                       std::function<void(fleet_view)> onView)
    : m_context(context)
    , m_options(std::move(options))
    , m_onView(std::move(onView))
    , m_hosts(m_options.seeds.begin(), m_options.seeds.end())
    , m_tick(context)
{
    probeAll();
    scheduleTick();
}

void fleet_feed::setState(entry_state state)
{
    if (std::exchange(m_options.entry.state, state) != state)
        sendPresence();
}

void fleet_feed::sendCreditRequest(const std::string &body)
{
    if (m_connection)
        m_connection->send(frame_kind::credit_request, body);
}

void fleet_feed::scheduleTick()
{
    m_tick.expires_after(m_options.probeInterval);
    m_tick.async_wait([this](error_code problem) {
        if (problem)
            return;
        const instant now = m_options.now();
        if (!m_connection || now - m_heard >= m_options.doubt)
            probeAll();
        if (m_connection && now >= m_presenceDue)
            sendPresence();
        scheduleTick();
    });
}

void fleet_feed::probeAll()
{
    for (const host_id &host : m_hosts) {
        const auto [place, isNew] = m_candidates.try_emplace(host);
        if (isNew)
            dial(host);
        else if (place->second.connection)
            place->second.connection->send(frame_kind::probe, {});
    }
}

void fleet_feed::dial(const host_id &host)
{
    error_code problem;
    const auto address = asio::ip::make_address(host.text(), problem);
    if (problem)
        return;
    const auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
    const auto timer = std::make_shared<asio::steady_timer>(m_context, dialLimit);
    timer->async_wait([socket](error_code stopped) {
        error_code ignored;
        if (!stopped)
            socket->close(ignored);
    });
    socket->async_connect({address, m_options.controlPort},
                          [this, host, socket, timer](error_code failure) {
                              timer->cancel();
                              if (!failure && socket->is_open()) {
                                  noteConnected(host, std::move(*socket));
                                  return;
                              }
                              const auto asked = m_candidates.find(host);
                              if (asked != m_candidates.end() && !asked->second.connection)
                                  m_candidates.erase(asked);
                          });
}

void fleet_feed::noteConnected(const host_id &host, asio::ip::tcp::socket socket)
{
    const auto asked = m_candidates.find(host);
    // Another host was taken meanwhile.
    if (asked == m_candidates.end() || asked->second.connection)
        return;
    const auto connection = std::make_shared<frame_connection>(std::move(socket));
    asked->second.connection = connection;
    const std::weak_ptr<frame_connection> weak = connection;
    connection->start(
        [this, host, weak](const frame &received) {
            if (weak.lock() == m_connection)
                receive(received);
            else if (received.kind == frame_kind::current)
                adopt(host);
        },
        [this, host, weak] {
            const auto closed = weak.lock();
            const auto found = m_candidates.find(host);
            if (closed == m_connection)
                drop("closed");
            else if (found != m_candidates.end() && found->second.connection == closed)
                m_candidates.erase(found);
        });
    connection->send(frame_kind::probe, {});
}

void fleet_feed::closeCandidates()
{
    for (const auto &[host, each] : std::exchange(m_candidates, {})) {
        if (each.connection)
            each.connection->close();
    }
}

void fleet_feed::adopt(const host_id &host)
{
    const auto chosen = m_candidates.extract(host);
    if (chosen.empty())
        return;
    if (m_connection)
        drop("silent");
    m_host = host;
    noteContact();
    m_connection = chosen.mapped().connection;
    closeCandidates();
    log_line(log_level::info, "entry", "control_connected").field("host", host.text());
    sendPresence();
}

void fleet_feed::noteContact()
{
    m_heard = m_options.now();
    if (m_options.onContact)
        m_options.onContact(m_heard);
}

void fleet_feed::drop(const char *reason)
{
    log_line(log_level::warning, "entry", "control_lost")
        .field("host", m_host.text())
        .field("reason", reason);
    if (const auto connection = std::exchange(m_connection, nullptr))
        connection->close();
    probeAll();
}

void fleet_feed::sendPresence()
{
    if (!m_connection)
        return;
    m_presenceDue = m_options.now() + m_options.presenceInterval;
    Json::Value object;
    object["version"] = Json::UInt64(m_view.version.number());
    object["commands"] = Json::UInt64(m_view.appliedCommands);
    object["entry"] = encodeFleetEntry(m_options.entry);
    m_connection->send(frame_kind::presence, internal::writeCompactJson(object));
}

void fleet_feed::receive(const frame &received)
{
    if (received.kind == frame_kind::stale) {
        drop("without_leader");
        return;
    }
    noteContact();
    closeCandidates();
    if (received.kind == frame_kind::credit_reply && m_options.onCreditReply)
        m_options.onCreditReply(received.body);
    if (received.kind != frame_kind::view)
        return;
    try {
        const fleet_difference difference = decodeFleetDifference(received.body);
        // A host that is behind must not take the entry back to an older state.
        if (difference.appliedCommands < m_view.appliedCommands
            || difference.version < m_view.version)
            return;
        // The host counts on what it sent; only a new connection tells it where the entry is.
        if (difference.baseAppliedCommands > m_view.appliedCommands) {
            drop("view_out_of_order");
            return;
        }
        m_view = applyDifference(m_view, difference);
        if (!m_view.controlHosts.empty())
            m_hosts = {m_view.controlHosts.begin(), m_view.controlHosts.end()};
        m_onView(m_view);
        m_view.document.clear();
    } catch (const std::exception &failure) {
        log_line(log_level::error, "entry", "view_refused").field("reason", failure.what());
        drop("malformed_view");
    }
}

} // namespace kingcuptiller
