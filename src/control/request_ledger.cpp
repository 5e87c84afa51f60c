#include "kingcuptiller/control/request_ledger.h"

#include "ledger_parts.h"

#include <algorithm>

namespace kingcuptiller {

namespace {

// Tombstones per record of capacity. A tombstone has to outlast only the delay of a claim on its
// way; at this size a full ledger's worth of releases in a second still leaves several seconds.
constexpr std::size_t recordsPerTombstone = 10;
// So that a small ledger in a test or a demo still fences.
constexpr std::size_t fewestTombstones = 1000;

claim_result refuse(const claim &request, result_code code)
{
    return {{request.attempt, code, std::nullopt}, {}};
}

} // namespace

claim_result request_ledger::claimRequest(const claim &request, wall_time now,
                                          const configuration &classes)
{
    expire(now);
    const auto *wanted = classes.find(request.workClass);
    if (wanted == nullptr)
        return refuse(request, result_code::class_unknown);
    if (request.key.empty() || request.attempt.empty())
        return refuse(request, result_code::key_missing);
    if (const auto refusal = refusalByTime(request, now))
        return refuse(request, *refusal);
    if (m_fenced.contains(request.attempt))
        return refuse(request, result_code::claim_not_committed);
    const auto known = m_records.find(request.key);
    if (known != m_records.end()) {
        const ledger_record &record = known->second;
        if (record.bodyHash != request.bodyHash || record.issueTime != request.issueTime
            || record.workClass != request.workClass)
            return refuse(request, result_code::key_conflict);
        if (record.state != record_state::released)
            return answerKnown(record, request, now);
    }
    if (!hasRoom(request.workClass, classes))
        return refuse(request, result_code::ledger_full);
    const auto deadline = now + std::clamp(request.deadline, milliseconds{0}, maximumRetention);
    put(request.key,
        {request.workClass,
         request.issueTime,
         request.bodyHash,
         record_state::claimed,
         request.attempt,
         {request.entry, request.entryIncarnation},
         deadline,
         std::nullopt});
    return {{request.attempt, result_code::ok, std::nullopt},
            {request.entry, request.entryIncarnation}};
}

std::optional<result_code> request_ledger::refusalByTime(const claim &request, wall_time now) const
{
    if (request.issueTime > now + clockError)
        return result_code::issue_time_ahead;
    if (request.issueTime < std::max(m_floor, now - m_limits.retention + clockError))
        return result_code::key_expired;
    return std::nullopt;
}

claim_result request_ledger::answerKnown(const ledger_record &record, const claim &request,
                                         wall_time now) const
{
    if (record.state == record_state::completed)
        return {{request.attempt, result_code::already_run, record.answer}, record.holder};
    // A repeated claim of the same attempt gets the same answer: its entry uses it only once.
    if (record.attempt == request.attempt)
        return {{request.attempt, result_code::ok, std::nullopt}, record.holder};
    const auto code =
        now < record.deadline ? result_code::request_in_progress : result_code::outcome_unknown;
    return {{request.attempt, code, std::nullopt}, record.holder};
}

bool request_ledger::hasRoom(const class_name &name, const configuration &classes) const
{
    const auto *wanted = classes.find(name);
    return wanted != nullptr && m_counted < m_limits.records
        && internal::ledger_parts(classes, m_limits.records).hasRoom(*wanted, m_countByClass);
}

bool request_ledger::settle(const settlement &value, wall_time now)
{
    expire(now);
    if (value.kind == settlement_kind::released)
        return release(value, now);
    const auto known = m_records.find(value.key);
    return known != m_records.end() && known->second.attempt == value.attempt
        && complete(value, known->second);
}

bool request_ledger::complete(const settlement &value, ledger_record &record)
{
    // A completion outweighs a release of the same attempt: it is the answer that forbids a
    // further attempt.
    if (record.state == record_state::completed)
        return false;
    if (record.state == record_state::released)
        count(record, true);
    record.state = record_state::completed;
    record.answer = value.answer.value_or(recorded_answer{0, "", "", true});
    if (record.answer->body.size() > maximumAnswerBytes) {
        record.answer->body.clear();
        record.answer->bodyDropped = true;
    }
    if (!record.answer->body.empty()) {
        m_bodyBytes += record.answer->body.size();
        m_bodies.push_back({value.key, value.attempt});
        dropBodies();
    }
    return true;
}

bool request_ledger::release(const settlement &value, wall_time now)
{
    const auto known = m_records.find(value.key);
    const bool own = known != m_records.end() && known->second.attempt == value.attempt;
    if ((own && known->second.state != record_state::claimed) || value.attempt.empty()
        || m_fenced.contains(value.attempt))
        return false;
    if (own) {
        count(known->second, false);
        known->second.state = record_state::released;
    }
    fence(value.attempt, value.key, now + m_limits.retention);
    return true;
}

void request_ledger::fence(const attempt_id &attempt, const request_key &key, wall_time until)
{
    m_fenced.emplace(attempt, key);
    m_tombstones.push_back({attempt, key, until});
    const std::size_t most =
        std::max<std::size_t>(fewestTombstones, m_limits.records / recordsPerTombstone);
    while (m_tombstones.size() > most)
        dropTombstone();
}

void request_ledger::dropTombstone()
{
    const tombstone &oldest = m_tombstones.front();
    const auto known = m_records.find(oldest.key);
    if (known != m_records.end() && known->second.state == record_state::released
        && known->second.attempt == oldest.attempt) {
        m_byIssueTime.erase({known->second.issueTime, oldest.key});
        m_records.erase(known);
    }
    m_fenced.erase(oldest.attempt);
    m_tombstones.pop_front();
}

void request_ledger::dropBodies()
{
    while (m_bodyBytes > m_limits.bodyBytes && !m_bodies.empty()) {
        const auto known = m_records.find(m_bodies.front().key);
        if (known != m_records.end() && known->second.attempt == m_bodies.front().attempt
            && known->second.answer) {
            m_bodyBytes -= known->second.answer->body.size();
            known->second.answer->body.clear();
            known->second.answer->bodyDropped = true;
        }
        m_bodies.pop_front();
    }
}

void request_ledger::expire(wall_time now)
{
    m_floor = std::max(m_floor, now - m_limits.retention - 2 * clockError);
    while (!m_byIssueTime.empty() && m_byIssueTime.begin()->first < m_floor) {
        const auto known = m_records.find(m_byIssueTime.begin()->second);
        const ledger_record &record = known->second;
        if (record.state != record_state::released)
            count(record, false);
        if (record.answer)
            m_bodyBytes -= record.answer->body.size();
        m_records.erase(known);
        m_byIssueTime.erase(m_byIssueTime.begin());
    }
    while (!m_tombstones.empty() && m_tombstones.front().until < now)
        dropTombstone();
    while (!m_bodies.empty() && !m_records.contains(m_bodies.front().key))
        m_bodies.pop_front();
}

const ledger_record *request_ledger::find(const request_key &key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

void request_ledger::put(const request_key &key, ledger_record record)
{
    if (record.state != record_state::released)
        count(record, true);
    m_byIssueTime.emplace(record.issueTime, key);
    m_records.insert_or_assign(key, std::move(record));
}

void request_ledger::count(const ledger_record &record, bool added)
{
    auto &ofClass = m_countByClass[record.workClass];
    if (added) {
        ++m_counted;
        ++ofClass;
        return;
    }
    --m_counted;
    --ofClass;
    if (ofClass == 0)
        m_countByClass.erase(record.workClass);
}

} // namespace kingcuptiller
