#include "stand_in/stand_in_upstream.h"

#include "kingcuptiller/transport/http_message.h"
#include "kingcuptiller/transport/system_clock.h"
#include "stand_in/work_payload.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <random>

namespace kingcuptiller::stand_in {

namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::methods;
using web::http::status_codes;

std::string header(const http_request &message, const std::string &name)
{
    const auto found = message.headers().find(name);
    return found == message.headers().end() ? "" : found->second;
}

std::optional<instant> deadlineOf(const http_request &message)
{
    const std::string text = header(message, "Kct-Deadline-Ms");
    std::int64_t value = 0;
    if (text.empty()
        || std::from_chars(text.data(), text.data() + text.size(), value).ec != std::errc())
        return std::nullopt;
    return readInstant() + milliseconds(value);
}

// A client that has gone away is no fault of the upstream.
void reply(const http_request &message, const http_response &response)
{
    http_request(message).reply(response).then([](const pplx::task<void> &sent) {
        try {
            sent.get();
        } catch (const std::exception &) {
            return;
        }
    });
}

http_response responseTo(const accepted_request &request, web::http::status_code status,
                         const char *result)
{
    http_response response(status);
    if (!request.key.empty())
        response.headers().add("Kct-Request-Key", request.key.text());
    if (!request.attempt.empty())
        response.headers().add("Kct-Attempt", request.attempt.text());
    response.headers().add("Kct-Upstream-Result", result);
    return response;
}

incarnation_id drawIncarnation()
{
    std::random_device device;
    return incarnation_id(fmt::format("{:08x}{:08x}", device(), device()));
}

} // namespace

stand_in_upstream::stand_in_upstream(upstream_options options)
    : m_options(std::move(options))
    , m_incarnation(drawIncarnation())
    , m_journal(m_options.journal)
    , m_model(m_options, readInstant())
    , m_announcer(m_options.entries)
    , m_listener("http://" + m_options.listen.text())
{
    m_listener.support([this](const http_request &message) {
        if (message.method() == methods::DEL)
            return cancel(message);
        // Extraction ends with an exception when the sender goes away; nothing has run then.
        http_request(message).extract_vector().then(
            [this, message](const pplx::task<std::vector<unsigned char>> &extracted) {
                try {
                    accept({message, toText(extracted.get()),
                            request_key(header(message, "Kct-Request-Key")),
                            attempt_id(header(message, "Kct-Attempt")), deadlineOf(message)});
                } catch (const std::exception &) {
                    return;
                }
            });
    });
    m_listener.open().wait();
    for (std::uint32_t slot = 0; slot < m_options.slots; ++slot)
        m_workers.emplace_back([this] { runRequests(); });
    m_announcing = std::thread([this] { announceRegularly(); });
}

stand_in_upstream::~stand_in_upstream()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        for (const accepted_request &waiting : m_queue)
            shed(waiting);
        m_queue.clear();
    }
    m_changed.notify_all();
    m_announcing.join();
    for (std::thread &worker : m_workers)
        worker.join();
    try {
        m_listener.close().wait();
    } catch (const std::exception &) {
        return;
    }
}

void stand_in_upstream::leave()
{
    {
        std::unique_lock lock(m_mutex);
        m_leavingSince = readInstant();
        m_changed.notify_all();
        m_changed.wait_for(lock, m_options.drainTime, [this] { return m_stopping; });
        m_changed.wait(lock, [this] { return m_queue.empty() && m_busy == 0; });
        m_stopping = true;
    }
    m_changed.notify_all();
}

upstream_tally stand_in_upstream::tally() const
{
    const std::lock_guard lock(m_mutex);
    return m_tally;
}

void stand_in_upstream::accept(accepted_request request)
{
    const std::lock_guard lock(m_mutex);
    const instant now = readInstant();
    if (m_leavingSince) {
        ++m_tally.whileLeaving;
        m_tally.lastWhileLeaving = std::chrono::duration_cast<milliseconds>(now - *m_leavingSince);
    }
    const bool drained = m_leavingSince && now >= *m_leavingSince + m_options.drainTime;
    if (m_stopping || drained || m_queue.size() >= m_options.queue + m_options.slots - m_busy)
        return shed(request);
    m_queue.push_back(std::move(request));
    m_changed.notify_all();
}

void stand_in_upstream::cancel(const http_request &message)
{
    const attempt_id attempt(header(message, "Kct-Attempt"));
    const request_key key(header(message, "Kct-Request-Key"));
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(m_queue.begin(), m_queue.end(), [&](const auto &each) {
        return each.key == key && each.attempt == attempt;
    });
    if (found == m_queue.end())
        return reply(message, http_response(status_codes::NotFound));
    shed(*found);
    m_queue.erase(found);
    reply(message, http_response(status_codes::OK));
}

void stand_in_upstream::runRequests()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
        if (m_queue.empty())
            return;
        const accepted_request request = std::move(m_queue.front());
        m_queue.pop_front();
        const instant now = readInstant();
        if (request.deadline && *request.deadline <= now) {
            shed(request);
            continue;
        }
        const microseconds service = m_model.nextServiceTime(now);
        ++m_busy;
        ++m_tally.ran;
        lock.unlock();
        m_journal.write({request.key, request.attempt, m_options.workClass, readWallTime()});
        std::this_thread::sleep_for(service);
        run(request);
        lock.lock();
        --m_busy;
        m_changed.notify_all();
    }
}

void stand_in_upstream::run(const accepted_request &request)
{
    http_response response = responseTo(request, status_codes::OK, "ran");
    response.set_body(toBytes(makeAnswerBody(request.body)));
    reply(request.message, response);
}

void stand_in_upstream::shed(const accepted_request &request)
{
    ++m_tally.shed;
    reply(request.message, responseTo(request, status_codes::ServiceUnavailable, "shed"));
}

void stand_in_upstream::announceRegularly()
{
    std::unique_lock lock(m_mutex);
    bool announcedLeaving = false;
    while (!m_stopping) {
        const upstream_announcement current = announcement();
        announcedLeaving = current.leaving;
        lock.unlock();
        m_announcer.announce(current);
        lock.lock();
        m_changed.wait_for(lock, m_options.announceEvery,
                           [&] { return m_stopping || (m_leavingSince && !announcedLeaving); });
    }
    const upstream_announcement last = announcement();
    lock.unlock();
    // A process that ends without having left is to look like one that died.
    if (announcedLeaving)
        m_announcer.withdraw(last);
}

upstream_announcement stand_in_upstream::announcement()
{
    upstream_announcement result;
    result.id = m_options.id;
    result.incarnation = m_incarnation;
    result.address = m_options.listen;
    result.region = m_options.region;
    result.zone = m_options.zone;
    result.workClass = m_options.workClass;
    result.slots = m_options.slots;
    result.connections = m_options.connections;
    result.load = m_model.reportLoad(static_cast<double>(m_busy) / m_options.slots, readInstant());
    result.leaving = m_leavingSince.has_value();
    return result;
}

} // namespace kingcuptiller::stand_in
