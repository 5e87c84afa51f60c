#include "kingcuptiller/relay/request_relay.h"

#include "header_text.h"
#include "kingcuptiller/telemetry/log.h"
#include "request_progress.h"

#include <fmt/format.h>

// Requests around the planned exit of the process: which of them are still sent, and the rejection
// of the others.

namespace kingcuptiller {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Clients turn to another entry at once.
constexpr milliseconds retryAfterDuringShutdown{50};
constexpr std::string_view shutdownReason = "process_ends";

using internal::toStringView;

} // namespace

void request_relay::setProcessEnd(instant end)
{
    m_processEnd = end;
    wakeCreditWaiters();
    m_processEndTimer.expires_after(end - m_options.now());
    m_processEndTimer.async_wait([this](error_code errorCode) {
        if (errorCode)
            return;
        error_code ignored;
        for (const auto &connection : m_connectionsAwaitingResponse)
            connection->socket.close(ignored);
    });
}

bool request_relay::exitsBefore(instant deadline) const
{
    return m_processEnd && *m_processEnd < deadline;
}

bool request_relay::hasProcessEnded() const
{
    return m_processEnd && *m_processEnd <= m_options.now();
}

relay_response request_relay::rejectBeforeExit(request_progress &progress)
{
    return progress.mayHaveRun ? endWithUnknownOutcome(progress, shutdownReason)
                               : refuseRequest(progress, shutdownReason, retryAfterDuringShutdown);
}

std::optional<relay_response> request_relay::rejectBeforeExit(const request_head &head)
{
    const instant now = m_options.now();
    const traffic_route *const route = findRoute(head);
    if (route == nullptr || !exitsBefore(deadlineOf(head, *route, now)))
        return std::nullopt;
    const service_name service = m_weightedSplit.assign(*route);
    m_weightedSplit.recordEnd(*route, service, "refused");
    m_metrics.recordRequestEnd(service, "refused", shutdownReason, milliseconds(0));
    log_line(log_level::info, "relay", "request_ended")
        .field("request", toStringView(head[m_options.headers.requestId]))
        .field("route", route->name)
        .field("service", service.text())
        .field("version", m_configurationVersion.number())
        .field("outcome", "refused")
        .field("reason", shutdownReason)
        .field("body", "not received");
    return makeRefusal(shutdownReason, retryAfterDuringShutdown);
}

} // namespace kingcuptiller
