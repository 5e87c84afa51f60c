#include "fact_checker.h"

#include <fmt/format.h>

#include <algorithm>

namespace kingcuptiller::testing {

namespace {

// Answers that leave the fate of the change open, so that the operator sends it again.
bool isOpen(result_code code)
{
    return code == result_code::not_leader || code == result_code::no_quorum
        || code == result_code::change_outcome_unknown;
}

} // namespace

void fact_checker::require(bool holds, const std::string &fact) const
{
    if (!holds)
        throw broken_fact(fmt::format("seed {}, step {}: {}", m_seed, m_step, fact));
}

void fact_checker::clientTold(const std::string &key, const work_answer &answer)
{
    ++told;
    require(answer.key.text() == key,
            fmt::format("the client of {} got an answer with the key {}", key, answer.key.text()));
    if (answer.code == result_code::ok || answer.code == result_code::already_run) {
        const std::string expected = answerTo(key, payloadOf(key));
        require(answer.answer.body == expected,
                fmt::format("the client of {} got the body '{}'", key, answer.answer.body));
        require(m_keyRuns.contains(key), fmt::format("{} was answered but never run", key));
        ++answered;
        if (m_onceOnlyKeys.contains(key))
            m_completed.insert(key);
    }
    if (outcomeName(answer.code) != "not_run" || m_sendings[key] != 1)
        return;
    require(!m_keyRuns.contains(key),
            fmt::format("the client of {} was told {} (not run), but it was run before", key,
                        name(answer.code)));
    m_notRun.insert(key);
}

void fact_checker::ran(const std::string &key, const std::string &attempt, bool onceOnly)
{
    ++runs;
    const bool first = m_attempts.insert(attempt).second;
    require(first, fmt::format("attempt {} of {} ran twice", attempt, key));
    const int times = ++m_keyRuns[key];
    require(!onceOnly || times == 1, fmt::format("non-idempotent {} has {} runs", key, times));
    require(!m_notRun.contains(key) || m_sendings[key] != 1,
            fmt::format("{} runs after its client was told 'not run'", key));
}

void fact_checker::changeAnswered(const change_request &request, const change_answer &answer)
{
    if (isOpen(answer.code))
        return;
    change_answer first = answer;
    // The change is accepted; only its being in force is open.
    if (answer.code == result_code::change_not_in_force)
        first.code = result_code::ok;
    first.message.clear();
    const auto [known, added] = m_answers.emplace(request.id, first);
    require(known->second == first,
            fmt::format("change {} was answered {} revision {} and now {} revision {}",
                        request.id.text(), name(known->second.code),
                        known->second.revision.number(), name(first.code),
                        first.revision.number()));
    if (first.code != result_code::ok)
        return;
    accepted += added ? 1 : 0;
    const auto [holder, fresh] = m_acceptedOn.emplace(request.base, request.id);
    require(holder->second == request.id,
            fmt::format("changes {} and {} were both accepted on revision {}",
                        holder->second.text(), request.id.text(), request.base.number()));
    if (answer.code == result_code::ok)
        m_inForce = std::max(m_inForce, answer.revision);
}

} // namespace kingcuptiller::testing
