#include "kingcuptiller/transport/http_server.h"

#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/values/error.h"

#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include <utility>

namespace kingcuptiller {

namespace {

namespace listener = web::http::experimental::listener;

http_request toRequest(const web::http::http_request &message)
{
    http_request request;
    request.method = message.method();
    const web::uri &uri = message.request_uri();
    request.path = uri.path();
    request.query = uri.query();
    for (const auto &[name, value] : message.headers())
        request.headers.emplace(name, value);
    return request;
}

// Errors of sending are the client's: it went away.
void send(const web::http::http_request &message, const web::http::http_response &response)
{
    message.reply(response).then([](const pplx::task<void> &sent) {
        try {
            sent.get();
        } catch (const std::exception &failure) {
            log_line(log_level::debug, "http_server", "reply_failed")
                .field("reason", failure.what());
        }
    });
}

void sendStatus(const web::http::http_request &message, web::http::status_code status)
{
    send(message, web::http::http_response(status));
}

// Answers its request once; a request that nobody answers gets status 500.
class pending_reply
{
public:
    explicit pending_reply(const web::http::http_request &message)
        : m_message(message)
    {
    }

    ~pending_reply()
    {
        if (!m_sent)
            sendStatus(m_message, web::http::status_codes::InternalError);
    }
    pending_reply(const pending_reply &) = delete;
    pending_reply &operator=(const pending_reply &) = delete;

    void operator()(const http_answer &answer)
    {
        if (std::exchange(m_sent, true))
            return;
        web::http::http_response response(answer.status);
        for (const auto &[name, value] : answer.headers)
            response.headers().add(name, value);
        const std::string type = headerValue(answer.headers, "Content-Type");
        response.set_body(toBytes(answer.body));
        if (!type.empty())
            response.headers().set_content_type(type);
        send(m_message, response);
    }

private:
    web::http::http_request m_message;
    bool m_sent = false;
};

bool hasBody(const web::http::http_request &message)
{
    return message.headers().has("Content-Length") || message.headers().has("Transfer-Encoding");
}

void useTls(listener::http_listener_config &config, const http_server::options &chosen)
{
    // Checked here, since cpprest reports errors of its callback only for each connection.
    try {
        boost::asio::ssl::context trial(boost::asio::ssl::context::tls_server);
        trial.use_certificate_chain_file(chosen.certificateFile);
        trial.use_private_key_file(chosen.keyFile, boost::asio::ssl::context::pem);
    } catch (const std::exception &failure) {
        throw error(result_code::settings_invalid,
                    std::string("TLS certificate or key cannot be used: ") + failure.what());
    }
    config.set_ssl_context_callback([chosen](boost::asio::ssl::context &context) {
        context.set_options(
            boost::asio::ssl::context::default_workarounds | boost::asio::ssl::context::no_sslv2
            | boost::asio::ssl::context::no_sslv3 | boost::asio::ssl::context::no_tlsv1
            | boost::asio::ssl::context::no_tlsv1_1);
        context.use_certificate_chain_file(chosen.certificateFile);
        context.use_private_key_file(chosen.keyFile, boost::asio::ssl::context::pem);
    });
}

} // namespace

void setTrafficThreads(std::size_t count)
{
    crossplat::threadpool::initialize_with_threads(count);
}

class http_server::implementation
{
public:
    implementation(const options &chosen, http_handler handler)
        : m_maximumBody(chosen.maximumBody)
        , m_handler(std::move(handler))
    {
        listener::http_listener_config config;
        const bool secure = !chosen.certificateFile.empty() && !chosen.keyFile.empty();
        if (secure)
            useTls(config, chosen);
        const std::string address = std::string(secure ? "https" : "http") + "://" + chosen.address
            + ":" + std::to_string(chosen.port) + "/";
        m_listener = listener::http_listener(web::uri(address), config);
        m_listener.support([this](const web::http::http_request &message) { receive(message); });
        try {
            m_listener.open().wait();
        } catch (const std::exception &failure) {
            throw error(result_code::port_unavailable,
                        "cannot listen on " + address + ": " + failure.what());
        }
    }

    ~implementation()
    {
        try {
            m_listener.close().wait();
        } catch (const std::exception &failure) {
            log_line(log_level::warning, "http_server", "close_failed")
                .field("reason", failure.what());
        }
    }
    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

private:
    void receive(const web::http::http_request &message)
    {
        const std::string &method = message.method();
        if (method != "GET" && method != "POST" && method != "HEAD")
            return sendStatus(message, web::http::status_codes::MethodNotAllowed);
        if (!hasBody(message))
            return handle(message, {});
        if (!message.headers().has("Content-Length"))
            return sendStatus(message, web::http::status_codes::LengthRequired);
        if (message.headers().content_length() > m_maximumBody)
            return sendStatus(message, web::http::status_codes::RequestEntityTooLarge);
        message.extract_vector().then(
            [this, message](const pplx::task<std::vector<unsigned char>> &body) {
                try {
                    handle(message, body.get());
                } catch (const std::exception &failure) {
                    log_line(log_level::debug, "http_server", "request_failed")
                        .field("reason", failure.what());
                    sendStatus(message, web::http::status_codes::BadRequest);
                }
            });
    }

    void handle(const web::http::http_request &message, const std::vector<unsigned char> &body)
    {
        http_request request = toRequest(message);
        request.body.assign(body.begin(), body.end());
        const auto reply = std::make_shared<pending_reply>(message);
        try {
            m_handler(std::move(request), [reply](const http_answer &answer) { (*reply)(answer); });
        } catch (const std::exception &fault) {
            log_line(log_level::error, "http_server", "handler_failed")
                .field("reason", fault.what());
        }
    }

    std::size_t m_maximumBody;
    http_handler m_handler;
    listener::http_listener m_listener;
};

http_server::http_server(const options &chosen, http_handler handler)
    : m_implementation(std::make_unique<implementation>(chosen, std::move(handler)))
{
}

http_server::~http_server() = default;

} // namespace kingcuptiller
