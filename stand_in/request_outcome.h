#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/result_code.h"
#include "kingcuptiller/values/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace kingcuptiller::stand_in {

enum class outcome_kind { answered, refused, unknown };

// What became of one request after all its sendings.
struct request_outcome
{
    request_key key;
    class_name workClass;
    bool idempotent = false;
    outcome_kind kind = outcome_kind::unknown;
    // Why it was refused or is unknown; ok when it was answered.
    result_code code = result_code::ok;
    std::uint32_t sendings = 0;
    // Sendings whose answer was lost or did not say whether the request was run.
    std::uint32_t uncertain = 0;
    // The last answer was another request's, or not the whole one.
    bool mismatched = false;
    // From the first sending to the last answer.
    microseconds latency{0};

    auto operator<=>(const request_outcome &) const = default;
};

// One line of a record file and back. Reading throws std::runtime_error for a malformed line.
[[nodiscard]] std::string writeOutcome(const request_outcome &outcome);
[[nodiscard]] request_outcome readOutcome(const std::string &line);

// What one answer of an entry says, reduced to what the generator decides by.
struct entry_answer
{
    // False when the connection failed, or the answer was cut short or no answer of an entry.
    bool received = false;
    // The Kct-Outcome header.
    std::string outcome;
    result_code code = result_code::ok;
    bool ownKey = false;
    bool ownPayload = false;

    bool operator==(const entry_answer &) const = default;
};

enum class next_step {
    // The outcome is final.
    finish,
    // Send with the same key to the next entry at once.
    next_entry,
    // Ask the same entry again with the same key after a while.
    ask_again,
};

// Takes an answer into `outcome` and says what a well-behaved client does next. `patienceLeft` is
// false when the client gives up, which makes every step final.
[[nodiscard]] next_step applyAnswer(request_outcome &outcome, const entry_answer &answer,
                                    bool patienceLeft);

} // namespace kingcuptiller::stand_in
