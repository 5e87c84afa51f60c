#pragma once

#include "kingcuptiller/entry/work_message.h"
#include "kingcuptiller/protocol/messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>

namespace kingcuptiller::testing {

// A fact that must never be seen was seen. The message names the seed, the step and the fact.
class broken_fact : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// Collects what upstreams ran, what clients and operators were told, and throws `broken_fact` as
// soon as two of these contradict each other.
class fact_checker
{
public:
    explicit fact_checker(std::uint64_t seed)
        : m_seed(seed)
    {
    }

    void nextStep() { ++m_step; }
    void require(bool holds, const std::string &fact) const;

    // Work: each key has one payload, and its answer is answerTo(key, payload).
    [[nodiscard]] static std::string payloadOf(const std::string &key) { return "body of " + key; }
    [[nodiscard]] static std::string answerTo(const std::string &key, const std::string &payload)
    {
        return "answer to " + key + " with " + payload;
    }
    void clientSent(const std::string &key) { ++m_sendings[key]; }
    void clientTold(const std::string &key, const work_answer &answer);
    void ran(const std::string &key, const std::string &attempt, bool onceOnly);

    // Changes.
    void changeAnswered(const change_request &request, const change_answer &answer);
    [[nodiscard]] revision_number inForce() const { return m_inForce; }
    [[nodiscard]] const std::map<change_id, change_answer> &answers() const { return m_answers; }

    // Keys of non-idempotent work that a client got an answer to.
    [[nodiscard]] const std::set<std::string> &completed() const { return m_completed; }
    void completes(const std::string &key) { m_onceOnlyKeys.insert(key); }

    std::uint64_t runs = 0;
    std::uint64_t told = 0;
    std::uint64_t answered = 0;
    std::uint64_t accepted = 0;

private:
    std::uint64_t m_seed;
    std::uint64_t m_step = 0;
    std::map<std::string, int> m_sendings;
    std::map<std::string, int> m_keyRuns;
    std::set<std::string> m_attempts;
    std::set<std::string> m_notRun;
    std::set<std::string> m_onceOnlyKeys;
    std::set<std::string> m_completed;
    std::map<change_id, change_answer> m_answers;
    std::map<revision_number, change_id> m_acceptedOn;
    revision_number m_inForce;
};

} // namespace kingcuptiller::testing
