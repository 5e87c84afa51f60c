#include "kingcuptiller/transport/json_rpc_adapter.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <arpa/inet.h>
#include <microhttpd.h>

#include <cstring>

namespace kingcuptiller {
namespace internal {

namespace {

// The server answers any other failure of a handler with this code of JSON-RPC 2.0.
constexpr int internalErrorCode = -32603;

// Hands the calls that the library has parsed and checked to the handler.
class invocation_handler : public jsonrpc::IProcedureInvokationHandler
{
public:
    explicit invocation_handler(rpc_handler handler)
        : m_handler(std::move(handler))
    {
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                          Json::Value &output) override
    {
        try {
            m_handler(procedure.GetProcedureName(), input, output);
        } catch (const rpc_exception &failure) {
            throw jsonrpc::JsonRpcException(failure.code(), failure.sentence(),
                                            Json::Value(failure.data()));
        } catch (const std::exception &failure) {
            throw jsonrpc::JsonRpcException(internalErrorCode, failure.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override { }

private:
    rpc_handler m_handler;
};

// The body of a request while it arrives. `tooLarge` stays set to the end of the request.
struct pending_request
{
    std::string body;
    bool tooLarge = false;
};

MHD_Result reply(MHD_Connection *connection, unsigned status, const std::string &text)
{
    MHD_Response *response = MHD_create_response_from_buffer(
        text.size(), const_cast<char *>(text.data()), MHD_RESPMEM_MUST_COPY);
    if (response == nullptr)
        return MHD_NO;
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
    const MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

bool announcesMoreThan(MHD_Connection *connection, std::size_t maximum)
{
    const char *length =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
    return length != nullptr && std::strtoull(length, nullptr, 10) > maximum;
}

} // namespace

// The library's own HttpServer has no size limit, binds to all addresses and shares few threads
// between connections, so one blocked call would stall others. This connector feeds the same
// protocol handler from libmicrohttpd directly.
class rpc_server::implementation : public jsonrpc::AbstractServerConnector
{
public:
    implementation(const rpc_server_options &options, rpc_handler handler)
        : m_options(options)
        , m_invocation(std::move(handler))
        , m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, m_invocation))
    {
        for (const std::string &method : options.methods)
            m_protocol->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME,
                                                        jsonrpc::JSON_OBJECT,
                                                        static_cast<const char *>(nullptr)));
        SetHandler(m_protocol.get());
        if (!StartListening())
            throw rpc_exception(
                rpc_failure::not_connected, 0,
                "cannot listen on " + options.address + ":" + std::to_string(options.port), "");
    }

    ~implementation() override { StopListening(); }
    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    bool StartListening() override
    {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons(m_options.port);
        if (inet_pton(AF_INET, m_options.address.c_str(), &address.sin_addr) != 1)
            return false;
        m_daemon = MHD_start_daemon(
            MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
            m_options.port, nullptr, nullptr, &implementation::receive, this, MHD_OPTION_SOCK_ADDR,
            reinterpret_cast<sockaddr *>(&address), MHD_OPTION_CONNECTION_LIMIT,
            m_options.maximumConnections, MHD_OPTION_CONNECTION_TIMEOUT, 60U,
            MHD_OPTION_NOTIFY_COMPLETED, &implementation::completed, this, MHD_OPTION_END);
        return m_daemon != nullptr;
    }

    bool StopListening() override
    {
        if (m_daemon != nullptr)
            MHD_stop_daemon(m_daemon);
        m_daemon = nullptr;
        return true;
    }

    bool SendResponse(const std::string &response, void *connection) override
    {
        auto *target = static_cast<MHD_Connection *>(connection);
        // The client reads this status as "message too large" for both directions.
        if (response.size() > m_options.maximumMessage)
            return reply(target, MHD_HTTP_CONTENT_TOO_LARGE, "") == MHD_YES;
        return reply(target, MHD_HTTP_OK, response) == MHD_YES;
    }

    std::uint16_t port() const
    {
        const MHD_DaemonInfo *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
        return info == nullptr ? m_options.port : info->port;
    }

private:
    static MHD_Result receive(void *self, MHD_Connection *connection, const char *,
                              const char *method, const char *, const char *data, size_t *size,
                              void **state)
    {
        return static_cast<implementation *>(self)->receive(connection, method, data, size, state);
    }

    static void completed(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
    {
        delete static_cast<pending_request *>(*state);
        *state = nullptr;
    }

    // Called by libmicrohttpd when the headers, each part of the body and its end have arrived.
    MHD_Result receive(MHD_Connection *connection, const char *method, const char *data,
                       size_t *size, void **state)
    {
        auto *request = static_cast<pending_request *>(*state);
        if (request == nullptr) {
            *state = new pending_request;
            if (std::strcmp(method, "POST") != 0)
                return reply(connection, MHD_HTTP_METHOD_NOT_ALLOWED, "");
            if (announcesMoreThan(connection, m_options.maximumMessage))
                return reply(connection, MHD_HTTP_CONTENT_TOO_LARGE, "");
            return MHD_YES;
        }
        if (*size > 0) {
            request->tooLarge =
                request->tooLarge || request->body.size() + *size > m_options.maximumMessage;
            if (!request->tooLarge)
                request->body.append(data, *size);
            *size = 0;
            return MHD_YES;
        }
        if (request->tooLarge)
            return reply(connection, MHD_HTTP_CONTENT_TOO_LARGE, "");
        return OnRequest(request->body, connection) ? MHD_YES : MHD_NO;
    }

    rpc_server_options m_options;
    invocation_handler m_invocation;
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
    MHD_Daemon *m_daemon = nullptr;
};

rpc_server::rpc_server(const rpc_server_options &options, rpc_handler handler)
    : m_implementation(new implementation(options, std::move(handler)))
{
}

rpc_server::~rpc_server() = default;

std::uint16_t rpc_server::port() const
{
    return m_implementation->port();
}

} // namespace internal
} // namespace kingcuptiller
