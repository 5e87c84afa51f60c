#include "kingcuptiller/entry/work_message.h"

#include "kingcuptiller/values/error.h"

#include "text_checks.h"

#include <json/json.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace kingcuptiller {

namespace {

constexpr std::string_view workPrefix = "/v1/work/";
constexpr std::size_t maximumKeyBytes = 64;
constexpr std::size_t maximumPathBytes = 4096;
constexpr std::uint64_t maximumDeadlineMs = 86'400'000;
// Wall time in milliseconds up to the year 33658; larger numbers would overflow microseconds.
constexpr std::uint64_t maximumWallMs = 1'000'000'000'000'000;

[[noreturn]] void refuse(const std::string &reason)
{
    throw error(result_code::request_malformed, reason);
}

// Headers that belong to one connection, or that each side of the entry sets itself.
bool isOwnedByConnection(std::string_view name)
{
    constexpr auto names = std::to_array<std::string_view>(
        {"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Authenticate",
         "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade"});
    const header_name_less less;
    return std::any_of(names.begin(), names.end(), [&](std::string_view each) {
        return !less(each, name) && !less(name, each);
    });
}

bool isOfTheSystem(std::string_view name)
{
    constexpr std::string_view prefix = "kct-";
    const header_name_less less;
    const std::string_view start = name.substr(0, prefix.size());
    return !less(start, prefix) && !less(prefix, start);
}

header_map endToEnd(const header_map &headers)
{
    header_map kept;
    for (const auto &[name, value] : headers) {
        if (!isOwnedByConnection(name) && !isOfTheSystem(name))
            kept.emplace(name, value);
    }
    return kept;
}

bool isKey(std::string_view text)
{
    return text.size() <= maximumKeyBytes && std::all_of(text.begin(), text.end(), [](char letter) {
               return letter > ' ' && letter <= '~';
           });
}

std::optional<std::uint64_t> numberHeader(const http_request &request, const char *name,
                                          std::uint64_t maximum)
{
    const auto found = request.headers.find(name);
    if (found == request.headers.end())
        return std::nullopt;
    const auto number = internal::toNumber(found->second, maximum);
    if (!number)
        refuse(std::string("the header ") + name + " must be a whole number of milliseconds");
    return number;
}

void readPath(const http_request &request, work_request &result)
{
    if (!request.path.starts_with(workPrefix)
        || request.path.size() + request.query.size() > maximumPathBytes)
        refuse("the path must be /v1/work/<class>/<path> and at most 4096 bytes long");
    const std::string rest = request.path.substr(workPrefix.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    if (!internal::isIdentifier(rest.substr(0, slash)))
        refuse("the class of work in the path must be 1 to 64 letters, digits, '.', '-' or '_'");
    result.workClass = class_name(rest.substr(0, slash));
    result.message.path = slash == rest.size() ? "/" : rest.substr(slash);
}

std::uint16_t statusOf(result_code code)
{
    switch (code) {
    case result_code::class_unknown:
    case result_code::not_found:
        return 404;
    case result_code::request_too_large:
        return 413;
    case result_code::request_malformed:
    case result_code::key_missing:
    case result_code::announcement_malformed:
        return 400;
    case result_code::key_conflict:
    case result_code::request_in_progress:
        return 409;
    case result_code::key_expired:
    case result_code::issue_time_ahead:
        return 422;
    case result_code::upstream_timeout:
        return 504;
    case result_code::outcome_unknown:
    case result_code::answer_incomplete:
    case result_code::answer_mismatched:
    case result_code::answer_too_large:
        return 502;
    default:
        return 503;
    }
}

std::string refusalBody(const work_answer &answer)
{
    return fmt::format(
        R"({{"code":{},"name":"{}","message":{}}})", static_cast<int>(answer.code),
        name(answer.code),
        Json::valueToQuotedString(
            (answer.detail.empty() ? std::string(advice(answer.code)) : answer.detail).c_str()));
}

} // namespace

work_request parseWorkRequest(const http_request &request)
{
    work_request result;
    if (request.method != "GET" && request.method != "POST")
        refuse("work is requested by GET or POST");
    readPath(request, result);
    const std::string key = headerValue(request.headers, "Kct-Request-Key");
    if (!isKey(key))
        refuse("Kct-Request-Key must be at most 64 printable ASCII characters without spaces");
    result.key = request_key(key);
    if (const auto issued = numberHeader(request, "Kct-Issue-Time", maximumWallMs))
        result.issueTime = fromUnixMilliseconds(static_cast<std::int64_t>(*issued));
    if (const auto deadline = numberHeader(request, "Kct-Deadline-Ms", maximumDeadlineMs))
        result.deadline = milliseconds(*deadline);
    const std::string region = headerValue(request.headers, "Kct-Client-Region");
    if (!region.empty() && !internal::isIdentifier(region))
        refuse("Kct-Client-Region must be 1 to 64 letters, digits, '.', '-' or '_'");
    result.clientRegion = region_name(region);
    result.message.method = request.method;
    result.message.query = request.query;
    result.message.headers = endToEnd(request.headers);
    result.message.body = request.body;
    return result;
}

body_hash hashOf(const work_request &request)
{
    // Lengths are part of the text, so that no part can end in the next one.
    const http_request &message = request.message;
    const std::string head = fmt::format("{} {}:{} {}:{}\n", message.method, message.path.size(),
                                         message.path, message.query.size(), message.query);
    const XXH64_hash_t seed = XXH64(head.data(), head.size(), 0);
    return body_hash(fmt::format("{:016x}", XXH64(message.body.data(), message.body.size(), seed)));
}

std::string outcomeName(result_code code)
{
    const int number = static_cast<int>(code);
    if (code == result_code::ok)
        return "answered";
    if (code == result_code::already_run)
        return "already_run";
    // Malformed input was not run either.
    return isNotRun(code) || (number >= 300 && number < 400) ? "not_run" : "outcome_unknown";
}

http_answer toHttpAnswer(const work_answer &answer, const host_id &entry)
{
    http_answer result;
    if (answer.code == result_code::ok || answer.code == result_code::already_run) {
        result.status = answer.answer.status;
        result.headers = endToEnd(answer.answer.headers);
        result.body = answer.answer.body;
    } else {
        result.status = statusOf(answer.code);
        result.headers["Content-Type"] = "application/json";
        result.body = refusalBody(answer);
    }
    if (!answer.key.empty())
        result.headers["Kct-Request-Key"] = answer.key.text();
    result.headers["Kct-Outcome"] = outcomeName(answer.code);
    result.headers["Kct-Result-Code"] = std::to_string(static_cast<int>(answer.code));
    result.headers["Kct-Entry"] = entry.text();
    if (!answer.upstream.empty())
        result.headers["Kct-Upstream"] = answer.upstream.text();
    return result;
}

http_request toUpstreamRequest(const work_request &request, const request_key &key,
                               const attempt_id &attempt, milliseconds timeLeft)
{
    http_request message = request.message;
    message.headers["Kct-Request-Key"] = key.text();
    message.headers["Kct-Attempt"] = attempt.text();
    message.headers["Kct-Deadline-Ms"] = std::to_string(timeLeft.count());
    if (!request.clientRegion.empty())
        message.headers["Kct-Client-Region"] = request.clientRegion.text();
    if (request.issueTime)
        message.headers["Kct-Issue-Time"] = std::to_string(toUnixMilliseconds(*request.issueTime));
    return message;
}

upstream_verdict judge(const forward_result &result, const request_key &key,
                       const attempt_id &attempt)
{
    switch (result.outcome) {
    case forward_outcome::not_connected:
        return upstream_verdict::not_connected;
    case forward_outcome::cut_short:
        return upstream_verdict::cut_short;
    case forward_outcome::timed_out:
        return upstream_verdict::timed_out;
    case forward_outcome::too_large:
        return upstream_verdict::too_large;
    case forward_outcome::cancelled:
        return upstream_verdict::cancelled;
    case forward_outcome::complete:
        break;
    }
    const header_map &headers = result.answer.headers;
    if (headerValue(headers, "Kct-Request-Key") != key.text()
        || headerValue(headers, "Kct-Attempt") != attempt.text())
        return upstream_verdict::mismatched;
    const std::string said = headerValue(headers, "Kct-Upstream-Result");
    if (said == "ran")
        return upstream_verdict::ran;
    return said == "shed" ? upstream_verdict::shed : upstream_verdict::mismatched;
}

result_code codeOf(upstream_verdict verdict)
{
    switch (verdict) {
    case upstream_verdict::ran:
        return result_code::ok;
    case upstream_verdict::shed:
        return result_code::upstream_shed;
    case upstream_verdict::not_connected:
        return result_code::upstream_refused_connection;
    case upstream_verdict::mismatched:
        return result_code::answer_mismatched;
    case upstream_verdict::cut_short:
        return result_code::answer_incomplete;
    case upstream_verdict::too_large:
        return result_code::answer_too_large;
    case upstream_verdict::timed_out:
        return result_code::upstream_timeout;
    case upstream_verdict::cancelled:
        return result_code::outcome_unknown;
    }
    return result_code::outcome_unknown;
}

bool provesNotRun(upstream_verdict verdict)
{
    return verdict == upstream_verdict::shed || verdict == upstream_verdict::not_connected;
}

} // namespace kingcuptiller
