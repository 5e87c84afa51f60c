#include "kingcuptiller/node/fleet_feed.h"

#include "../consensus/peer_json.h"
#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/values/error.h"

#include <algorithm>
#include <utility>

namespace kingcuptiller {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr milliseconds dialLimit{1'000};
// The shortest time between two rounds of connecting.
constexpr milliseconds dialPause{200};

} // namespace

fleet_feed::fleet_feed(asio::io_context &context, fleet_feed_options options,
                       std::function<void(fleet_view)> onView)
    : m_context(context)
    , m_options(std::move(options))
    , m_onView(std::move(onView))
    , m_hosts(m_options.seeds.begin(), m_options.seeds.end())
    , m_tick(context)
{
    dialAll();
    scheduleTick();
}

void fleet_feed::setServing(bool serving)
{
    if (std::exchange(m_serving, serving) != serving)
        sendPresence();
}

void fleet_feed::scheduleTick()
{
    m_tick.expires_after(m_connection ? m_options.presenceInterval : dialPause);
    m_tick.async_wait([this](error_code problem) {
        if (problem)
            return;
        const instant now = m_options.now();
        if (m_connection && now - m_heard >= m_options.silence)
            drop("silent");
        if (m_connection)
            sendPresence();
        else if (now >= m_dialUntil)
            dialAll();
        scheduleTick();
    });
}

void fleet_feed::dialAll()
{
    const instant now = m_options.now();
    m_dialUntil = now + dialPause;
    const std::uint64_t round = ++m_round;
    std::vector<host_id> usable;
    std::copy_if(m_hosts.begin(), m_hosts.end(), std::back_inserter(usable), [&](const auto &host) {
        const auto avoided = m_avoidUntil.find(host);
        return avoided == m_avoidUntil.end() || avoided->second <= now;
    });
    if (usable.empty())
        usable.assign(m_hosts.begin(), m_hosts.end());
    for (const host_id &host : usable) {
        error_code problem;
        const auto address = asio::ip::make_address(host.text(), problem);
        if (problem)
            continue;
        const auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
        const auto timer = std::make_shared<asio::steady_timer>(m_context, dialLimit);
        timer->async_wait([socket](error_code stopped) {
            error_code ignored;
            if (!stopped)
                socket->close(ignored);
        });
        socket->async_connect({address, m_options.controlPort},
                              [this, host, socket, timer, round](error_code failure) {
                                  timer->cancel();
                                  if (!failure && socket->is_open() && round == m_round
                                      && !m_connection)
                                      adopt(host, std::move(*socket));
                              });
    }
}

void fleet_feed::adopt(const host_id &host, asio::ip::tcp::socket socket)
{
    ++m_round;
    m_host = host;
    m_heard = m_options.now();
    m_connected = m_heard;
    m_connection = std::make_shared<frame_connection>(std::move(socket));
    log_line(log_level::info, "entry", "control_connected").field("host", host.text());
    const auto *const connection = m_connection.get();
    m_connection->start([this](const frame &received) { receive(received); },
                        [this, connection] {
                            if (m_connection.get() == connection)
                                drop("closed");
                        });
    sendPresence();
}

void fleet_feed::drop(const char *reason)
{
    log_line(log_level::warning, "entry", "control_lost")
        .field("host", m_host.text())
        .field("reason", reason);
    m_avoidUntil[m_host] = m_options.now() + m_options.avoidance;
    if (const auto connection = std::exchange(m_connection, nullptr))
        connection->close();
    // While no host has a leader, they would otherwise be asked without a pause.
    if (m_options.now() >= m_dialUntil)
        dialAll();
}

void fleet_feed::sendPresence()
{
    if (!m_connection)
        return;
    Json::Value object;
    object["version"] = Json::UInt64(m_version.number());
    object["commands"] = Json::UInt64(m_commands);
    object["serving"] = m_serving;
    object["entry"] = encodeServingEntry(m_options.entry);
    m_connection->send(frame_kind::presence, internal::written(object));
}

void fleet_feed::receive(const frame &received)
{
    m_heard = m_options.now();
    if (received.kind == frame_kind::stale) {
        // After a start of the whole system no host has a leader; this one sends the view as soon
        // as it has one.
        if (m_commands > 0 || m_heard - m_connected >= m_options.silence)
            drop("without_leader");
        return;
    }
    if (received.kind != frame_kind::view)
        return;
    try {
        fleet_view view = decodeFleetView(received.body);
        // A host that is behind must not take the entry back to an older state.
        if (view.commands < m_commands || view.version < m_version)
            return;
        m_version = view.version;
        m_commands = view.commands;
        if (!view.controlHosts.empty())
            m_hosts = {view.controlHosts.begin(), view.controlHosts.end()};
        m_onView(std::move(view));
    } catch (const error &failure) {
        log_line(log_level::error, "entry", "view_refused").field("reason", failure.what());
        drop("malformed_view");
    }
}

} // namespace kingcuptiller
