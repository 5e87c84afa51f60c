#include "kingcuptiller/supervision/supervisor.h"

#include "kingcuptiller/telemetry/log.h"

#include <utility>

namespace kingcuptiller {

supervisor::supervisor(std::string name, const restart_policy &policy)
    : m_name(std::move(name))
    , m_policy(policy)
{
}

void supervisor::add(component part)
{
    m_components.push_back({.part = std::move(part), .budget = restart_budget(m_policy)});
}

void supervisor::start(instant now)
{
    m_failure.reset();
    for (supervised &each : m_components) {
        each.budget = restart_budget(m_policy);
        startOne(each, now);
        if (m_failure)
            return;
    }
}

void supervisor::check(instant now)
{
    for (supervised &each : m_components) {
        if (m_failure)
            return;
        if (!each.running) {
            if (now >= each.restartAt)
                startOne(each, now);
        } else if (const auto reason = each.part.failure(now)) {
            handleFailure(each, *reason, now);
        }
    }
}

void supervisor::stop()
{
    for (auto each = m_components.rbegin(); each != m_components.rend(); ++each) {
        if (each->running)
            each->part.stop();
        each->running = false;
    }
}

void supervisor::startOne(supervised &each, instant now)
{
    each.running = true;
    try {
        each.part.start();
    } catch (const std::exception &fault) {
        handleFailure(each, fault.what(), now);
    }
}

void supervisor::handleFailure(supervised &each, const std::string &reason, instant now)
{
    each.part.stop();
    each.running = false;
    const auto delay = each.budget.failed(now);
    log_line line(delay ? log_level::warning : log_level::error, m_name,
                  delay ? "component_restarts" : "restart_limit_reached");
    line.field("failed", each.part.name).field("reason", reason);
    if (delay) {
        each.restartAt = now + *delay;
        line.field("delayMs", static_cast<std::int64_t>(delay->count()));
        return;
    }
    m_failure = each.part.name + " failed too often, at last: " + reason;
    stop();
}

component supervisor::asComponent(const std::shared_ptr<supervisor> &child,
                                  std::function<instant()> now)
{
    const std::string name = child->m_name;
    return {
        .name = name,
        .start = [child, now = std::move(now)] { child->start(now()); },
        .stop = [child] { child->stop(); },
        .failure = [child](instant time) -> std::optional<std::string> {
            child->check(time);
            return child->failure();
        },
    };
}

} // namespace kingcuptiller
