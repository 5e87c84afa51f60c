#include "stand_in/request_outcome.h"

#include <fmt/format.h>

#include <array>
#include <sstream>
#include <stdexcept>

namespace kingcuptiller::stand_in {

namespace {

constexpr std::array<const char *, 3> kindNames{"answered", "refused", "unknown"};

// Refusals that concern the entry rather than the request, so another entry may serve it.
bool concernsEntry(result_code code)
{
    return code == result_code::entry_without_lease || code == result_code::entry_starting
        || code == result_code::entry_leaving;
}

// Refusals that no repetition changes.
bool isFinal(result_code code)
{
    return code == result_code::key_conflict || code == result_code::key_expired
        || code == result_code::issue_time_ahead
        || (code >= result_code::request_malformed && code < result_code::revision_conflict);
}

next_step finishAs(request_outcome &outcome, outcome_kind kind, result_code code)
{
    outcome.kind = kind;
    outcome.code = code;
    return next_step::finish;
}

} // namespace

std::string writeOutcome(const request_outcome &outcome)
{
    return fmt::format("{} {} {} {} {} {} {} {} {}", outcome.key.text(), outcome.workClass.text(),
                       outcome.idempotent ? "idempotent" : "once",
                       kindNames.at(static_cast<std::size_t>(outcome.kind)), name(outcome.code),
                       outcome.sendings, outcome.uncertain,
                       outcome.mismatched ? "mismatched" : "own", outcome.latency.count());
}

request_outcome readOutcome(const std::string &line)
{
    std::istringstream fields(line);
    std::string key;
    std::string workClass;
    std::string idempotent;
    std::string kind;
    std::string code;
    std::string mismatched;
    std::int64_t latency = 0;
    request_outcome outcome;
    if (!(fields >> key >> workClass >> idempotent >> kind >> code >> outcome.sendings
          >> outcome.uncertain >> mismatched >> latency))
        throw std::runtime_error("malformed record line '" + line + "'");
    outcome.key = request_key(key);
    outcome.workClass = class_name(workClass);
    outcome.idempotent = idempotent == "idempotent";
    outcome.kind = kind == kindNames[0] ? outcome_kind::answered
        : kind == kindNames[1]          ? outcome_kind::refused
                                        : outcome_kind::unknown;
    outcome.code = resultCodeFromName(code);
    outcome.mismatched = mismatched == "mismatched";
    outcome.latency = microseconds(latency);
    return outcome;
}

next_step applyAnswer(request_outcome &outcome, const entry_answer &answer, bool patienceLeft)
{
    ++outcome.sendings;
    if (!answer.received) {
        ++outcome.uncertain;
        return patienceLeft
            ? next_step::next_entry
            : finishAs(outcome, outcome_kind::unknown, result_code::outcome_unknown);
    }
    if (answer.outcome == "answered" || answer.outcome == "already_run") {
        outcome.mismatched = !answer.ownKey || !answer.ownPayload;
        return finishAs(outcome, outcome_kind::answered, result_code::ok);
    }
    if (answer.outcome == "not_run") {
        if (concernsEntry(answer.code) && patienceLeft)
            return next_step::next_entry;
        // An earlier sending may have run, so this refusal settles nothing about the request.
        if (outcome.uncertain > 0)
            return patienceLeft ? next_step::ask_again
                                : finishAs(outcome, outcome_kind::unknown, answer.code);
        return finishAs(outcome, outcome_kind::refused, answer.code);
    }
    ++outcome.uncertain;
    if (isFinal(answer.code))
        return finishAs(outcome, outcome_kind::refused, answer.code);
    return patienceLeft ? next_step::ask_again
                        : finishAs(outcome, outcome_kind::unknown, answer.code);
}

} // namespace kingcuptiller::stand_in
