#include "tests/entry/coordinator_harness.h"

#include <fmt/format.h>

namespace kingcuptiller {

namespace {

configuration makeConfiguration()
{
    work_class lookup;
    lookup.name = class_name("lookup");
    lookup.idempotent = true;
    work_class posting;
    posting.name = class_name("posting");
    posting.rank = rank_number(1);
    return {.revision = revision_number(1), .classes = {lookup, posting}, .stops = {}};
}

entry_sync_response makeResponse()
{
    entry_sync_response response;
    response.epoch = epoch_number(1);
    response.lease = milliseconds(2500);
    response.revision = revision_number(1);
    response.newConfiguration = makeConfiguration();
    response.assignment = assignment_sequence(1);
    response.newAssignments.emplace();
    for (const std::string workClass : {"lookup", "posting"}) {
        for (const int number : {1, 2})
            response.newAssignments->push_back(
                {.id = upstream_id(fmt::format("{}-{}", workClass, number)),
                 .incarnation = incarnation_id("i"),
                 .address = endpoint_address("10.0.0.1:80"),
                 .region = region_name("east"),
                 .zone = zone_name("a"),
                 .workClass = class_name(workClass),
                 .limit = 9,
                 .connectionLimit = 50,
                 .age = milliseconds(3'600'000)});
    }
    return response;
}

coordinator_settings makeSettings()
{
    coordinator_settings settings;
    settings.identity = {.host = host_id("entry-1"),
                         .incarnation = incarnation_id("incarnation"),
                         .address = endpoint_address("10.0.0.9:80"),
                         .region = region_name("east"),
                         .zone = zone_name("a")};
    return settings;
}

} // namespace

coordinator_harness::coordinator_harness()
{
    const entry_sync_response response = makeResponse();
    m_snapshot = std::make_shared<entry_snapshot>(
        *applySync(entry_snapshot(), response, instant{}, instant{}));
    dispatcher_settings dispatching;
    dispatching.region = region_name("east");
    dispatching.zone = zone_name("a");
    coordinator = std::make_shared<work_coordinator>(
        makeSettings(), entry_dispatcher(std::move(dispatching)), makeHooks());
    coordinator->apply(response, true);
}

coordinator_hooks coordinator_harness::makeHooks()
{
    return {
        .now = [this] { return m_now; },
        .snapshot = [this] { return m_snapshot; },
        .randomId = [this] { return "attempt-" + std::to_string(++m_drawn); },
        .forward =
            [this](const forward_request &request, std::function<void(forward_result)> done) {
                sent.push_back({.request = request, .done = std::move(done)});
                return [flag = sent.back().cancelled] { *flag = true; };
            },
        .requestClaim =
            [this](const claim &wanted, instant,
                   std::function<void(std::optional<claim_answer>)> done) {
                claims.push_back({.wanted = wanted, .done = std::move(done)});
            },
        .settle =
            [this](const settlement &settled, instant, std::function<void(bool)> done) {
                settlements.push_back({.settled = settled, .done = std::move(done)});
            },
    };
}

void coordinator_harness::request(const std::string &workClass, const std::string &key,
                                  milliseconds deadline)
{
    work_request wanted;
    wanted.workClass = class_name(workClass);
    wanted.key = request_key(key);
    wanted.issueTime = wall_time(std::chrono::seconds(1));
    wanted.deadline = deadline;
    wanted.message = {.method = "POST", .path = "/do", .query = {}, .headers = {}, .body = "body"};
    coordinator->handle(wanted,
                        [this](work_answer answer) { answers.push_back(std::move(answer)); });
}

void coordinator_harness::advance(milliseconds time)
{
    m_now += time;
    coordinator->tick();
}

void coordinator_harness::freeze(milliseconds time)
{
    m_now += time;
}

void coordinator_harness::grant(std::size_t claim)
{
    answerClaim(claim, result_code::ok);
}

void coordinator_harness::answerClaim(std::size_t claim, result_code code,
                                      const std::optional<recorded_answer> &recorded)
{
    claims.at(claim).done(
        claim_answer{.attempt = claims.at(claim).wanted.attempt, .code = code, .answer = recorded});
}

forward_result coordinator_harness::answerTo(std::size_t number, const std::string &result,
                                             const std::string &body) const
{
    const header_map &asked = sent.at(number).request.message.headers;
    return {.outcome = forward_outcome::complete,
            .answer = {.status = 200,
                       .headers = {{"Kct-Request-Key", headerValue(asked, "Kct-Request-Key")},
                                   {"Kct-Attempt", headerValue(asked, "Kct-Attempt")},
                                   {"Kct-Upstream-Result", result}},
                       .body = body},
            .reason = {}};
}

void coordinator_harness::finish(std::size_t number, forward_result result)
{
    sent.at(number).done(std::move(result));
}

void coordinator_harness::fail(std::size_t number, forward_outcome outcome)
{
    finish(number, {.outcome = outcome, .answer = {}, .reason = "played"});
}

std::string coordinator_harness::told() const
{
    return answers.size() == 1 ? std::string(name(answers.front().code)) : "none";
}

std::vector<attempt_id> coordinator_harness::settled(settlement_kind kind) const
{
    std::vector<attempt_id> attempts;
    for (const asked_settlement &each : settlements) {
        if (each.settled.kind == kind)
            attempts.push_back(each.settled.attempt);
    }
    return attempts;
}

} // namespace kingcuptiller
