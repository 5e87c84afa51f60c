#include "kingcuptiller/node/load_exchange_socket.h"

#include "kingcuptiller/telemetry/log.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace kingcuptiller {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

// Of the order of the time in which the load of an upstream changes.
constexpr milliseconds sendInterval{200};

} // namespace

load_exchange_socket::load_exchange_socket(asio::io_context &context, const host_id &host,
                                           unsigned short port, load_exchange_hooks hooks,
                                           counter_registry &counters)
    : m_socket(context)
    , m_timer(context)
    , m_port(port)
    , m_hooks(std::move(hooks))
    , m_bytesSent(counters.get("kct_entry_load_exchange_sent_bytes"))
    , m_bytesReceived(counters.get("kct_entry_load_exchange_received_bytes"))
    , m_reportsReceived(counters.get("kct_entry_load_reports_received"))
{
    error_code problem;
    const auto address = asio::ip::make_address(host.text(), problem);
    if (!problem)
        m_socket.open(udp::v4(), problem);
    if (!problem)
        m_socket.bind({address, port}, problem);
    if (!problem)
        m_socket.non_blocking(true, problem);
    if (problem) {
        log_line(log_level::warning, "entry", "load_exchange_unavailable")
            .field("reason", problem.message());
        error_code ignored;
        m_socket.close(ignored);
        return;
    }
    receiveNext();
    scheduleSending();
}

void load_exchange_socket::setPeers(const std::vector<host_id> &hosts)
{
    m_peers.clear();
    for (const host_id &host : hosts) {
        error_code problem;
        const auto address = asio::ip::make_address(host.text(), problem);
        if (!problem)
            m_peers.emplace_back(address, m_port);
    }
}

void load_exchange_socket::scheduleSending()
{
    m_timer.expires_after(sendInterval);
    m_timer.async_wait([this](error_code problem) {
        if (problem)
            return;
        sendReports();
        scheduleSending();
    });
}

void load_exchange_socket::sendReports()
{
    const std::vector<shared_load_report> reports = m_hooks.takeReports();
    if (reports.empty() || m_peers.empty())
        return;
    const std::string message = encodeLoadReports(reports);
    for (const udp::endpoint &peer : m_peers) {
        error_code problem;
        // A full link drops datagrams, which are not worth waiting for.
        m_bytesSent.add(m_socket.send_to(asio::buffer(message), peer, 0, problem));
    }
}

void load_exchange_socket::receiveNext()
{
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_sender, [this](error_code problem, std::size_t size) {
            if (problem == asio::error::operation_aborted)
                return;
            const bool isPeer =
                std::find(m_peers.begin(), m_peers.end(), m_sender) != m_peers.end();
            if (!problem && isPeer) {
                m_bytesReceived.add(size);
                if (const auto reports =
                        decodeLoadReports(std::string_view(m_buffer.data(), size))) {
                    m_reportsReceived.add(reports->size());
                    m_hooks.applyReports(*reports);
                }
            }
            receiveNext();
        });
}

} // namespace kingcuptiller
