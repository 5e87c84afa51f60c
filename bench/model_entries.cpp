#include "bench/steering_model.h"

#include <algorithm>

namespace kingcuptiller::bench {

namespace {

// How long an entry waits for a connection to a host that does not answer.
constexpr microseconds connectTimeout{250'000};

std::vector<model_entry::attempt>::iterator findAttempt(std::vector<model_entry::attempt> &attempts,
                                                        std::uint32_t number)
{
    return std::find_if(attempts.begin(), attempts.end(),
                        [number](const auto &each) { return each.number == number; });
}

} // namespace

void steering_model::reach(std::size_t index, const request_pointer &request)
{
    model_entry &entry = m_entries[index];
    if (!entry.alive) {
        m_events.after(connectTimeout, [this, request] { tryNextEntry(request); });
        return;
    }
    const class_profile &profile = m_settings.user.classes[request->workClass];
    entry.requests[request->number] = request;
    const request_attributes facts{ticket_id(request->number),
                                   profile.settings.name,
                                   region_name(m_settings.user.regions[request->origin]),
                                   profile.requestBytes,
                                   request->deadline,
                                   profile.settings.idempotent};
    m_events.after(request->deadline - m_events.now(),
                   [this, index, request] { timeOut(index, request); });
    handle(index, request, entry.dispatcher->submit(facts, m_events.now()));
}

void steering_model::handle(std::size_t index, const request_pointer &request, const decision &made)
{
    model_entry &entry = m_entries[index];
    if (const auto *forward = std::get_if<forward_decision>(&made)) {
        send(index, request, *forward);
        if (forward->attempt == 1)
            hedgeLater(index, request);
    } else if (const auto *refused = std::get_if<refused_decision>(&made)) {
        if (request->regions.empty())
            entry.audit.refused(request->workClass, request->origin, m_events.now());
        entry.requests.erase(request->number);
        refuseClient(request, refused->code);
    }
}

void steering_model::send(std::size_t index, const request_pointer &request,
                          const forward_decision &forward)
{
    model_entry &entry = m_entries[index];
    const std::size_t upstream = m_upstreamByName.at(forward.upstream->id);
    model_upstream &to = *m_upstreams[upstream];
    const auto &regions = m_settings.user.regions;
    const auto region = static_cast<std::size_t>(
        std::find(regions.begin(), regions.end(), forward.upstream->region.text())
        - regions.begin());
    const bool first = request->regions.empty();
    if (request->regions.insert(region).second)
        entry.audit.sent(request->workClass, request->origin, region, first, m_events.now());
    if (inDrain(to.announcement())) {
        const microseconds since = m_events.now() - m_experimentAt;
        m_result.drainSeconds =
            std::max(m_result.drainSeconds, static_cast<double>(since.count()) / 1e6);
    }
    m_result.attempts += request->measured ? 1 : 0;
    const std::uint64_t job = ++m_jobs;
    const std::uint32_t number = forward.attempt;
    entry.attempts[request->number].push_back({number, upstream, job, m_events.now()});
    const bool pooled = m_settings.user.classes[request->workClass].settings.idempotent;
    const microseconds way = upstreamDelay(index, upstream);
    const auto onTheWay = way + (pooled ? microseconds(0) : m_settings.user.connectionCost);
    m_events.after(onTheWay, [=, this] {
        if (!m_upstreams[upstream]->alive()) {
            m_events.after(connectTimeout, [=, this] {
                answered(index, request, number, attempt_outcome::connect_refused);
            });
            return;
        }
        m_upstreams[upstream]->arrive({job, request->service, [=, this](upstream_answer answer) {
                                           const bool ran = answer == upstream_answer::ran;
                                           m_events.after(way, [=, this] {
                                               answered(index, request, number,
                                                        ran ? attempt_outcome::answered
                                                            : attempt_outcome::shed);
                                           });
                                       }});
    });
}

void steering_model::answered(std::size_t index, const request_pointer &request,
                              std::uint32_t number, attempt_outcome outcome)
{
    model_entry &entry = m_entries[index];
    auto &attempts = entry.attempts[request->number];
    if (!entry.alive || findAttempt(attempts, number) == attempts.end())
        return;
    endAttempt(index, request, number, outcome);
    if (request->over)
        return;
    if (outcome == attempt_outcome::answered) {
        answerClient(request, index);
        giveUp(index, request, attempt_outcome::cancelled);
        entry.requests.erase(request->number);
    } else if (entry.attempts[request->number].empty()) {
        handle(index, request, entry.dispatcher->retry(ticket_id(request->number), m_events.now()));
    }
    takeReady(index);
}

void steering_model::endAttempt(std::size_t index, const request_pointer &request,
                                std::uint32_t number, attempt_outcome outcome)
{
    model_entry &entry = m_entries[index];
    auto &attempts = entry.attempts[request->number];
    const auto found = findAttempt(attempts, number);
    if (found == attempts.end())
        return;
    const class_profile &profile = m_settings.user.classes[request->workClass];
    const std::uint64_t bytes = outcome == attempt_outcome::answered ? profile.answerBytes : 0;
    const microseconds latency = m_events.now() - found->sent;
    attempts.erase(found);
    if (attempts.empty())
        entry.attempts.erase(request->number);
    entry.dispatcher->attemptFinished({ticket_id(request->number), number, outcome, latency, bytes},
                                      m_events.now());
}

// Cancels all open attempts. A slot is free for the entry only when the upstream has confirmed.
void steering_model::giveUp(std::size_t index, const request_pointer &request,
                            attempt_outcome outcome)
{
    const std::vector<model_entry::attempt> open = m_entries[index].attempts[request->number];
    for (const model_entry::attempt &each : open) {
        const microseconds way = upstreamDelay(index, each.upstream);
        m_events.after(way, [this, each] { m_upstreams[each.upstream]->cancel(each.job); });
        m_events.after(2 * way, [this, index, request, each, outcome] {
            if (m_entries[index].alive) {
                endAttempt(index, request, each.number, outcome);
                takeReady(index);
            }
        });
    }
}

void steering_model::hedgeLater(std::size_t index, const request_pointer &request)
{
    const class_profile &profile = m_settings.user.classes[request->workClass];
    const microseconds wait = m_entries[index].dispatcher->hedgeDelay(profile.settings.name);
    if (wait <= microseconds(0))
        return;
    m_events.after(wait, [this, index, request] {
        model_entry &entry = m_entries[index];
        if (request->over || !entry.alive)
            return;
        const decision made = entry.dispatcher->hedge(ticket_id(request->number), m_events.now());
        if (const auto *forward = std::get_if<forward_decision>(&made))
            send(index, request, *forward);
    });
}

void steering_model::timeOut(std::size_t index, const request_pointer &request)
{
    model_entry &entry = m_entries[index];
    if (request->over || !entry.alive)
        return;
    m_result.drainFailures += m_draining && request->sent < m_experimentAt ? 1 : 0;
    giveUp(index, request, attempt_outcome::timeout);
    if (request->regions.empty())
        entry.audit.refused(request->workClass, request->origin, m_events.now());
    entry.dispatcher->abandon(ticket_id(request->number), m_events.now());
    entry.requests.erase(request->number);
    refuseClient(request, result_code::upstream_timeout);
}

void steering_model::takeReady(std::size_t index)
{
    model_entry &entry = m_entries[index];
    for (const ready_ticket &each : entry.dispatcher->takeReady(m_events.now()))
        handle(index, entry.requests.at(each.ticket.number()), each.outcome);
}

void steering_model::tick(std::size_t index)
{
    if (!m_entries[index].alive)
        return;
    takeReady(index);
    m_events.after(milliseconds(10), [this, index] { tick(index); });
}

} // namespace kingcuptiller::bench
