#pragma once

// The only header that the C++14 sources of the JSON-RPC adapter share with the rest of the
// project. It must stay valid C++14 and include nothing but the standard library and jsoncpp's
// forward declarations. Other code uses transport/json_rpc_server.h and json_rpc_client.h.

#include <json/forwards.h>

#include <cstddef>
#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kingcuptiller {
namespace internal {

// Why a call failed. `remote` carries the other side's code, sentence and data; in all other cases
// the code is 0.
enum class rpc_failure {
    remote,
    // No connection was made, so nothing was sent.
    not_connected,
    // The call was sent, at least in part; whether it ran is unknown.
    no_answer,
    too_large,
    malformed,
};

class rpc_exception : public std::exception
{
public:
    rpc_exception(rpc_failure failure, int code, std::string sentence, std::string data)
        : m_failure(failure)
        , m_code(code)
        , m_sentence(std::move(sentence))
        , m_data(std::move(data))
    {
    }

    const char *what() const noexcept override { return m_sentence.c_str(); }
    rpc_failure failure() const { return m_failure; }
    int code() const { return m_code; }
    const std::string &sentence() const { return m_sentence; }
    const std::string &data() const { return m_data; }

private:
    rpc_failure m_failure;
    int m_code;
    std::string m_sentence;
    std::string m_data;
};

// Fills the result or throws rpc_exception with rpc_failure::remote. Json::Value has the same
// layout in C++14 and C++20, so it crosses the adapter without being printed and parsed again.
using rpc_handler =
    std::function<void(const std::string &method, const Json::Value &params, Json::Value &result)>;

struct rpc_server_options
{
    std::string address;
    std::uint16_t port = 0;
    std::size_t maximumMessage = 0;
    unsigned maximumConnections = 0;
    std::vector<std::string> methods;
};

// A libmicrohttpd server with one thread for each connection, so a handler may block.
class rpc_server
{
public:
    // Throws rpc_exception with rpc_failure::not_connected when the address cannot be bound.
    rpc_server(const rpc_server_options &options, rpc_handler handler);
    // Waits for the calls that are being handled.
    ~rpc_server();
    rpc_server(const rpc_server &) = delete;
    rpc_server &operator=(const rpc_server &) = delete;

    std::uint16_t port() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

// A curl client that keeps one connection alive. Used by one thread at a time.
class rpc_client
{
public:
    rpc_client(const std::string &url, std::size_t maximumMessage);
    ~rpc_client();
    rpc_client(const rpc_client &) = delete;
    rpc_client &operator=(const rpc_client &) = delete;

    void call(const std::string &method, const Json::Value &params, long timeoutMs,
              Json::Value &result);
    // Connections made so far.
    std::uint64_t connects() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace internal
} // namespace kingcuptiller
