#include "entry_routes.h"

#include <json/json.h>

#include <fmt/format.h>

#include <string_view>

namespace kingcuptiller::internal {

namespace {

http_answer json(std::string body)
{
    return {
        .status = 200, .headers = {{"Content-Type", "application/json"}}, .body = std::move(body)};
}

http_answer plain(std::uint16_t status, std::string body)
{
    return {.status = status, .headers = {{"Content-Type", "text/plain"}}, .body = std::move(body)};
}

// The value of one query parameter as it was sent, or an empty text.
std::string_view parameter(std::string_view query, std::string_view wanted)
{
    while (!query.empty()) {
        const std::string_view item = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (equals != std::string_view::npos && item.substr(0, equals) == wanted)
            return item.substr(equals + 1);
    }
    return {};
}

std::string quoted(const std::string &text)
{
    return Json::valueToQuotedString(text.c_str());
}

void checkMethod(const http_request &request, std::string_view method)
{
    if (request.method != method)
        throw error(result_code::not_found, fmt::format("{} takes {} only", request.path, method));
}

} // namespace

entry_routes::entry_routes(entry_state &state, std::function<instant()> now,
                           std::function<wall_time()> wallNow)
    : m_state(state)
    , m_now(std::move(now))
    , m_wallNow(std::move(wallNow))
    , m_lookups(state.counters.get("kct_lookups_total"))
    , m_announcements(state.counters.get("kct_announcements_total"))
{
}

void entry_routes::handle(const http_request &request, const http_reply &reply)
{
    try {
        if (request.path.starts_with("/v1/work/"))
            work(request, reply);
        else if (request.path == "/v1/entries")
            reply(lookUp(request));
        else if (request.path == "/v1/announce")
            reply(announce(request));
        else if (request.path == "/v1/withdraw")
            reply(withdraw(request));
        else
            reply(operatorPage(request));
    } catch (const error &reason) {
        reply(refusal(reason));
    }
}

void entry_routes::work(const http_request &request, const http_reply &reply)
{
    m_state.coordinator->handle(
        parseWorkRequest(request), [this, reply](const work_answer &answer) {
            m_state.counters
                .get("kct_work_answers_total", {{"code", std::string(name(answer.code))}})
                .add();
            reply(toHttpAnswer(answer, m_state.identity.host));
        });
}

http_answer entry_routes::lookUp(const http_request &request)
{
    checkMethod(request, "GET");
    requireService();
    m_lookups.add();
    const auto snapshot = m_state.snapshot.load();
    const client_location place{.region =
                                    region_name(std::string(parameter(request.query, "region"))),
                                .zone = zone_name(std::string(parameter(request.query, "zone")))};
    std::string list;
    for (const entry_identity *each :
         snapshot->entries->answer(place, parameter(request.query, "client")))
        fmt::format_to(
            std::back_inserter(list), R"({}{{"host":{},"address":{},"region":{},"zone":{}}})",
            list.empty() ? "" : ",", quoted(each->host.text()), quoted(each->address.text()),
            quoted(each->region.text()), quoted(each->zone.text()));
    return json(
        fmt::format(R"({{"entries":[{}],"lifetimeMs":{}}})", list, m_state.lookupLifetime.count()));
}

http_answer entry_routes::announce(const http_request &request)
{
    checkMethod(request, "POST");
    const upstream_announcement announcement = parseAnnouncement(request.body);
    // Without a lease the announcement might reach control too late; the upstream tries another
    // entry.
    requireService();
    if (!m_state.announcements.announce(announcement))
        throw error(result_code::queue_full, "too many upstreams announce themselves here");
    m_announcements.add();
    return json("{}");
}

http_answer entry_routes::withdraw(const http_request &request)
{
    checkMethod(request, "POST");
    const upstream_id id = parseWithdrawal(request.body);
    requireService();
    if (!m_state.announcements.withdraw(id))
        throw error(result_code::queue_full, "too many upstreams announce themselves here");
    return json("{}");
}

http_answer entry_routes::operatorPage(const http_request &request)
{
    if (request.path == "/metrics")
        return plain(200, m_state.counters.text());
    if (request.path == "/report")
        return burnReport(request);
    if (request.path == "/healthz")
        return plain(200, "ok\n");
    if (request.path == "/readyz") {
        requireService();
        return plain(200, "ok\n");
    }
    throw error(result_code::not_found, std::string(advice(result_code::not_found)));
}

http_answer entry_routes::burnReport(const http_request &request) const
{
    const auto snapshot = m_state.snapshot.load();
    rendered_report report =
        m_state.burn.render(parameter(request.query, "format"), *snapshot->current, {},
                            m_state.identity.host, false, m_wallNow());
    return {.status = 200,
            .headers = {{"Content-Type", report.contentType}},
            .body = std::move(report.body)};
}

http_answer entry_routes::refusal(const error &reason)
{
    return toHttpAnswer(
        {.code = reason.code(), .key = {}, .upstream = {}, .answer = {}, .detail = reason.what()},
        m_state.identity.host);
}

void entry_routes::requireService() const
{
    const auto refused = m_state.snapshot.load()->refusal(m_now(), m_state.lookupLifetime);
    if (refused)
        throw error(*refused, std::string(advice(*refused)));
}

} // namespace kingcuptiller::internal
