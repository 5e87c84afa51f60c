#include "kingcuptiller/steering/entry_dispatcher.h"

#include "dispatcher_core.h"

#include <utility>

namespace kingcuptiller {

entry_dispatcher::entry_dispatcher(dispatcher_settings settings)
    : m_core(std::make_unique<internal::dispatcher_core>(std::move(settings)))
{
}

entry_dispatcher::~entry_dispatcher() = default;
entry_dispatcher::entry_dispatcher(entry_dispatcher &&) noexcept = default;
entry_dispatcher &entry_dispatcher::operator=(entry_dispatcher &&) noexcept = default;

void entry_dispatcher::applyConfiguration(const configuration &current, instant)
{
    m_core->applyConfiguration(current);
}

void entry_dispatcher::applyAssignments(const std::vector<upstream_assignment> &assignments,
                                        instant now)
{
    m_core->applyAssignments(assignments, now);
}

void entry_dispatcher::applyLoads(const std::vector<upstream_load> &loads, instant now)
{
    m_core->applyLoads(loads, now);
}

void entry_dispatcher::applyFlows(const std::vector<region_flow> &flows)
{
    m_core->applyFlows(flows);
}

void entry_dispatcher::setEntriesInRegion(std::size_t count)
{
    m_core->setEntriesInRegion(count);
}

decision entry_dispatcher::submit(const request_attributes &request, instant now)
{
    return m_core->submit(request, now);
}

void entry_dispatcher::attemptFinished(const attempt_report &report, instant now)
{
    m_core->attemptFinished(report, now);
}

decision entry_dispatcher::retry(ticket_id ticket, instant now)
{
    return m_core->retry(ticket, now);
}

decision entry_dispatcher::hedge(ticket_id ticket, instant now)
{
    return m_core->hedge(ticket, now);
}

microseconds entry_dispatcher::hedgeDelay(const class_name &workClass) const
{
    return m_core->hedgeDelay(workClass);
}

void entry_dispatcher::abandon(ticket_id ticket, instant now)
{
    m_core->abandon(ticket, now);
}

std::vector<ready_ticket> entry_dispatcher::takeReady(instant now)
{
    return m_core->takeReady(now);
}

std::vector<upstream_usage> entry_dispatcher::usage() const
{
    return m_core->usage();
}

std::vector<class_demand> entry_dispatcher::demand(instant now)
{
    return m_core->demand(now);
}

std::vector<region_flow> entry_dispatcher::flows(instant now)
{
    return m_core->flows(now);
}

std::size_t entry_dispatcher::queued() const
{
    return m_core->queued();
}

} // namespace kingcuptiller
