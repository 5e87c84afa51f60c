// Clients, what entries send, and upstreams.

#include "fleet.h"

#include <fmt/format.h>

#include <algorithm>

namespace kingcuptiller::testing {

namespace {

// A client waits for longer than the longest deadline before it sends its key again.
constexpr milliseconds clientPatience{2500};
constexpr int maximumResends = 2;

forward_result makeAnswer(const std::string &key, const std::string &attempt,
                          const std::string &result, const std::string &body)
{
    return {.outcome = forward_outcome::complete,
            .answer = {.status = 200,
                       .headers = {{"Kct-Request-Key", key},
                                   {"Kct-Attempt", attempt},
                                   {"Kct-Upstream-Result", result}},
                       .body = body},
            .reason = {}};
}

forward_result makeFailure(forward_outcome outcome)
{
    return {.outcome = outcome, .answer = {}, .reason = "simulated"};
}

} // namespace

coordinator_hooks fleet::makeHooks(entry_process &entry)
{
    return {
        .now = [this, &entry] { return clockOf(entry); },
        .snapshot = [&entry] { return entry.snapshot; },
        .randomId =
            [&entry] {
                return fmt::format("{}-{}", entry.identity.incarnation.text(), ++entry.drawn);
            },
        .forward =
            [this, &entry](const forward_request &request,
                           std::function<void(forward_result)> done) {
                return forward(entry, request, std::move(done));
            },
        .requestClaim =
            [this, &entry](const claim &wanted, instant giveUpAt,
                           const std::function<void(std::optional<claim_answer>)> &done) {
                noteDecided(entry, wanted.key.text(), wanted.workClass.text());
                entry.intervalOf[wanted.attempt.text()] =
                    clockOf(entry).time_since_epoch() / microseconds(1'000'000);
                requestClaim(entry, wanted, giveUpAt, done);
            },
        .settle =
            [this, &entry](const settlement &settled, instant giveUpAt,
                           const std::function<void(bool)> &done) {
                settle(entry, settled, giveUpAt, done);
            },
    };
}

cancel_function fleet::forward(entry_process &entry, const forward_request &request,
                               std::function<void(forward_result)> done)
{
    const header_map &headers = request.message.headers;
    auto open = std::make_shared<exchange>();
    open->entry = &entry;
    open->address = request.upstream.text();
    open->key = headerValue(headers, "Kct-Request-Key");
    open->attempt = headerValue(headers, "Kct-Attempt");
    open->payload = request.message.body;
    open->deadline =
        network.now() + milliseconds(std::stoll(headerValue(headers, "Kct-Deadline-Ms")));
    open->onceOnly = request.freshConnection;
    open->done = std::move(done);
    m_exchanges.push_back(open);
    checkSending(entry, open->key);
    checkDecision(entry);
    checkSlots(open->address);
    checkLeaving(open->address);
    noteSent(entry, *open);
    const upstream_process *target = findUpstream(open->address);
    const std::string name = target == nullptr ? "nobody" : target->facts.id.text();
    network.at(entry.name, network.now() + request.timeout,
               [this, open] { endExchange(open, makeFailure(forward_outcome::timed_out)); });
    network.send(
        entry.name, name, [this, open] { reachUpstream(open); }, false);
    return [this, weak = std::weak_ptr(open)] {
        const auto cancelled = weak.lock();
        if (cancelled && !cancelled->ended)
            network.at(cancelled->entry->name, network.now(), [this, cancelled] {
                endExchange(cancelled, makeFailure(forward_outcome::cancelled));
            });
    };
}

void fleet::endExchange(const std::shared_ptr<exchange> &open, const forward_result &result)
{
    if (!open->entry->alive || std::exchange(open->ended, true))
        return;
    const auto done = std::exchange(open->done, nullptr);
    done(result);
}

// The answer of an upstream. A process that died meanwhile sends none.
void fleet::answerExchange(const std::shared_ptr<exchange> &open, const forward_result &result)
{
    const upstream_process *target = findUpstream(open->address);
    network.send(
        target->facts.id.text(), open->entry->name,
        [this, open, result] { endExchange(open, result); }, true);
}

void fleet::reachUpstream(const std::shared_ptr<exchange> &open)
{
    upstream_process *target = findUpstream(open->address);
    if (target == nullptr || !target->alive)
        return target == nullptr
            ? endExchange(open, makeFailure(forward_outcome::not_connected))
            : answerExchange(open, makeFailure(forward_outcome::not_connected));
    if (target->crosses && network.happens(500)) {
        // The answer of another request, once complete and once as a refusal. It proves nothing
        // about this request, which is run or not.
        if (network.happens(500))
            facts.ran(open->key, open->attempt, open->onceOnly);
        const bool otherKey = network.happens(500);
        return answerExchange(open,
                              makeAnswer(otherKey ? "x" + m_lastRun.first : open->key,
                                         otherKey ? open->attempt : m_lastRun.second,
                                         network.happens(500) ? "ran" : "shed", "crossed"));
    }
    if (target->sheds || target->running >= target->facts.slots)
        return answerExchange(open, makeAnswer(open->key, open->attempt, "shed", ""));
    facts.ran(open->key, open->attempt, open->onceOnly);
    m_lastRun = {open->key, open->attempt};
    ++target->running;
    const auto late = target->late.count() == 0
        ? 0
        : network.draw(static_cast<std::uint64_t>(target->late.count()));
    network.at(
        target->facts.id.text(), network.now() + milliseconds(20 + network.draw(60) + late),
        [this, open, target] {
            --target->running;
            if (target->alive)
                answerExchange(open,
                               makeAnswer(open->key, open->attempt, "ran",
                                          fact_checker::answerTo(open->key, open->payload)));
            else
                network.send(
                    target->facts.id.text(), open->entry->name,
                    [this, open] { endExchange(open, makeFailure(forward_outcome::cut_short)); },
                    false);
        });
}

void fleet::announce(upstream_process &upstream)
{
    upstream.nextAnnouncement = network.now() + milliseconds(1000);
    const auto entry = m_entries.at(network.draw(entryCount));
    upstream_announcement facts = upstream.facts;
    facts.load = static_cast<double>(upstream.running) / upstream.facts.slots;
    network.send(
        upstream.facts.id.text(), entry->name,
        [entry, facts] {
            if (entry->alive)
                entry->announcements.announce(facts);
        },
        true);
}

void fleet::newRequest()
{
    auto request = std::make_shared<client_request>();
    request->key = fmt::format("k{}", ++m_drawn);
    request->workClass = network.happens(500) ? "posting" : "lookup";
    request->origin = region_name(network.happens(500) ? "east" : "west");
    request->issued = wallNow();
    m_classOfKey[request->key] = class_name(request->workClass);
    // Clients prefer entries of their region.
    const std::size_t half = request->origin.text() == "east" ? 0 : entryCount / 2;
    const std::size_t entry =
        network.happens(800) ? half + network.draw(entryCount / 2) : network.draw(entryCount);
    sendRequest(request, entry, [](result_code) {});
}

void fleet::sendRequest(const std::shared_ptr<client_request> &request, std::size_t number,
                        const std::function<void(result_code)> &told)
{
    if (request->workClass == "posting")
        facts.completes(request->key);
    const auto entry = m_entries.at(number);
    const auto heard = std::make_shared<bool>(false);
    const auto reply = [this, request, told, heard, entry](const work_answer &answer) {
        if (!entry->alive)
            return;
        network.send(
            entry->name, "client",
            [this, request, told, heard, answer] {
                if (std::exchange(*heard, true))
                    return;
                facts.clientTold(request->key, answer);
                told(answer.code);
            },
            true);
    };
    network.send(
        "client", entry->name,
        [this, entry, request, reply] {
            // Each arrival is a sending: the client's HTTP library may send a request again.
            facts.clientSent(request->key);
            if (entry->alive)
                handle(*entry, request, reply);
        },
        true);
    network.at("client", network.now() + clientPatience, [this, request, told, heard] {
        if (*heard || request->resends >= maximumResends)
            return;
        ++request->resends;
        sendRequest(request, network.draw(entryCount), told);
    });
}

void fleet::handle(entry_process &entry, const std::shared_ptr<client_request> &request,
                   const std::function<void(work_answer)> &reply)
{
    work_request wanted;
    wanted.workClass = class_name(request->workClass);
    wanted.key = request_key(request->key);
    wanted.issueTime = request->issued;
    wanted.deadline = milliseconds(300 + network.draw(1700));
    wanted.clientRegion = request->origin;
    wanted.message = {.method = "POST",
                      .path = "/do",
                      .query = {},
                      .headers = {},
                      .body = fact_checker::payloadOf(request->key)};
    // An entry knows the regions that it was told of; clients of others count as its own.
    entry.originOf[request->key] =
        entry.regions.contains(request->origin) ? request->origin : entry.identity.region;
    const bool decides = !entry.snapshot->refusal(clockOf(entry), entryListLifetime).has_value();
    if (decides) {
        checkDecision(entry);
        ++entry.undecided[request->key];
    }
    entry.coordinator->handle(wanted, [this, &entry, request, reply, decides](work_answer answer) {
        if (decides)
            noteDecided(entry, request->key, request->workClass);
        reply(std::move(answer));
    });
}

void fleet::probe(std::size_t entry, const std::string &workClass,
                  const std::function<void(result_code)> &told)
{
    auto request = std::make_shared<client_request>();
    request->key = fmt::format("k{}", ++m_drawn);
    request->workClass = workClass;
    request->origin = m_entries.at(entry)->identity.region;
    request->issued = wallNow();
    m_classOfKey[request->key] = class_name(workClass);
    sendRequest(request, entry, told);
}

} // namespace kingcuptiller::testing
