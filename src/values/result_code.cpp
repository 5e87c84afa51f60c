#include "kingcuptiller/values/result_code.h"

#include "kingcuptiller/values/error.h"

#include <algorithm>
#include <array>

namespace kingcuptiller {

namespace {

struct code_entry
{
    result_code code;
    std::string_view name;
    std::string_view advice;
};

constexpr auto codeTable = std::to_array<code_entry>({
    {result_code::ok, "ok", "Nothing to do."},
    {result_code::entry_without_lease, "entry_without_lease",
     "The entry cannot vouch for its configuration; send the request to another entry."},
    {result_code::entry_starting, "entry_starting",
     "The entry has not yet received its configuration; send the request to another entry."},
    {result_code::entry_leaving, "entry_leaving",
     "The entry is stopping; look up the entries again and send the request to another one."},
    {result_code::class_unknown, "class_unknown",
     "No class of work has this name; check the path of the request."},
    {result_code::deadline_unreachable, "deadline_unreachable",
     "The request could not be answered before its deadline; send it again with more time."},
    {result_code::no_upstream, "no_upstream",
     "No upstream of this class is available; try again later."},
    {result_code::slots_exhausted, "slots_exhausted",
     "All slots that this entry may use are taken; try another entry or try again later."},
    {result_code::shift_cap, "shift_cap",
     "Serving the request in another region would exceed the traffic shift cap; try again in a "
     "second."},
    {result_code::link_full, "link_full",
     "The link to the serving region is fully used; try again later."},
    {result_code::class_limit, "class_limit",
     "The class of work uses its full part of this entry; try another entry or try again later."},
    {result_code::queue_full, "queue_full",
     "The queue of the class is full; try another entry or try again later."},
    {result_code::upstream_shed, "upstream_shed",
     "The upstream refused the request without running it; try again later."},
    {result_code::claim_not_committed, "claim_not_committed",
     "The request could not be registered in time and was not sent; send it again."},
    {result_code::ledger_full, "ledger_full",
     "The ledger of request keys is full; send the request again later."},
    {result_code::retry_budget_spent, "retry_budget_spent",
     "The upstream did not run the request and the retry budget is spent; try again later."},
    {result_code::upstream_refused_connection, "upstream_refused_connection",
     "The upstream accepted no connection and nothing was sent; send the request again."},
    {result_code::outcome_unknown, "outcome_unknown",
     "The request may have been run; do not send it as a new one, ask again with the same key."},
    {result_code::already_run, "already_run",
     "The request was run before; this is the recorded answer."},
    {result_code::key_conflict, "key_conflict",
     "The request key was used with another body; use a new key for a new request."},
    {result_code::key_expired, "key_expired",
     "The issue time is older than the retention; whether the request was run cannot be told."},
    {result_code::issue_time_ahead, "issue_time_ahead",
     "The issue time is in the future; correct the client's clock."},
    {result_code::request_in_progress, "request_in_progress",
     "The request is being run; ask again with the same key."},
    {result_code::answer_incomplete, "answer_incomplete",
     "The upstream's answer was cut short; the request may have been run."},
    {result_code::answer_mismatched, "answer_mismatched",
     "The upstream answered another request; this one may have been run."},
    {result_code::answer_too_large, "answer_too_large",
     "The upstream's answer exceeds the size limit; the request was run."},
    {result_code::upstream_timeout, "upstream_timeout",
     "The upstream did not answer before the deadline; the request may have been run."},
    {result_code::request_malformed, "request_malformed", "Correct the request; see the message."},
    {result_code::request_too_large, "request_too_large", "Send a smaller request."},
    {result_code::key_missing, "key_missing",
     "Non-idempotent work needs the headers Kct-Request-Key and Kct-Issue-Time."},
    {result_code::announcement_malformed, "announcement_malformed",
     "Correct the announcement; see the message."},
    {result_code::message_malformed, "message_malformed",
     "A message between processes could not be read; check that all hosts run one release."},
    {result_code::message_too_large, "message_too_large",
     "A message between processes exceeds its size limit."},
    {result_code::not_found, "not_found", "Nothing is served at this path."},
    {result_code::settings_invalid, "settings_invalid",
     "Correct the settings file at the named section and key."},
    {result_code::command_line_invalid, "command_line_invalid",
     "Correct the command line; --help shows the options."},
    {result_code::revision_conflict, "revision_conflict",
     "The configuration has changed since; look at the current revision and submit again."},
    {result_code::change_malformed, "change_malformed", "Correct the change; see the message."},
    {result_code::stop_breaks_target, "stop_breaks_target",
     "The remaining capacity would not keep the targets; choose another time or a smaller scope."},
    {result_code::stop_unknown, "stop_unknown", "No planned stop has this id."},
    {result_code::class_in_use, "class_in_use",
     "Upstreams still serve this class; stop them first."},
    {result_code::change_not_in_force, "change_not_in_force",
     "The change is committed but not yet in force everywhere; show the state to follow it."},
    {result_code::change_outcome_unknown, "change_outcome_unknown",
     "The change may have been committed; submit it again with the same change id."},
    {result_code::not_leader, "not_leader", "Send the call to the current leader."},
    {result_code::no_quorum, "no_quorum",
     "Too few control hosts are reachable; restore a majority."},
    {result_code::peer_unreachable, "peer_unreachable",
     "The host could not be reached in time; check it and the network."},
    {result_code::data_folder_wrong_host, "data_folder_wrong_host",
     "The data folder belongs to another host; correct the path or the host id."},
    {result_code::data_folder_damaged, "data_folder_damaged",
     "The data folder is damaged; the host rejoins as a learner."},
    {result_code::data_folder_in_use, "data_folder_in_use",
     "Another process uses the data folder; stop it first."},
    {result_code::data_folder_not_founding, "data_folder_not_founding",
     "The data folder is not empty; --init is only for a new fleet."},
    {result_code::disk_failed, "disk_failed", "The disk refused a write; replace it."},
    {result_code::identity_superseded, "identity_superseded",
     "A newer incarnation of this host has taken its place; remove the old data folder."},
    {result_code::announcement_superseded, "announcement_superseded",
     "A later start of this upstream, or of another one at its address, is registered; announce "
     "again if it still runs."},
    {result_code::restart_limit_reached, "restart_limit_reached",
     "A component failed too often; see the log for the cause."},
    {result_code::port_unavailable, "port_unavailable",
     "The listen address is in use or not on this host; correct the settings."},
    {result_code::internal_fault, "internal_fault", "Report this with the log."},
});

const code_entry &entryOf(result_code code)
{
    const auto found = std::find_if(codeTable.begin(), codeTable.end(),
                                    [code](const code_entry &entry) { return entry.code == code; });
    return found == codeTable.end() ? codeTable.back() : *found;
}

} // namespace

std::string_view name(result_code code)
{
    return entryOf(code).name;
}

std::string_view advice(result_code code)
{
    return entryOf(code).advice;
}

const std::vector<result_code> &allResultCodes()
{
    static const std::vector<result_code> codes = [] {
        std::vector<result_code> list;
        list.reserve(codeTable.size());
        for (const code_entry &entry : codeTable)
            list.push_back(entry.code);
        return list;
    }();
    return codes;
}

result_code resultCodeFromName(std::string_view text)
{
    const auto found = std::find_if(codeTable.begin(), codeTable.end(),
                                    [text](const code_entry &entry) { return entry.name == text; });
    if (found == codeTable.end())
        throw error(result_code::message_malformed,
                    "unknown result code '" + std::string(text) + "'");
    return found->code;
}

bool isNotRun(result_code code)
{
    const int number = static_cast<int>(code);
    return number >= 100 && number < 200;
}

int exitStatus(result_code code)
{
    const int number = static_cast<int>(code);
    return number / 100 * 10 + std::min(number % 100, 9);
}

} // namespace kingcuptiller
