#pragma once

#include "kingcuptiller/transport/http_message.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace kingcuptiller {

enum class forward_outcome {
    // The whole answer arrived, with as many bytes as it announced.
    complete,
    // No connection was made, so nothing was sent.
    not_connected,
    // The connection broke, or the answer announced no length or another one.
    cut_short,
    timed_out,
    too_large,
    cancelled,
};

struct forward_request
{
    endpoint_address upstream;
    http_request message;
    // Time for the whole exchange.
    milliseconds timeout{0};
    // A request that must not be sent twice needs a connection of its own.
    bool freshConnection = false;
    std::size_t maximumAnswer = std::size_t(8) * 1024 * 1024;
};

struct forward_result
{
    forward_outcome outcome = forward_outcome::cut_short;
    // Only when complete.
    http_answer answer;
    // Why it is not complete, for the log.
    std::string reason;
};

// Ends an exchange early. Calling it after the end has no effect.
using cancel_function = std::function<void()>;

// Sends requests to upstreams over HTTP/1.1.
//
// cpprest's http_client silently sends a request again when a pooled connection is closed before
// the answer. So pooled connections serve only requests that may be sent twice; for
// `freshConnection` each request has a client, and thus a connection, of its own. Redirects are not
// followed. Thread-safe.
class http_forwarder
{
public:
    http_forwarder();
    ~http_forwarder();
    http_forwarder(const http_forwarder &) = delete;
    http_forwarder &operator=(const http_forwarder &) = delete;

    // Starts the exchange and returns. `done` is called exactly once, from any thread, possibly
    // before `send` returns. It must not block.
    cancel_function send(const forward_request &request,
                         const std::function<void(forward_result)> &done);

    // Closes the pooled connections to all other upstreams, as far as they are idle.
    void keepOnly(const std::set<endpoint_address> &upstreams);

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace kingcuptiller
