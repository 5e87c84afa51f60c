#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including its header.
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace kingcuptiller {

// A client's TCP connection with optional TLS, so that one server implementation serves both. It
// models the stream concept that boost::beast::http requires; timeouts are those of
// boost::beast::tcp_stream.
class client_stream
{
public:
    using executor_type = boost::beast::tcp_stream::executor_type;

    // `tls` is nullptr for a connection without TLS.
    client_stream(boost::asio::ip::tcp::socket socket,
                  const std::shared_ptr<boost::asio::ssl::context> &tls)
        : m_tcpStream(std::move(socket))
    {
        if (tls)
            m_tlsStream = std::make_unique<tls_stream>(m_tcpStream, *tls);
    }

    // NOLINTNEXTLINE(readability-identifier-naming): boost::beast requires this name
    [[nodiscard]] executor_type get_executor() noexcept { return m_tcpStream.get_executor(); }
    [[nodiscard]] boost::asio::ip::tcp::socket &socket() { return m_tcpStream.socket(); }
    [[nodiscard]] bool usesTls() const { return m_tlsStream != nullptr; }

    void expiresAfter(boost::asio::steady_timer::duration limit)
    {
        m_tcpStream.expires_after(limit);
    }
    void expiresNever() { m_tcpStream.expires_never(); }
    void cancel() { m_tcpStream.cancel(); }

    // Performs the server side of the TLS handshake. Requires `usesTls()`.
    template <typename Token>
    auto asyncHandshake(Token &&token)
    {
        return m_tlsStream->async_handshake(boost::asio::ssl::stream_base::server,
                                            std::forward<Token>(token));
    }

    // boost::beast requires these two names.
    // NOLINTBEGIN(readability-identifier-naming)
    template <typename Buffers, typename Token>
    auto async_read_some(const Buffers &buffers, Token &&token)
    {
        return m_tlsStream ? m_tlsStream->async_read_some(buffers, std::forward<Token>(token))
                           : m_tcpStream.async_read_some(buffers, std::forward<Token>(token));
    }

    template <typename Buffers, typename Token>
    auto async_write_some(const Buffers &buffers, Token &&token)
    {
        return m_tlsStream ? m_tlsStream->async_write_some(buffers, std::forward<Token>(token))
                           : m_tcpStream.async_write_some(buffers, std::forward<Token>(token));
    }

    // NOLINTEND(readability-identifier-naming)

private:
    using tls_stream = boost::asio::ssl::stream<boost::beast::tcp_stream &>;

    boost::beast::tcp_stream m_tcpStream;
    std::unique_ptr<tls_stream> m_tlsStream;
};

} // namespace kingcuptiller
