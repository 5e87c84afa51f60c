#pragma once

#include "kingcuptiller/control/control_loop.h"
#include "kingcuptiller/telemetry/counters.h"
#include "kingcuptiller/transport/http_server.h"

namespace kingcuptiller {

// Answers the HTTP requests to a control host: /metrics, /healthz (the control thread works),
// /readyz (it knows a leader and holds what the leader has committed) and /report, the burn report
// of the whole fleet, as a page or, with ?format=json, as JSON. Only the leader has that report;
// other hosts refuse it with status 503 and say who leads. No call blocks.
class status_pages
{
public:
    status_pages(control_loop &loop, const counter_registry &counters, host_id host);

    void handle(const http_request &request, const http_reply &answer) const;

private:
    void answerReport(const http_request &request, const http_reply &answer) const;

    control_loop &m_loop;
    const counter_registry &m_counters;
    host_id m_host;
};

} // namespace kingcuptiller
