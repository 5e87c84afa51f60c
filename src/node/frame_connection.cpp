#include "kingcuptiller/node/frame_connection.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace kingcuptiller {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t longestFrame = std::size_t{8} * 1024 * 1024;
constexpr std::size_t longestQueue = std::size_t{16} * 1024 * 1024;
constexpr int unacknowledgedMs = 2'000;

} // namespace

frame_connection::frame_connection(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
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
    if (size > longestFrame) {
        close();
        return;
    }
    m_body.resize(size);
    asio::async_read(
        m_socket, asio::buffer(m_body),
        [self = shared_from_this()](error_code problem, std::size_t) {
            if (problem || !self->m_onFrame) {
                self->close();
                return;
            }
            // A copy, because the callback may close the connection.
            const auto onFrame = self->m_onFrame;
            onFrame({static_cast<frame_kind>(self->m_header[4]), std::exchange(self->m_body, {})});
            if (self->m_socket.is_open())
                self->readHeader();
        });
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
