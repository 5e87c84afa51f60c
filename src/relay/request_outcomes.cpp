#include "kingcuptiller/relay/request_relay.h"

#include "header_text.h"
#include "kingcuptiller/telemetry/log.h"
#include "request_progress.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

// Classification of upstream responses, responses to clients, and the log events of requests.

namespace kingcuptiller {

namespace http = boost::beast::http;

namespace {

// A longer cold time in a response is malformed. It would keep the upstream unused for good.
constexpr milliseconds maxColdTime{600'000};

using internal::eraseConnectionHeaders;
using internal::parseInteger;
using internal::parseLoadReport;
using internal::toStringView;

// Returns whether clients interpret `status` as a guarantee that the request has not run and will
// not run.
bool impliesNotRun(http::status status)
{
    return status == http::status::service_unavailable || status == http::status::too_many_requests
        || status == http::status::request_timeout || status == http::status::misdirected_request;
}

} // namespace

upstream_attempt_outcome request_relay::classifyAttempt(const upstream_attempt_result &result) const
{
    switch (result.status) {
    case upstream_attempt_result::completion_status::not_sent:
        return upstream_attempt_outcome::unreachable;
    case upstream_attempt_result::completion_status::incomplete:
        return upstream_attempt_outcome::broken;
    case upstream_attempt_result::completion_status::timed_out:
        return upstream_attempt_outcome::timed_out;
    case upstream_attempt_result::completion_status::answered:
        break;
    }
    const relay_response &response = result.response;
    const bool notExecuted = response.find(m_options.headers.notExecuted) != response.end();
    if (response.result() == http::status::misdirected_request)
        return upstream_attempt_outcome::replaced;
    if (notExecuted)
        return upstream_attempt_outcome::shed;
    const bool createdByUpstream =
        response.find(m_options.headers.upstreamMarker) != response.end();
    if (response.result_int() >= 200 && response.result_int() < 300)
        return createdByUpstream && response.find(http::field::content_encoding) == response.end()
            ? upstream_attempt_outcome::answered
            : upstream_attempt_outcome::broken;
    return response.result_int() >= 500 || impliesNotRun(response.result())
        ? upstream_attempt_outcome::failed
        : upstream_attempt_outcome::answered;
}

std::optional<upstream_load_report> request_relay::recordAttemptResult(
    const chosen_upstream &upstream, const upstream_attempt_result &result,
    upstream_attempt_outcome outcome, const upstream_attempt_record &attempt, instant sentAt)
{
    const instant now = m_options.now();
    std::optional<upstream_load_report> load;
    // The headers of a response of another incarnation say nothing about the expected one.
    if (result.status == upstream_attempt_result::completion_status::answered
        && outcome != upstream_attempt_outcome::replaced) {
        const relay_response &response = result.response;
        load = parseLoadReport(toStringView(response[m_options.headers.loadReport]));
        if (load)
            m_loadReports.add(upstream.incarnation, *load, now);
        if (const auto cold = parseInteger(toStringView(response[m_options.headers.coldRemaining]));
            cold && *cold > 0)
            m_upstreamChoice.reportColdUpstream(upstream.incarnation.id,
                                                std::min(milliseconds(*cold), maxColdTime), now);
        const upstream_signals signals = readUpstreamSignals(
            response.result_int(), toStringView(response[m_options.headers.leaving]),
            toStringView(response[m_options.headers.retryAfter]));
        m_upstreamChoice.applySignals(upstream.incarnation.id, signals, now);
    }
    m_upstreamChoice.attemptFinished(upstream.incarnation.id, attempt, outcome, now - sentAt, load,
                                     now);
    return load;
}

relay_response request_relay::makeClientResponse(relay_response response) const
{
    // The upstream did not state that it has not run the request, so a status that implies this is
    // replaced by 502.
    if (impliesNotRun(response.result()))
        return makeTextResponse(http::status::bad_gateway, "the upstream failed\n");
    eraseConnectionHeaders(response);
    response.version(11);
    if (response.result() != http::status::no_content
        && response.result() != http::status::not_modified && !response.has_content_length())
        response.content_length(response.body().size());
    return response;
}

relay_response request_relay::refuseRequest(request_progress &progress, std::string_view reason,
                                            milliseconds retryAfter)
{
    recordRequestEnd(progress, "refused", reason);
    return makeRefusal(reason, retryAfter);
}

relay_response request_relay::makeRefusal(std::string_view reason, milliseconds retryAfter) const
{
    relay_response response =
        makeTextResponse(http::status::service_unavailable, fmt::format("not run: {}\n", reason));
    if (retryAfter > milliseconds(0))
        response.set(m_options.headers.retryAfter,
                     fmt::format("{:.2f}", static_cast<double>(retryAfter.count()) / 1'000));
    return response;
}

relay_response request_relay::endWithUnknownOutcome(request_progress &progress,
                                                    std::string_view reason)
{
    recordRequestEnd(progress, "open_end", reason);
    if (progress.failureResponse)
        return std::move(*progress.failureResponse);
    return makeTextResponse(reason == "time_over" ? http::status::gateway_timeout
                                                  : http::status::bad_gateway,
                            fmt::format("the outcome is not known: {}\n", reason));
}

void request_relay::recordRequestEnd(const request_progress &progress, std::string_view outcome,
                                     std::string_view reason)
{
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(m_options.now() - progress.arrivedAt);
    m_metrics.recordRequestEnd(progress.service, outcome, reason, elapsed);
    m_weightedSplit.recordEnd(progress.route, progress.service, outcome);
    // A refused request has not run.
    if (progress.holdsCredit && progress.identity.account && outcome == "refused")
        m_credits.giveBack(*progress.identity.account, m_options.now());
    log_line line(log_level::info, "relay", "request_ended");
    line.field("request", toStringView(progress.request[m_options.headers.requestId]))
        .field("route", progress.route.name)
        .field("service", progress.service.text())
        .field("version", m_configurationVersion.number())
        .field("object", progress.object)
        .field("account", progress.identity.account ? progress.identity.account->name.text() : "")
        .field("outcome", outcome)
        .field("reason", reason)
        .field("sendings", std::uint64_t(progress.sentAttempts))
        .field("unreachable", std::uint64_t(progress.failedConnections))
        .field("elapsed_ms", std::int64_t(elapsed.count()));
    if (!progress.lastAttempt)
        return;
    const last_attempt &last = *progress.lastAttempt;
    line.field("last_tried", last.upstream.incarnation.id.text())
        .field("region", last.upstream.region.text())
        .field("familiar", last.objectCacheState == object_cache_state::cached ? 1 : 0)
        .field("expected_ms", std::int64_t(last.upstream.expectedTime.count()))
        .field("queue_ms", std::int64_t(last.upstream.queueTime.count()))
        .field("last_ms", std::int64_t(last.duration.count()))
        .field("load", std::int64_t(std::llround(last.upstream.load)));
    if (last.upstream.reportAge)
        line.field("report_age_ms", std::int64_t(last.upstream.reportAge->count()));
    if (last.loadReport)
        line.field("load_then", std::uint64_t(last.loadReport->running) + last.loadReport->waiting);
}

} // namespace kingcuptiller
