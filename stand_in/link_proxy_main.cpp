// A link between two hosts for failure tests: forwards TCP connections from one loopback address to
// another and can stop one direction or both. Bytes of a stopped direction are held, not dropped,
// so they arrive late when the link is restored; a test sees delayed messages as after a partition.
//
//     link-proxy --listen 127.0.0.1:7101 --to 127.0.0.1:7001
//
// SIGUSR1 stops or restores the direction to the server, SIGUSR2 the direction back to the client.
// SIGTERM ends the program.

#include "kingcuptiller/telemetry/log.h"

// Boost 1.74's awaitable.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>
#include <popt.h>

#include <array>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

namespace {

using boost::asio::ip::tcp;

// How often a stopped direction looks whether it has been restored.
constexpr std::chrono::milliseconds stoppedPollInterval{5};
constexpr std::size_t bufferBytes = 16384;

struct link_state
{
    bool towardsServerStopped = false;
    bool towardsClientStopped = false;
};

tcp::endpoint parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("expected IP:port, got '" + text + "'");
    const auto port = static_cast<unsigned short>(std::stoul(text.substr(colon + 1)));
    return {boost::asio::ip::make_address(text.substr(0, colon)), port};
}

// One direction of one connection.
class direction : public std::enable_shared_from_this<direction>
{
public:
    direction(std::shared_ptr<tcp::socket> source, std::shared_ptr<tcp::socket> sink,
              const bool &stopped)
        : m_source(std::move(source))
        , m_sink(std::move(sink))
        , m_stopped(stopped)
        , m_timer(m_source->get_executor())
    {
    }

    void read()
    {
        m_source->async_read_some(boost::asio::buffer(m_buffer),
                                  [self = shared_from_this()](
                                      const boost::system::error_code &failure, std::size_t size) {
                                      if (failure)
                                          self->close();
                                      else
                                          self->forward(size);
                                  });
    }

private:
    void forward(std::size_t size)
    {
        if (m_stopped) {
            m_timer.expires_after(stoppedPollInterval);
            m_timer.async_wait([self = shared_from_this(),
                                size](const boost::system::error_code &) { self->forward(size); });
            return;
        }
        boost::asio::async_write(
            *m_sink, boost::asio::buffer(m_buffer, size),
            [self = shared_from_this()](const boost::system::error_code &failure, std::size_t) {
                if (failure)
                    self->close();
                else
                    self->read();
            });
    }

    void close()
    {
        boost::system::error_code ignored;
        m_source->close(ignored);
        m_sink->close(ignored);
    }

    std::shared_ptr<tcp::socket> m_source;
    std::shared_ptr<tcp::socket> m_sink;
    const bool &m_stopped;
    boost::asio::steady_timer m_timer;
    std::array<char, bufferBytes> m_buffer{};
};

class link_proxy
{
public:
    link_proxy(boost::asio::io_context &context, const tcp::endpoint &listen, tcp::endpoint server)
        : m_context(context)
        , m_acceptor(context, listen)
        , m_server(std::move(server))
        , m_signals(context, SIGUSR1, SIGUSR2, SIGTERM)
    {
        accept();
        waitForSignal();
    }

private:
    void accept()
    {
        auto client = std::make_shared<tcp::socket>(m_context);
        m_acceptor.async_accept(*client, [this, client](const boost::system::error_code &failure) {
            if (!failure)
                connect(client);
            if (m_acceptor.is_open())
                accept();
        });
    }

    void connect(const std::shared_ptr<tcp::socket> &client)
    {
        auto server = std::make_shared<tcp::socket>(m_context);
        server->async_connect(
            m_server, [this, client, server](const boost::system::error_code &failure) {
                if (failure) {
                    boost::system::error_code ignored;
                    client->close(ignored);
                    return;
                }
                boost::system::error_code ignored;
                client->set_option(tcp::no_delay(true), ignored);
                server->set_option(tcp::no_delay(true), ignored);
                std::make_shared<direction>(client, server, m_state.towardsServerStopped)->read();
                std::make_shared<direction>(server, client, m_state.towardsClientStopped)->read();
            });
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &failure, int signal) {
            if (failure || signal == SIGTERM) {
                m_context.stop();
                return;
            }
            bool &stopped =
                signal == SIGUSR1 ? m_state.towardsServerStopped : m_state.towardsClientStopped;
            stopped = !stopped;
            kingcuptiller::log_line(kingcuptiller::log_level::info, "link_proxy",
                                    stopped ? "direction_stopped" : "direction_restored")
                .field("direction", signal == SIGUSR1 ? "to_server" : "to_client");
            waitForSignal();
        });
    }

    boost::asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_server;
    boost::asio::signal_set m_signals;
    link_state m_state;
};

} // namespace

int main(int argc, char **argv)
{
    const char *listenText = nullptr;
    const char *serverText = nullptr;
    const std::array<poptOption, 4> options = {{
        {"listen", 'l', POPT_ARG_STRING, static_cast<void *>(&listenText), 0,
         "address to accept connections on", "IP:PORT"},
        {"to", 't', POPT_ARG_STRING, static_cast<void *>(&serverText), 0,
         "address to forward them to", "IP:PORT"},
        POPT_AUTOHELP POPT_TABLEEND,
    }};
    poptContext context =
        poptGetContext("link-proxy", argc, const_cast<const char **>(argv), options.data(), 0);
    const int parsed = poptGetNextOpt(context);
    poptFreeContext(context);
    if (parsed < -1 || listenText == nullptr || serverText == nullptr) {
        kingcuptiller::log_line(kingcuptiller::log_level::error, "link_proxy", "options_invalid")
            .field("advice", "give --listen IP:PORT and --to IP:PORT");
        return EXIT_FAILURE;
    }
    try {
        boost::asio::io_context service;
        const link_proxy proxy(service, parseEndpoint(listenText), parseEndpoint(serverText));
        service.run();
        return EXIT_SUCCESS;
    } catch (const std::exception &exception) {
        kingcuptiller::log_line(kingcuptiller::log_level::error, "link_proxy", "failed")
            .field("message", exception.what());
        return EXIT_FAILURE;
    }
}
