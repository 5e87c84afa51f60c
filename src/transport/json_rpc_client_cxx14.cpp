#include "kingcuptiller/transport/json_rpc_adapter.h"

#include <curl/curl.h>
#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>

namespace kingcuptiller {
namespace internal {

namespace {

// Thrown through the library, which lets exceptions of its connector pass only when they are its
// own; the real cause is kept in the connector.
constexpr int connectorErrorCode = -32003;

struct curl_handle_deleter
{
    void operator()(CURL *handle) const { curl_easy_cleanup(handle); }
};

struct curl_list_deleter
{
    void operator()(curl_slist *list) const { curl_slist_free_all(list); }
};

bool isBeforeSending(CURLcode code)
{
    return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST
        || code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
}

struct received_text
{
    std::string text;
    std::size_t maximum = 0;
};

std::size_t receive(char *data, std::size_t size, std::size_t count, void *state)
{
    auto *received = static_cast<received_text *>(state);
    const std::size_t bytes = size * count;
    // A short count makes curl end the transfer with CURLE_WRITE_ERROR.
    if (received->text.size() + bytes > received->maximum)
        return 0;
    received->text.append(data, bytes);
    return bytes;
}

} // namespace

// The library's own HttpClient has no size limit, uses signals for its time limit and reports every
// failure as text, so this connector uses curl directly.
class rpc_client::implementation : public jsonrpc::IClientConnector
{
public:
    implementation(const std::string &url, std::size_t maximumMessage)
        : m_url(url)
        , m_maximum(maximumMessage)
        , m_curl(curl_easy_init())
        , m_headers(curl_slist_append(nullptr, "Content-Type: application/json"))
        , m_client(*this, jsonrpc::JSONRPC_CLIENT_V2)
    {
        // Without this, curl waits for "100 Continue" before it sends a large body.
        m_headers.reset(curl_slist_append(m_headers.release(), "Expect:"));
        curl_easy_setopt(m_curl.get(), CURLOPT_URL, m_url.c_str());
        curl_easy_setopt(m_curl.get(), CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(m_curl.get(), CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(m_curl.get(), CURLOPT_PROXY, "");
        curl_easy_setopt(m_curl.get(), CURLOPT_HTTPHEADER, m_headers.get());
        curl_easy_setopt(m_curl.get(), CURLOPT_WRITEFUNCTION, receive);
    }

    void call(const std::string &method, const Json::Value &params, long timeoutMs,
              Json::Value &result)
    {
        m_timeoutMs = timeoutMs;
        m_answered = false;
        try {
            m_client.CallMethod(method, params, result);
        } catch (const jsonrpc::JsonRpcException &failure) {
            if (!m_answered)
                throw rpc_exception(m_failure, 0, failure.GetMessage(), "");
            if (failure.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE
                || failure.GetCode() == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR)
                throw rpc_exception(rpc_failure::malformed, 0, failure.GetMessage(), "");
            const Json::Value &data = failure.GetData();
            throw rpc_exception(rpc_failure::remote, failure.GetCode(), failure.GetMessage(),
                                data.isString() ? data.asString() : "");
        }
    }

    std::uint64_t connects() const { return m_connects; }

    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        if (message.size() > m_maximum)
            fail(rpc_failure::too_large, "the request is larger than the limit");
        received_text received;
        received.maximum = m_maximum;
        curl_easy_setopt(m_curl.get(), CURLOPT_TIMEOUT_MS, m_timeoutMs);
        curl_easy_setopt(m_curl.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(message.size()));
        curl_easy_setopt(m_curl.get(), CURLOPT_POSTFIELDS, message.data());
        curl_easy_setopt(m_curl.get(), CURLOPT_WRITEDATA, &received);
        const CURLcode code = curl_easy_perform(m_curl.get());
        long connects = 0;
        curl_easy_getinfo(m_curl.get(), CURLINFO_NUM_CONNECTS, &connects);
        m_connects += static_cast<std::uint64_t>(connects);
        check(code);
        result = std::move(received.text);
        m_answered = true;
    }

private:
    void check(CURLcode code)
    {
        if (code == CURLE_WRITE_ERROR)
            fail(rpc_failure::too_large, "the answer is larger than the limit");
        curl_off_t connectTime = 0;
        curl_easy_getinfo(m_curl.get(), CURLINFO_CONNECT_TIME_T, &connectTime);
        long fresh = 0;
        curl_easy_getinfo(m_curl.get(), CURLINFO_NUM_CONNECTS, &fresh);
        const bool connecting = code == CURLE_OPERATION_TIMEDOUT && fresh > 0 && connectTime == 0;
        if (code != CURLE_OK)
            fail(isBeforeSending(code) || connecting ? rpc_failure::not_connected
                                                     : rpc_failure::no_answer,
                 curl_easy_strerror(code));
        long status = 0;
        curl_easy_getinfo(m_curl.get(), CURLINFO_RESPONSE_CODE, &status);
        if (status == 413)
            fail(rpc_failure::too_large, "the request or its answer is larger than the limit");
        if (status != 200)
            fail(rpc_failure::no_answer, "the server answered HTTP " + std::to_string(status));
    }

    [[noreturn]] void fail(rpc_failure failure, const std::string &reason)
    {
        m_failure = failure;
        throw jsonrpc::JsonRpcException(connectorErrorCode, m_url + ": " + reason);
    }

    std::string m_url;
    std::size_t m_maximum;
    std::unique_ptr<CURL, curl_handle_deleter> m_curl;
    std::unique_ptr<curl_slist, curl_list_deleter> m_headers;
    long m_timeoutMs = 0;
    std::uint64_t m_connects = 0;
    rpc_failure m_failure = rpc_failure::no_answer;
    // A complete HTTP answer has arrived in the current call.
    bool m_answered = false;
    jsonrpc::Client m_client;
};

rpc_client::rpc_client(const std::string &url, std::size_t maximumMessage)
    : m_implementation(new implementation(url, maximumMessage))
{
}

rpc_client::~rpc_client() = default;

void rpc_client::call(const std::string &method, const Json::Value &params, long timeoutMs,
                      Json::Value &result)
{
    m_implementation->call(method, params, timeoutMs, result);
}

std::uint64_t rpc_client::connects() const
{
    return m_implementation->connects();
}

} // namespace internal
} // namespace kingcuptiller
