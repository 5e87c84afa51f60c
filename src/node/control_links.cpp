#include "kingcuptiller/node/control_node.h"

#include "../consensus/peer_json.h"
#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/values/error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

// The connections of a control host: to the other control hosts, and from entries.

namespace kingcuptiller {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr milliseconds connectLimit{1'000};
constexpr milliseconds dialPause{300};
constexpr milliseconds acceptPause{50};

auto into(error_code &problem)
{
    return asio::redirect_error(asio::use_awaitable, problem);
}

} // namespace

asio::awaitable<void> control_node::acceptAll()
{
    while (m_acceptor.is_open()) {
        error_code problem;
        auto socket = co_await m_acceptor.async_accept(into(problem));
        if (problem == asio::error::operation_aborted)
            co_return;
        if (problem) {
            asio::steady_timer pause(m_context, acceptPause);
            co_await pause.async_wait(into(problem));
            continue;
        }
        if (!makeRoom())
            continue;
        const auto connection =
            std::make_shared<frame_connection>(std::move(socket), m_heldFrames.open());
        m_accepted.insert(connection);
        m_silent.push_back({connection, m_options.now()});
        const std::weak_ptr<frame_connection> weak = connection;
        connection->start(
            [this, weak](const frame &received) {
                if (const auto open = weak.lock()) {
                    noteSpoken(open);
                    receive(open, received);
                }
            },
            [this, weak] {
                const auto closed = weak.lock();
                m_entries.erase(closed.get());
                m_accepted.erase(closed);
            });
    }
}

bool control_node::makeRoom()
{
    if (m_accepted.size() < m_options.maximumConnections)
        return true;
    const bool canClose = !m_silent.empty();
    log_line(log_level::warning, "control",
             canClose ? "silent_connection_closed" : "connection_refused")
        .field("connections", static_cast<std::uint64_t>(m_accepted.size()))
        .field("limit", static_cast<std::uint64_t>(m_options.maximumConnections));
    if (!canClose)
        return false;
    const auto oldest = m_silent.front().connection.lock();
    m_silent.pop_front();
    if (oldest)
        oldest->close();
    return true;
}

void control_node::noteSpoken(const std::shared_ptr<frame_connection> &connection)
{
    std::erase_if(m_silent, [&](const silent_connection &each) {
        const auto open = each.connection.lock();
        return !open || open == connection;
    });
}

void control_node::closeSilentConnections()
{
    const instant now = m_options.now();
    while (!m_silent.empty() && now - m_silent.front().openedAt >= m_options.firstFrameLimit) {
        const auto connection = m_silent.front().connection.lock();
        m_silent.pop_front();
        if (connection)
            connection->close();
    }
}

void control_node::noteHost(const host_id &host)
{
    if (host == m_options.host || host.empty())
        return;
    if (m_peers.try_emplace(host).second && m_replica)
        m_replica->addJoinTarget(host);
}

void control_node::dialPeers()
{
    const instant now = m_options.now();
    for (auto &[host, link] : m_peers) {
        if (link.connection || link.dialling || now < link.dialAgain)
            continue;
        link.dialling = true;
        asio::co_spawn(m_context, dial(host), asio::detached);
    }
}

asio::awaitable<void> control_node::dial(host_id host)
{
    asio::ip::tcp::socket socket(m_context);
    error_code problem;
    const auto address = asio::ip::make_address(host.text(), problem);
    if (!problem) {
        const auto timer = std::make_shared<asio::steady_timer>(m_context, connectLimit);
        const auto connecting = std::make_shared<asio::ip::tcp::socket>(m_context);
        timer->async_wait([connecting](error_code stopped) {
            error_code ignored;
            if (!stopped)
                connecting->close(ignored);
        });
        co_await connecting->async_connect({address, m_options.port}, into(problem));
        const bool timedOut = timer->cancel() == 0;
        if (timedOut && !problem)
            problem = asio::error::timed_out;
        if (!problem)
            socket = std::move(*connecting);
    }
    peer_link &link = m_peers[host];
    link.dialling = false;
    link.dialAgain = m_options.now() + dialPause;
    if (problem)
        co_return;
    link.connection = std::make_shared<frame_connection>(std::move(socket));
    log_line(log_level::info, "control", "peer_connected").field("host", host.text());
    link.connection->start(
        [](const frame &) {},
        [this, host] {
            log_line(log_level::warning, "control", "peer_disconnected").field("host", host.text());
            m_peers[host].connection.reset();
        });
    introduce(*link.connection);
}

void control_node::introduce(frame_connection &connection)
{
    Json::Value object;
    object["host"] = m_options.host.text();
    Json::Value known(Json::arrayValue);
    for (const auto &[host, link] : m_peers)
        known.append(host.text());
    object["known"] = known;
    connection.send(frame_kind::introduction, internal::writeCompactJson(object));
}

void control_node::sendTo(const host_id &host, frame_kind kind, const std::string &body)
{
    const auto found = m_peers.find(host);
    if (found != m_peers.end() && found->second.connection)
        found->second.connection->send(kind, body);
}

void control_node::receive(const std::shared_ptr<frame_connection> &connection,
                           const frame &received)
{
    try {
        switch (received.kind) {
        case frame_kind::introduction:
            noteIntroduction(received.body);
            break;
        case frame_kind::peer:
            if (!m_replica)
                break;
            guardDisk(
                [&] { m_replica->receive(decodePeerMessage(received.body), m_options.now()); });
            scheduleRound();
            break;
        case frame_kind::call:
            noteCall(received.body);
            break;
        case frame_kind::reply:
            noteReply(received.body);
            break;
        case frame_kind::probe:
            connection->send(m_current ? frame_kind::current : frame_kind::stale, {});
            break;
        case frame_kind::presence:
            notePresence(connection, received.body);
            break;
        case frame_kind::credit_request:
            noteCreditRequest(connection, received.body);
            break;
        default:
            break;
        }
    } catch (const std::exception &failure) {
        log_line(log_level::warning, "control", "frame_refused").field("reason", failure.what());
        connection->close();
    }
}

void control_node::noteIntroduction(const std::string &body)
{
    const Json::Value object = internal::parseJsonObject(body);
    const host_id host(internal::stringField(object, "host"));
    const bool isNew = !m_peers.contains(host);
    noteHost(host);
    for (const Json::Value &each : internal::arrayField(object, "known"))
        noteHost(host_id(each.asString()));
    // The others learn of a newcomer from those that know it.
    if (!isNew)
        return;
    for (const auto &[other, link] : m_peers) {
        if (link.connection)
            introduce(*link.connection);
    }
}

void control_node::notePresence(const std::shared_ptr<frame_connection> &connection,
                                const std::string &body)
{
    const Json::Value object = internal::parseJsonObject(body);
    const auto [place, isNew] = m_entries.try_emplace(connection.get());
    entry_feed &feed = place->second;
    // Later presences may cross a view that is on its way; what was sent in order arrives.
    if (isNew) {
        feed.connection = connection;
        feed.version = revision_number(internal::unsignedField(object, "version"));
        feed.appliedCommands = internal::unsignedField(object, "commands");
    }
    const std::string entry = internal::stringField(object, "entry");
    if (!entry.empty())
        passOnPresence(entry);
    if (!m_current)
        connection->send(frame_kind::stale, {});
    else if (feed.appliedCommands == m_control->state().appliedCommands())
        connection->send(frame_kind::current, {});
    else if (feed.appliedCommands < m_control->state().appliedCommands())
        sendView(feed);
}

void control_node::noteCreditRequest(const std::shared_ptr<frame_connection> &connection,
                                     const std::string &body)
{
    const std::weak_ptr<frame_connection> weak = connection;
    passOn({"credits", body}, [weak](const call_answer &answer) {
        const auto open = weak.lock();
        if (open && answer.code == result_code::ok)
            open->send(frame_kind::credit_reply, answer.body);
    });
}

void control_node::passOnPresence(const std::string &entry)
{
    if (m_current && !m_control->isLeading()) {
        const fleet_entry present = decodeFleetEntry(entry);
        const auto known = m_control->state().entries().find(present.address);
        if (known != m_control->state().entries().end() && known->second == present) {
            m_presentEntries.insert(present.address);
            return;
        }
    }
    passOn({"entry", entry}, [](const call_answer &) {});
}

void control_node::sendViews()
{
    const instant now = m_options.now();
    if (now < m_viewsDue || !m_current)
        return;
    m_viewsDue = now + m_options.viewInterval;
    for (auto &[connection, feed] : m_entries) {
        if (feed.appliedCommands < m_control->state().appliedCommands())
            sendView(feed);
    }
}

void control_node::sendView(entry_feed &feed)
{
    const fleet_state &state = m_control->state();
    view_span span{feed.appliedCommands, feed.version, state.appliedCommands(),
                   m_replica->status().members.voters};
    // Entries that are in step get the same bytes.
    if (span != m_newestView.span) {
        fleet_difference difference =
            m_control->differenceSince(feed.appliedCommands, feed.version);
        for (const replica_identity &voter : span.voters)
            difference.controlHosts.push_back(voter.host);
        m_newestView = {std::move(span), encodeFleetDifference(difference)};
        m_viewsEncoded.add();
    }
    feed.version = state.version();
    feed.appliedCommands = state.appliedCommands();
    feed.connection->send(frame_kind::view, m_newestView.body);
}

} // namespace kingcuptiller
