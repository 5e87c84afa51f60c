#include "sync_loop.h"

#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/transport/control_calls.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <utility>

namespace kingcuptiller::internal {

namespace {

constexpr milliseconds syncInterval{200};
// Longer than a round trip between regions; short enough that a silent host leaves time to try the
// others before the lease of 2.5 s runs out.
constexpr milliseconds syncLimit{700};

entry_sync_request makeRequest(entry_state &state)
{
    const auto snapshot = state.snapshot.load();
    traffic_report traffic = state.coordinator->report();
    entry_sync_request request{.entry = state.identity,
                               .leaving = state.leaving.load(),
                               .appliedRevision = snapshot->revision,
                               .appliedAssignment = snapshot->assignment,
                               .usage = std::move(traffic.usage),
                               .demand = std::move(traffic.demand),
                               .flows = std::move(traffic.flows),
                               .service = std::move(traffic.service),
                               .announcements = {},
                               .withdrawals = {}};
    state.announcements.takeInto(request);
    return request;
}

std::set<endpoint_address> addressesOf(const std::vector<upstream_assignment> &assignments)
{
    std::set<endpoint_address> addresses;
    for (const upstream_assignment &each : assignments)
        addresses.insert(each.address);
    return addresses;
}

} // namespace

sync_loop::sync_loop(entry_state &state, control_link link, std::function<instant()> now,
                     std::function<wall_time()> wallNow)
    : m_state(state)
    , m_link(std::move(link))
    , m_now(std::move(now))
    , m_wallNow(std::move(wallNow))
    , m_syncs(state.counters.get("kct_syncs_total"))
    , m_failures(state.counters.get("kct_syncs_failed_total"))
    , m_stale(state.counters.get("kct_syncs_stale_total"))
{
}

void sync_loop::run(const std::stop_token &stop)
{
    std::mutex mutex;
    std::condition_variable_any wake;
    while (!stop.stop_requested()) {
        const auto nextAt = std::chrono::steady_clock::now() + syncInterval;
        syncOnce();
        std::unique_lock lock(mutex);
        wake.wait_until(lock, stop, nextAt, [] { return false; });
    }
}

void sync_loop::syncOnce()
{
    const entry_sync_request request = makeRequest(m_state);
    m_state.burn.update(m_state.identity.host.text(), request.service, m_wallNow());
    try {
        const auto answer = m_link.call(entrySyncMethod, toJson(request), syncLimit);
        apply(request, fromJson<entry_sync_response>(answer.result), answer.sentAt);
    } catch (const error &failure) {
        m_failures.add();
        m_state.announcements.putBack(request);
        log_line(log_level::debug, "entry", "sync_failed").field("reason", failure.what());
    }
    logState(m_now());
}

void sync_loop::apply(const entry_sync_request &request, const entry_sync_response &response,
                      instant sentAt)
{
    const auto former = m_state.snapshot.load();
    auto next = applySync(*former, response, sentAt, m_now());
    if (!next) {
        m_stale.add();
        m_state.announcements.putBack(request);
        log_line(log_level::warning, "entry", "stale_sync_answer")
            .field("epoch", response.epoch.number())
            .field("revision", response.revision.number());
        return;
    }
    m_syncs.add();
    m_state.counters.get("kct_applied_revision").set(next->revision.number());
    if (next->revision > former->revision) {
        m_state.burn.note({m_wallNow(), "configuration_applied",
                           "revision " + std::to_string(next->revision.number())});
        log_line(log_level::info, "entry", "configuration_applied")
            .field("revision", next->revision.number());
    }
    m_state.coordinator->apply(response, !former->synced);
    if (response.newAssignments)
        m_state.forwarder.keepOnly(addressesOf(*response.newAssignments));
    m_state.snapshot.store(std::make_shared<const entry_snapshot>(std::move(*next)));
}

// Logs each change between serving and refusing once.
void sync_loop::logState(instant now)
{
    const auto refusal = m_state.snapshot.load()->refusal(now, m_state.lookupLifetime);
    if (refusal == m_loggedRefusal)
        return;
    m_loggedRefusal = refusal;
    m_state.burn.note({m_wallNow(), refusal ? "refuses_work" : "serves_work",
                       refusal ? std::string(name(*refusal)) : ""});
    if (refusal)
        log_line(log_level::warning, "entry", "refuses_work").field("code", name(*refusal));
    else
        log_line(log_level::info, "entry", "serves_work");
}

} // namespace kingcuptiller::internal
