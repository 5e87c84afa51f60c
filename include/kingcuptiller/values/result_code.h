#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace kingcuptiller {

// What became of a request, a change or a start-up. Numbers are stable and never reused;
// docs/result-codes.md lists them all, and a test compares the two. A program that ends because of
// an error uses `exitStatus`.
enum class result_code {
    ok = 0,

    // 100-199: a client's request was not run and may be sent again.
    entry_without_lease = 100,
    entry_starting = 101,
    entry_leaving = 102,
    class_unknown = 103,
    deadline_unreachable = 104,
    no_upstream = 105,
    slots_exhausted = 106,
    shift_cap = 107,
    link_full = 108,
    class_limit = 109,
    queue_full = 110,
    upstream_shed = 111,
    claim_not_committed = 112,
    ledger_full = 113,
    retry_budget_spent = 114,
    upstream_refused_connection = 115,

    // 200-299: a client's request that must not simply be sent again.
    outcome_unknown = 200,
    already_run = 201,
    key_conflict = 202,
    key_expired = 203,
    issue_time_ahead = 204,
    request_in_progress = 205,
    answer_incomplete = 206,
    answer_mismatched = 207,
    answer_too_large = 208,
    upstream_timeout = 209,

    // 300-399: malformed input.
    request_malformed = 300,
    request_too_large = 301,
    key_missing = 302,
    announcement_malformed = 303,
    message_malformed = 304,
    message_too_large = 305,
    not_found = 306,
    settings_invalid = 307,
    command_line_invalid = 308,

    // 400-499: operators' changes.
    revision_conflict = 400,
    change_malformed = 401,
    stop_breaks_target = 402,
    stop_unknown = 403,
    class_in_use = 404,
    change_not_in_force = 405,
    change_outcome_unknown = 406,

    // 500-599: control and storage.
    not_leader = 500,
    no_quorum = 501,
    peer_unreachable = 502,
    data_folder_wrong_host = 503,
    data_folder_damaged = 504,
    data_folder_in_use = 505,
    data_folder_not_founding = 506,
    disk_failed = 507,
    identity_superseded = 508,
    announcement_superseded = 509,

    // 600-699: the process itself.
    restart_limit_reached = 600,
    port_unavailable = 601,
    internal_fault = 602,
};

// The enumerator's name, as it stands in messages, logs and docs/result-codes.md.
[[nodiscard]] std::string_view name(result_code code);

// One sentence for the receiver: what the code means and what to do.
[[nodiscard]] std::string_view advice(result_code code);

// All codes in ascending order.
[[nodiscard]] const std::vector<result_code> &allResultCodes();

// The inverse of `name`; throws `error` with `message_malformed` for an unknown name.
[[nodiscard]] result_code resultCodeFromName(std::string_view text);

// True when a refusal with this code says that the request was not run and may be sent again.
[[nodiscard]] bool isNotRun(result_code code);

// The exit status of a program that ends with `code`, from 0 to 255: 0 for `ok`, otherwise the
// hundreds digit times ten plus the last two digits capped to 9 (so 307 becomes 37).
[[nodiscard]] int exitStatus(result_code code);

} // namespace kingcuptiller
