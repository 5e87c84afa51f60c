#pragma once

#include "kingcuptiller/transport/http_forwarder.h"
#include "kingcuptiller/transport/http_message.h"
#include "kingcuptiller/values/configuration.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/result_code.h"
#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <optional>
#include <string>

// The client's side and the upstream's side of POST|GET /v1/work/<class>/<path...>.

namespace kingcuptiller {

// A client's request as an entry understood it.
struct work_request
{
    class_name workClass;
    // Empty when the client gave none.
    request_key key;
    std::optional<wall_time> issueTime;
    // Relative to the arrival; nothing means the longest that the class allows.
    std::optional<milliseconds> deadline;
    // Empty when the client gave none.
    region_name clientRegion;
    // What the upstream receives: the path below the class, and no header of the system or of the
    // connection.
    http_request message;

    bool operator==(const work_request &) const = default;
};

// Reads a request whose path starts with /v1/work/. Throws `error` with request_malformed that
// names the faulty part.
[[nodiscard]] work_request parseWorkRequest(const http_request &request);

// Hexadecimal xxhash64 over method, path, query and body, so that one key cannot stand for two
// different requests.
[[nodiscard]] body_hash hashOf(const work_request &request);

// What a client is told. `code` is ok for an answer of an upstream; otherwise `answer` is empty,
// except for already_run, where it is the recorded answer.
struct work_answer
{
    result_code code = result_code::ok;
    request_key key;
    upstream_id upstream;
    http_answer answer;
    // More about a refusal than the code's advice, or empty.
    std::string detail;

    bool operator==(const work_answer &) const = default;
};

// The value of Kct-Outcome: "answered", "not_run", "already_run" or "outcome_unknown".
[[nodiscard]] std::string outcomeName(result_code code);

// The HTTP answer to the client. A refusal has a JSON body {"code", "name", "message"}.
[[nodiscard]] http_answer toHttpAnswer(const work_answer &answer, const host_id &entry);

// The request to an upstream. `timeLeft` is what remains to the deadline.
[[nodiscard]] http_request toUpstreamRequest(const work_request &request, const request_key &key,
                                             const attempt_id &attempt, milliseconds timeLeft);

// What the end of an exchange with an upstream means.
enum class upstream_verdict {
    ran,
    // The upstream's complete answer to this attempt says that it did not run it.
    shed,
    not_connected,
    // The answer is of another request or attempt, or does not say whether the request ran.
    mismatched,
    cut_short,
    too_large,
    timed_out,
    cancelled,
};

[[nodiscard]] upstream_verdict judge(const forward_result &result, const request_key &key,
                                     const attempt_id &attempt);

// The code for a client when an attempt ended with this verdict and is not tried again.
[[nodiscard]] result_code codeOf(upstream_verdict verdict);

// True when the verdict proves that the upstream did not run the request.
[[nodiscard]] bool provesNotRun(upstream_verdict verdict);

} // namespace kingcuptiller
