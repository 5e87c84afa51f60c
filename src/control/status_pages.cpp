#include "kingcuptiller/control/status_pages.h"

#include "kingcuptiller/protocol/codec.h"

namespace kingcuptiller {

namespace {

http_answer makeAnswer(std::uint16_t status, const std::string &type, std::string body)
{
    return {status, {{"Content-Type", type}}, std::move(body)};
}

http_answer makeText(std::uint16_t status, const std::string &body)
{
    return makeAnswer(status, "text/plain; charset=utf-8", body + "\n");
}

} // namespace

status_pages::status_pages(control_loop &loop, const counter_registry &counters, host_id host)
    : m_loop(loop)
    , m_counters(counters)
    , m_host(std::move(host))
{
}

void status_pages::handle(const http_request &request, const http_reply &answer) const
{
    if (request.method != "GET" && request.method != "HEAD")
        return answer(makeText(405, "Use GET."));
    if (request.path == "/metrics")
        return answer(makeAnswer(200, "text/plain; version=0.0.4", m_counters.text()));
    if (request.path == "/healthz")
        return m_loop.isAlive() ? answer(makeText(200, "ok"))
                                : answer(makeText(503, "The control thread does not work."));
    if (request.path == "/readyz")
        return m_loop.isReady()
            ? answer(makeText(200, "ready"))
            : answer(makeText(503, "This host knows no leader or is not caught up yet."));
    if (request.path == "/report")
        return answerReport(request, answer);
    answer(makeText(404, "There are /metrics, /healthz, /readyz and /report."));
}

void status_pages::answerReport(const http_request &request, const http_reply &answer) const
{
    const bool json = request.query == "format=json";
    const std::string leader = m_loop.status()->leader.text();
    const bool queued =
        m_loop.post([json, leader, answer, host = m_host](control_core &core, lease_moment moment) {
            try {
                const burn_report report = core.burn(host, moment);
                answer(json ? makeAnswer(200, "application/json", writeJson(reportToJson(report)))
                            : makeAnswer(200, "text/html; charset=utf-8", toHtml(report)));
            } catch (const error &) {
                answer(makeText(503,
                                "Only the leader has the report. The leader is "
                                    + (leader.empty() ? "not known." : leader + ".")));
            }
        });
    if (!queued)
        answer(makeText(503, "This host is overloaded."));
}

} // namespace kingcuptiller
