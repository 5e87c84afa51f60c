#include "kingcuptiller/relay/request_relay.h"

#include "header_text.h"
#include "kingcuptiller/telemetry/log.h"
#include "request_journey.h"

#include <fmt/format.h>

#include <chrono>
#include <cmath>
#include <utility>

// What the relay makes of an upstream's answer, and what it tells clients and the log.

namespace kingcuptiller {

namespace http = boost::beast::http;

namespace {

using internal::eraseConnectionHeaders;
using internal::loadIn;
using internal::numberIn;
using internal::view;

// Clients take these for a promise that the request has not run and never will.
bool saysNotRun(http::status status)
{
    return status == http::status::service_unavailable || status == http::status::too_many_requests
        || status == http::status::request_timeout || status == http::status::misdirected_request;
}

} // namespace

upstream_attempt_outcome request_relay::judge(const sending_result &result) const
{
    switch (result.kind) {
    case sending_result::end::not_sent:
        return upstream_attempt_outcome::unreachable;
    case sending_result::end::broken:
        return upstream_attempt_outcome::broken;
    case sending_result::end::timed_out:
        return upstream_attempt_outcome::timed_out;
    case sending_result::end::answered:
        break;
    }
    const relay_response &answer = result.answer;
    const bool notRun = answer.find(m_options.headers.notRun) != answer.end();
    if (answer.result() == http::status::misdirected_request)
        return upstream_attempt_outcome::replaced;
    if (notRun)
        return upstream_attempt_outcome::shed;
    const bool sealed = answer.find(m_options.headers.seal) != answer.end();
    if (answer.result_int() >= 200 && answer.result_int() < 300)
        return sealed && answer.find(http::field::content_encoding) == answer.end()
            ? upstream_attempt_outcome::answered
            : upstream_attempt_outcome::broken;
    return answer.result_int() >= 500 || saysNotRun(answer.result())
        ? upstream_attempt_outcome::failed
        : upstream_attempt_outcome::answered;
}

std::optional<upstream_load_report> request_relay::noteLoad(const chosen_upstream &upstream,
                                                            const sending_result &result,
                                                            upstream_attempt_outcome outcome,
                                                            const upstream_attempt_record &sending,
                                                            instant sent)
{
    const instant now = m_options.now();
    std::optional<upstream_load_report> load;
    if (result.kind == sending_result::end::answered) {
        load = loadIn(view(result.answer[m_options.headers.load]));
        if (const auto cold = numberIn(view(result.answer[m_options.headers.cold]));
            cold && *cold > 0)
            m_choice.reportColdUpstream(upstream.incarnation.id, milliseconds(*cold), now);
    }
    m_choice.attemptFinished(upstream.incarnation.id, sending, outcome, now - sent, load, now);
    return load;
}

relay_response request_relay::handedOn(const relay_response &answer) const
{
    // The upstream did not state that it has not run the request, so the status must not.
    if (saysNotRun(answer.result()))
        return ownAnswer(http::status::bad_gateway, "the upstream failed\n");
    relay_response result = answer;
    eraseConnectionHeaders(result);
    result.version(11);
    if (result.result() != http::status::no_content && result.result() != http::status::not_modified
        && !result.has_content_length())
        result.content_length(result.body().size());
    return result;
}

relay_response request_relay::refusal(journey &trip, std::string_view reason,
                                      milliseconds retryAfter)
{
    noteEnd(trip, "refused", reason);
    relay_response answer =
        ownAnswer(http::status::service_unavailable, fmt::format("not run: {}\n", reason));
    if (retryAfter > milliseconds(0))
        answer.set(m_options.headers.retryAfter,
                   fmt::format("{:.2f}", static_cast<double>(retryAfter.count()) / 1'000));
    return answer;
}

relay_response request_relay::openEnd(journey &trip, std::string_view reason)
{
    noteEnd(trip, "open_end", reason);
    if (trip.failure)
        return std::move(*trip.failure);
    return ownAnswer(reason == "time_over" ? http::status::gateway_timeout
                                           : http::status::bad_gateway,
                     fmt::format("the outcome is not known: {}\n", reason));
}

void request_relay::noteEnd(const journey &trip, std::string_view outcome, std::string_view reason)
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(m_options.now() - trip.arrived);
    m_metrics.ended(trip.service, outcome, reason, elapsed);
    log_line line(log_level::info, "relay", "request_ended");
    line.field("request", view(trip.request[m_options.headers.requestId]))
        .field("route", trip.route.name)
        .field("service", trip.service.text())
        .field("version", m_version.number())
        .field("object", trip.object)
        .field("outcome", outcome)
        .field("reason", reason)
        .field("sendings", std::uint64_t(trip.sent))
        .field("unreachable", std::uint64_t(trip.unreachable))
        .field("elapsed_ms", std::int64_t(elapsed.count()));
    if (!trip.last)
        return;
    const last_sending &last = *trip.last;
    line.field("last_tried", last.upstream.incarnation.id.text())
        .field("region", last.upstream.region.text())
        .field("familiar", last.cacheState == object_cache_state::cached ? 1 : 0)
        .field("expected_ms", std::int64_t(last.upstream.expectedTime.count()))
        .field("queue_ms", std::int64_t(last.upstream.queueTime.count()))
        .field("last_ms", std::int64_t(last.took.count()))
        .field("load", std::int64_t(std::llround(last.upstream.load)));
    if (last.upstream.reportAge)
        line.field("report_age_ms", std::int64_t(last.upstream.reportAge->count()));
    if (last.load)
        line.field("load_then", std::uint64_t(last.load->running) + last.load->waiting);
}

} // namespace kingcuptiller
