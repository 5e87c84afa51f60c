#pragma once

#include "kingcuptiller/relay/traffic_server.h"
#include "kingcuptiller/telemetry/counters.h"

namespace kingcuptiller {

// Answers GET /metrics with all counters of the process as text, and anything else with 404.
// `counters` must outlive the handler.
[[nodiscard]] request_handler metricsHandler(const counter_registry &counters);

} // namespace kingcuptiller
