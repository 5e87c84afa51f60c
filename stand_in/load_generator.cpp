#include "stand_in/load_generator.h"

#include "kingcuptiller/transport/http_message.h"
#include "kingcuptiller/transport/system_clock.h"
#include "kingcuptiller/values/error.h"
#include "stand_in/work_payload.h"

#include <cpprest/http_client.h>
#include <fmt/format.h>

#include <charconv>
#include <cmath>

namespace kingcuptiller::stand_in {

namespace {

using web::http::http_request;
using web::http::http_response;

// A request is given up this long after its first deadline. Longer than an entry's lease, after
// which the ledger can say what became of a request whose entry died.
constexpr milliseconds patienceAfterDeadline{4000};
constexpr milliseconds pauseBeforeAsking{250};
// Between two rounds over all entries.
constexpr milliseconds pauseBetweenRounds{100};
// Beyond the deadline, for the way back of a late answer.
constexpr milliseconds answerSlack{1000};

std::string header(const http_response &response, const std::string &name)
{
    const auto found = response.headers().find(name);
    return found == response.headers().end() ? "" : found->second;
}

// The number or the name of a result code.
result_code readCode(const std::string &text)
{
    int number = 0;
    const auto [rest, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (fault == std::errc() && rest == text.data() + text.size()) {
        for (const result_code code : allResultCodes()) {
            if (static_cast<int>(code) == number)
                return code;
        }
    }
    try {
        return resultCodeFromName(text);
    } catch (const error &) {
        return result_code::internal_fault;
    }
}

entry_answer readAnswer(const http_response &response, const std::vector<unsigned char> &bytes,
                        const request_key &key, const std::string &expected)
{
    entry_answer answer;
    answer.outcome = header(response, "Kct-Outcome");
    answer.received = !answer.outcome.empty();
    answer.code = readCode(header(response, "Kct-Result-Code"));
    answer.ownKey = header(response, "Kct-Request-Key") == key.text();
    answer.ownPayload = toText(bytes) == expected;
    return answer;
}

} // namespace

struct load_generator::sent_request
{
    class_plan plan;
    request_outcome outcome;
    std::string body;
    std::string expected;
    std::int64_t issueMs = 0;
    instant firstSent;
    std::size_t entryIndex = 0;
};

load_generator::load_generator(load_options options)
    : m_options(std::move(options))
    , m_finder(m_options)
    , m_engine(m_options.seed)
{
}

load_generator::~load_generator()
{
    std::unique_lock lock(m_mutex);
    m_closed = true;
    m_changed.wait(lock, [this] { return m_onTheirWay == 0; });
}

std::vector<request_outcome> load_generator::run()
{
    const instant begin = readInstant();
    m_end = begin + m_options.duration;
    m_timer.at(begin, [this, begin] {
        for (std::size_t index = 0; index < m_options.classes.size(); ++index)
            scheduleNext(index, begin);
    });
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, m_options.duration, [this] { return readInstant() >= m_end; });
    m_changed.wait_for(lock, m_options.settleTime, [this] { return m_pending.empty(); });
    m_closed = true;
    for (auto &[key, request] : m_pending) {
        request->outcome.kind = outcome_kind::unknown;
        request->outcome.code = result_code::outcome_unknown;
        ++request->outcome.uncertain;
        m_outcomes.push_back(request->outcome);
    }
    return m_outcomes;
}

double load_generator::draw()
{
    return static_cast<double>((m_engine() >> 11U) + 1) * 0x1.0p-53;
}

void load_generator::scheduleNext(std::size_t planIndex, instant time)
{
    const double seconds = -std::log(draw()) / m_options.classes[planIndex].rate;
    const instant next =
        time + std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(seconds));
    if (next >= m_end)
        return;
    m_timer.at(next, [this, planIndex, next] {
        scheduleNext(planIndex, next);
        start(planIndex);
    });
}

