#pragma once

#include "kingcuptiller/control/command.h"

#include <json/forwards.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kingcuptiller {

enum class record_state {
    // The attempt may have been sent; nobody else may send this request.
    claimed,
    // The attempt was not run and never will be; a new attempt may be granted.
    released,
    completed,
};

// What the ledger knows of one request key.
struct ledger_record
{
    class_name workClass;
    wall_time issueTime;
    body_hash bodyHash;
    record_state state = record_state::claimed;
    attempt_id attempt;
    entry_key holder;
    // The end of the request's deadline.
    wall_time deadline;
    std::optional<recorded_answer> answer;

    bool operator==(const ledger_record &) const = default;
};

// Grants each non-idempotent request at most one sending at a time, and none after one that may
// have run. Deterministic: `now` is the time in the command and never goes backwards.
//
// The identity of a request is its key, issue time and body hash. `claim` grants an attempt,
// repeats the grant for the same attempt, or refuses. `settle` ends an attempt. A release is kept
// as a tombstone, so a claim of the same attempt that arrives after it is refused (fenced); without
// it the key would stay claimed by an attempt that nobody will ever send.
//
// A record is dropped once its issue time is so old that the request would be refused as expired,
// whichever clock error the client has. That bound never moves back, also when the retention is
// raised.
class request_ledger
{
public:
    static constexpr milliseconds clockError{30'000};
    static constexpr milliseconds maximumRetention{86'400'000};
    static constexpr std::size_t maximumAnswerBytes = 65'536;

    void setLimits(const ledger_limits &limits) { m_limits = limits; }
    [[nodiscard]] const ledger_limits &limits() const { return m_limits; }

    // `classes` gives each class its guaranteed part of the ledger.
    claim_result claimRequest(const claim &request, wall_time now, const configuration &classes);
    // True when the settlement changed the ledger.
    bool settle(const settlement &value, wall_time now);
    // Drops what is past the retention.
    void expire(wall_time now);

    // nullptr when there is none. Valid until the next change.
    [[nodiscard]] const ledger_record *find(const request_key &key) const;
    // Records that count against the limit: all that are claimed or completed.
    [[nodiscard]] std::size_t size() const { return m_counted; }
    [[nodiscard]] std::size_t bodyBytes() const { return m_bodyBytes; }
    [[nodiscard]] std::size_t tombstones() const { return m_tombstones.size(); }

    // Text of the whole ledger, one JSON array a line, so that neither writing nor reading it
    // builds a tree of the whole. `readLines` throws `error` with `message_malformed`.
    void writeLines(std::string &out) const;
    void readLines(std::string_view text);

private:
    struct tombstone
    {
        attempt_id attempt;
        request_key key;
        wall_time until;
    };
    struct recorded_body
    {
        request_key key;
        attempt_id attempt;
    };

    void readLine(const Json::Value &line);
    std::optional<result_code> refusalByTime(const claim &request, wall_time now) const;
    claim_result answerKnown(const ledger_record &record, const claim &request,
                             wall_time now) const;
    bool hasRoom(const class_name &name, const configuration &classes) const;
    void put(const request_key &key, ledger_record record);
    void count(const ledger_record &record, bool added);
    bool complete(const settlement &value, ledger_record &record);
    bool release(const settlement &value, wall_time now);
    void fence(const attempt_id &attempt, const request_key &key, wall_time until);
    void dropTombstone();
    void dropBodies();

    ledger_limits m_limits;
    std::unordered_map<request_key, ledger_record> m_records;
    // Keys in the order in which they expire.
    std::set<std::pair<wall_time, request_key>> m_byIssueTime;
    std::map<class_name, std::size_t> m_countByClass;
    std::size_t m_counted = 0;
    std::deque<tombstone> m_tombstones;
    std::unordered_map<attempt_id, request_key> m_fenced;
    std::deque<recorded_body> m_bodies;
    std::size_t m_bodyBytes = 0;
    // Requests issued before this are refused as expired: their records may have been dropped.
    wall_time m_floor{};
};

} // namespace kingcuptiller
