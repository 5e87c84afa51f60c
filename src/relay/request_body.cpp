#include "kingcuptiller/relay/request_body.h"

#include "kingcuptiller/relay/http_types.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace kingcuptiller {

namespace asio = boost::asio;
using boost::system::error_code;

request_body::request_body(asio::io_context &context, std::shared_ptr<const std::string> bytes,
                           std::optional<std::uint64_t> announcedBytes)
    : m_context(context)
    , m_bytes(std::move(bytes))
    , m_announcedBytes(announcedBytes)
{
}

void request_body::notifyAppended()
{
    wakeWaiters();
}

void request_body::complete()
{
    m_state = body_state::complete;
    wakeWaiters();
}

void request_body::abort()
{
    m_state = body_state::aborted;
    wakeWaiters();
}

void request_body::endReading()
{
    m_isReading = false;
    wakeWaiters();
}

void request_body::wakeWaiters()
{
    for (asio::steady_timer *const waiter : m_waiters)
        waiter->cancel();
}

asio::awaitable<void> request_body::waitForChange()
{
    asio::steady_timer timer(m_context, asio::steady_timer::time_point::max());
    m_waiters.insert(&timer);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_waiters.erase(&timer);
}

asio::awaitable<void> request_body::waitForMore(std::size_t knownBytes)
{
    while (m_state == body_state::receiving && m_bytes->size() <= knownBytes)
        co_await waitForChange();
}

asio::awaitable<void> request_body::waitForReader()
{
    while (m_isReading)
        co_await waitForChange();
}

} // namespace kingcuptiller
