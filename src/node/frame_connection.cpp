#include "kingcuptiller/node/frame_connection.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace kingcuptiller {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t longestFrame = std::size_t{8} * 1024 * 1024;
constexpr std::size_t longestQueue = std::size_t{16} * 1024 * 1024;
constexpr int unacknowledgedMs = 2'000;
// Memory for the body of a frame grows in steps of this size.
constexpr std::size_t bodyStep = 65'536;

} // namespace

frame_connection::frame_connection(asio::ip::tcp::socket socket, byte_budget::holding heldBytes)
    : m_socket(std::move(socket))
    , m_heldBytes(std::move(heldBytes))
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const int limit = unacknowledgedMs;
    ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

void frame_connection::start(std::function<void(frame)> onFrame, std::function<void()> onClose)
{
    m_onFrame = std::move(onFrame);
    m_onClose = std::move(onClose);
    readHeader();
}

void frame_connection::close()
{
    // The callback may drop the owner's reference.
    const auto self = shared_from_this();
    error_code ignored;
    m_socket.close(ignored);
    m_onFrame = nullptr;
    if (const auto onClose = std::exchange(m_onClose, nullptr))
        onClose();
}

void frame_connection::readHeader()
{
    asio::async_read(m_socket, asio::buffer(m_header),
                     [self = shared_from_this()](error_code problem, std::size_t) {
                         if (problem) {
                             self->close();
                             return;
                         }
                         std::size_t size = 0;
                         for (std::size_t i = 0; i < 4; ++i)
                             size = size << 8U | self->m_header[i];
                         self->readBody(size);
                     });
}

void frame_connection::readBody(std::size_t size)
{
    const std::size_t begin = m_body.size();
    const std::size_t end = std::min(size, begin + bodyStep);
    if (size > longestFrame || !m_heldBytes.resize(end)) {
        close();
        return;
    }
    m_body.resize(end);
    asio::async_read(m_socket, asio::buffer(m_body.data() + begin, end - begin),
                     [self = shared_from_this(), size](error_code problem, std::size_t) {
                         if (problem || !self->m_onFrame)
                             self->close();
                         else if (self->m_body.size() < size)
                             self->readBody(size);
                         else
                             self->finishFrame();
                     });
}

void frame_connection::finishFrame()
{
    // A copy, because the callback may close the connection.
    const auto onFrame = m_onFrame;
    onFrame({static_cast<frame_kind>(m_header[4]), std::exchange(m_body, {})});
    // A smaller number of bytes always fits.
    (void)m_heldBytes.resize(0);
    if (m_socket.is_open())
        readHeader();
}

void frame_connection::send(frame_kind kind, const std::string &body)
{
    const auto self = shared_from_this();
    if (!m_socket.is_open())
        return;
    if (m_queuedBytes + body.size() > longestQueue) {
        close();
        return;
    }
    std::string bytes;
    bytes.reserve(body.size() + m_header.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>(body.size() >> static_cast<unsigned>(shift) & 0xffU));
    bytes.push_back(static_cast<char>(kind));
    bytes += body;
    m_queuedBytes += bytes.size();
    m_queue.push_back(std::move(bytes));
    if (m_queue.size() == 1)
        writeNext();
}

void frame_connection::writeNext()
{
    asio::async_write(m_socket, asio::buffer(m_queue.front()),
                      [self = shared_from_this()](error_code problem, std::size_t) {
                          self->m_queuedBytes -= self->m_queue.front().size();
                          self->m_queue.pop_front();
                          if (problem) {
                              self->close();
                              return;
                          }
                          if (!self->m_queue.empty())
                              self->writeNext();
                      });
}

} // namespace kingcuptiller
