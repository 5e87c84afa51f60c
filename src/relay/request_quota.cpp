#include "kingcuptiller/relay/request_relay.h"

#include "header_text.h"
#include "request_progress.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

// The rate limits of client accounts: each request spends a credit.

namespace kingcuptiller {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// A request waits for a credit for at most this share of its latency target: longer than a round
// trip to a leader in another region takes for the usual targets.
constexpr double maxCreditWaitShare = 0.5;

} // namespace

std::optional<credit_request> request_relay::takeCreditRequest()
{
    const instant now = m_options.now();
    if (!m_hasRateLimits || !m_credits.isRequestDue(now))
        return std::nullopt;
    return m_credits.makeRequest(now);
}

void request_relay::applyCreditReply(const credit_reply &reply)
{
    m_credits.applyReply(reply, m_options.now());
    wakeCreditWaiters();
}

void request_relay::wakeCreditWaiters()
{
    for (asio::steady_timer *const timer : m_creditWaiters)
        timer->cancel();
}

asio::awaitable<void> request_relay::waitForCredits(instant until)
{
    const auto remaining = std::max(until - m_options.now(), microseconds(0));
    asio::steady_timer timer(m_context, remaining);
    m_creditWaiters.insert(&timer);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_creditWaiters.erase(&timer);
}

asio::awaitable<std::optional<relay_response>>
request_relay::acquireCredit(request_progress &progress)
{
    if (!progress.identity.account)
        co_return std::nullopt;
    const client_account &account = *progress.identity.account;
    const auto maxWait = milliseconds(static_cast<milliseconds::rep>(
        static_cast<double>(progress.route.latencyTarget.count()) * maxCreditWaitShare));
    const instant until = std::min(progress.arrivedAt + maxWait, progress.deadline);
    credit_answer answer = m_credits.take(account, m_options.now());
    while (answer.decision == credit_decision::wait && m_options.now() < until
           && !progress.client.hasDisconnected() && !exitsBefore(progress.deadline)) {
        if (m_options.onCreditShortage)
            m_options.onCreditShortage();
        co_await waitForCredits(until);
        answer = m_credits.take(account, m_options.now(), true);
    }
    if (answer.decision == credit_decision::wait && exitsBefore(progress.deadline))
        co_return rejectBeforeExit(progress);
    switch (answer.decision) {
    case credit_decision::granted:
        progress.holdsCredit = true;
        co_return std::nullopt;
    case credit_decision::limited:
        co_return rejectOverLimit(progress, answer.retryAfter);
    case credit_decision::wait:
    case credit_decision::unknown:
        break;
    }
    co_return refuseRequest(progress, "quota_unknown", answer.retryAfter);
}

relay_response request_relay::rejectOverLimit(request_progress &progress, milliseconds retryAfter)
{
    relay_response response = refuseRequest(progress, "rate_limit", retryAfter);
    response.result(http::status::too_many_requests);
    return response;
}

} // namespace kingcuptiller
