#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "kingcuptiller/relay/byte_budget.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace kingcuptiller {

// What a frame between two processes of the system holds; its first byte on the wire.
enum class frame_kind : char {
    // A control host introduces itself and names the control hosts that it knows.
    introduction = 'i',
    // A message of the replicated log.
    peer = 'p',
    // A control host passes a call on to the leader.
    call = 'c',
    reply = 'r',
    // An entry tells that it serves, and which view it has.
    presence = 'e',
    // An entry asks whether this control host is current; answered `current` or `stale`.
    probe = 'q',
    // A view of the fleet, for an entry.
    view = 'v',
    // The entry's view is current, or, after a probe, the host is.
    current = 'k',
    // This control host has lost the leader; its view may be old.
    stale = 's',
    // An entry asks for credits of client accounts, see `credit_request`.
    credit_request = 'a',
    // The answer, see `credit_reply`.
    credit_reply = 'g',
};

struct frame
{
    frame_kind kind = frame_kind::current;
    std::string body;

    bool operator==(const frame &) const = default;
};

// A TCP connection between two processes of the system that carries frames: four bytes of length,
// most significant first, one byte of kind, the body. JSON-RPC over HTTP would take two round trips
// for each message between regions; these connections are kept.
//
// A peer that does not acknowledge bytes for two seconds, sends a frame over 8 MiB, or does not
// read what it is sent, loses the connection, and so does one whose frame does not fit into the
// budget for the bytes of unfinished frames. All callbacks run in the thread of the context.
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    // `heldBytes` counts the bytes of a frame that has arrived in part.
    explicit frame_connection(boost::asio::ip::tcp::socket socket,
                              byte_budget::holding heldBytes = {});

    // Reads until the connection ends; then `onClose` is called once.
    void start(std::function<void(frame)> onFrame, std::function<void()> onClose);
    void send(frame_kind kind, const std::string &body);
    void close();

private:
    void readHeader();
    // Reads the rest of a body of `size` bytes, and memory grows as it arrives: a peer may announce
    // a large frame and send nothing.
    void readBody(std::size_t size);
    void finishFrame();
    void writeNext();

    boost::asio::ip::tcp::socket m_socket;
    std::function<void(frame)> m_onFrame;
    std::function<void()> m_onClose;
    std::array<unsigned char, 5> m_header{};
    std::string m_body;
    byte_budget::holding m_heldBytes;
    std::deque<std::string> m_queue;
    std::size_t m_queuedBytes = 0;
};

} // namespace kingcuptiller