void load_generator::start(std::size_t planIndex)
{
    const auto request = std::make_shared<sent_request>();
    request->plan = m_options.classes[planIndex];
    // The issue time keeps keys of two runs with one seed apart.
    request->issueMs = toUnixMilliseconds(readWallTime());
    request->outcome.key =
        request_key(fmt::format("{:016x}-{:x}-{:x}", m_engine(), request->issueMs, m_started++));
    request->outcome.workClass = request->plan.workClass;
    request->outcome.idempotent = request->plan.idempotent;
    request->body =
        makeRequestBody(request->outcome.key, request->plan.bodyBytes, request->plan.answerBytes);
    request->expected = makeAnswerBody(request->body);
    request->firstSent = readInstant();
    {
        const std::lock_guard lock(m_mutex);
        m_pending.emplace(request->outcome.key, request);
    }
    send(request);
}

void load_generator::send(const request_pointer &request)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed)
            return;
        ++m_onTheirWay;
    }
    const std::vector<endpoint_address> entries = m_finder.entries();
    const auto client = clientOf(entries[request->entryIndex % entries.size()]);
    http_request message(web::http::methods::POST);
    message.set_request_uri("/v1/work/" + request->plan.workClass.text() + "/run");
    message.headers().add("Kct-Request-Key", request->outcome.key.text());
    message.headers().add("Kct-Issue-Time", std::to_string(request->issueMs));
    message.headers().add("Kct-Deadline-Ms", std::to_string(request->plan.deadline.count()));
    message.headers().add("Kct-Client-Region", m_options.region.text());
    message.set_body(toBytes(request->body));
    // The client is kept until its answer has arrived.
    client->request(message)
        .then([client](const http_response &response) {
            return http_response(response).extract_vector().then(
                [response](const std::vector<unsigned char> &bytes) {
                    return std::make_pair(response, bytes);
                });
        })
        .then([this, request](
                  const pplx::task<std::pair<http_response, std::vector<unsigned char>>> &task) {
            entry_answer answer;
            try {
                const auto &[response, bytes] = task.get();
                answer = readAnswer(response, bytes, request->outcome.key, request->expected);
            } catch (const std::exception &) {
                answer = entry_answer();
            }
            receive(request, answer);
        });
}

void load_generator::receive(const request_pointer &request, const entry_answer &answer)
{
    const instant now = readInstant();
    const std::size_t entryCount = m_finder.entries().size();
    const bool patienceLeft =
        now < request->firstSent + request->plan.deadline + patienceAfterDeadline;
    // Held to the end: the destructor may go on as soon as the last answer has been counted.
    const std::lock_guard lock(m_mutex);
    --m_onTheirWay;
    m_changed.notify_all();
    if (m_closed)
        return;
    request->outcome.latency = now - request->firstSent;
    switch (applyAnswer(request->outcome, answer, patienceLeft)) {
    case next_step::finish:
        return finish(request);
    case next_step::next_entry:
        ++request->entryIndex;
        break;
    case next_step::ask_again:
        break;
    }
    const bool asksAgain = answer.received && answer.outcome != "not_run";
    const bool roundOver = request->outcome.sendings % entryCount == 0;
    const milliseconds pause = asksAgain ? pauseBeforeAsking
        : roundOver                      ? pauseBetweenRounds
                                         : milliseconds(0);
    m_timer.at(now + pause, [this, request] { send(request); });
}

// Called with the mutex held.
void load_generator::finish(const request_pointer &request)
{
    m_outcomes.push_back(request->outcome);
    m_pending.erase(request->outcome.key);
    m_changed.notify_all();
}

std::shared_ptr<web::http::client::http_client>
load_generator::clientOf(const endpoint_address &entry)
{
    const std::lock_guard lock(m_mutex);
    auto &client = m_clients[entry.text()];
    if (!client) {
        milliseconds longest{0};
        for (const class_plan &plan : m_options.classes)
            longest = std::max(longest, plan.deadline);
        web::http::client::http_client_config config;
        config.set_timeout(longest + answerSlack);
        client = std::make_shared<web::http::client::http_client>("http://" + entry.text(), config);
    }
    return client;
}

} // namespace kingcuptiller::stand_in
