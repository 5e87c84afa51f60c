#include "kingcuptiller/control/peer_link.h"

#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/transport/json_rpc_client.h"

namespace kingcuptiller {

namespace {

// A call holds one message of maximumPeerMessageBytes or several small ones; its frame must fit
// too.
constexpr std::size_t maximumBatchBytes = 512 * std::size_t{1024};
constexpr milliseconds callLimit{2000};

} // namespace

peer_link::peer_link(const host_id &host, endpoint_address address, counter_registry &counters)
    : m_address(std::move(address))
    , m_sent(counters.get("kct_control_peer_messages", {{"peer", host.text()}}))
    , m_failed(counters.get("kct_control_peer_failures", {{"peer", host.text()}}))
    , m_dropped(counters.get("kct_control_peer_dropped", {{"peer", host.text()}}))
{
}

void peer_link::send(const peer_message &message)
{
    std::string text = encodePeerMessage(message);
    const std::lock_guard lock(m_mutex);
    m_queue.push_back(std::move(text));
    if (m_queue.size() > maximumQueue) {
        m_queue.pop_front();
        m_dropped.add();
    }
    m_wake.notify_one();
}

std::vector<std::string> peer_link::takeBatch(const std::stop_token &stop)
{
    std::unique_lock lock(m_mutex);
    m_wake.wait(lock, stop, [this] { return !m_queue.empty(); });
    std::vector<std::string> batch;
    std::size_t bytes = 0;
    while (!m_queue.empty()
           && (batch.empty() || bytes + m_queue.front().size() <= maximumBatchBytes)) {
        bytes += m_queue.front().size();
        batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    return batch;
}

void peer_link::run(const std::stop_token &stop)
{
    json_rpc_client client(m_address);
    while (!stop.stop_requested()) {
        const auto batch = takeBatch(stop);
        if (batch.empty())
            continue;
        try {
            Json::Value params(Json::objectValue);
            params["messages"] = Json::Value(Json::arrayValue);
            for (const auto &each : batch)
                params["messages"].append(parseJson(each, maximumPeerMessageBytes));
            client.call("peer_message", params, callLimit);
            m_sent.add(batch.size());
        } catch (const error &) {
            // The replicas send again what matters.
            m_failed.add();
        }
    }
}

} // namespace kingcuptiller
