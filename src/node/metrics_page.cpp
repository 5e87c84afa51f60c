#include "kingcuptiller/node/metrics_page.h"

namespace kingcuptiller {

namespace http = boost::beast::http;

request_handler metricsHandler(const counter_registry &counters)
{
    return [&counters](const relay_request &request,
                       client_disconnect_signal &) -> boost::asio::awaitable<relay_response> {
        if (request.method() != http::verb::get || request.target() != "/metrics")
            co_return makeTextResponse(http::status::not_found, "see /metrics\n");
        co_return makeTextResponse(http::status::ok, counters.text());
    };
}

} // namespace kingcuptiller
