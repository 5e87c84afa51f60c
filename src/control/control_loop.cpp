#include "kingcuptiller/control/control_loop.h"

#include "kingcuptiller/telemetry/log.h"

#include <chrono>

namespace kingcuptiller {

namespace {

// The replica wants its clock at least this often.
constexpr milliseconds tickInterval{10};
// A round that syncs to a slow disk takes some hundred milliseconds at most.
constexpr milliseconds longestRound{1000};

} // namespace

control_loop::control_loop(control_loop_options options, counter_registry &counters)
    : m_options(std::move(options))
    , m_rounds(counters.get("kct_control_rounds"))
    , m_applied(counters.get("kct_control_applied_commands"))
    , m_leading(counters.get("kct_control_leading"))
    , m_term(counters.get("kct_control_term"))
    , m_committed(counters.get("kct_control_committed_index"))
    , m_ledgerRecords(counters.get("kct_control_ledger_records"))
    , m_refusedTasks(counters.get("kct_control_refused_tasks"))
    , m_status(std::make_shared<const replica_status>())
{
}

control_loop::~control_loop() = default;

void control_loop::open()
{
    // The former store must let go of the folder's lock first.
    m_session = {};
    m_session.store = std::make_unique<replica_store>(m_options.openFolder(), m_options.store);
    m_session.core = std::make_unique<control_core>(
        m_options.control,
        control_hooks{[this](const std::string &text) { return propose(text); },
                      [this] { return m_session.log->hasLease(m_options.now()); }});
    m_session.log = std::make_unique<replica>(
        m_options.replicas,
        replica_hooks{[this] { return m_session.core->state().snapshot(); },
                      [this](const std::string &state) { m_session.core->restore(state); },
                      m_options.random},
        *m_session.store, m_options.now());
    // Only the first start of the process may make a founding folder.
    m_options.store.founding = false;
}

std::optional<log_place> control_loop::propose(const std::string &text)
{
    const auto index = m_session.log->propose(text, m_options.now());
    if (!index)
        return std::nullopt;
    return log_place{*index, m_session.log->status().term};
}

void control_loop::run(const std::stop_token &stop)
{
    if (!m_session.log)
        open();
    try {
        while (!stop.stop_requested()) {
            auto tasks = takeTasks(stop);
            round(tasks);
        }
        m_session.core->stopLeading();
    } catch (...) {
        m_leaseEnd.store(0);
        m_session.core->stopLeading();
        m_session = {};
        throw;
    }
    m_leaseEnd.store(0);
    m_session = {};
}

void control_loop::step()
{
    std::deque<task> tasks;
    {
        const std::lock_guard lock(m_mutex);
        tasks.swap(m_tasks);
    }
    round(tasks);
}

bool control_loop::enqueue(task work)
{
    const std::lock_guard lock(m_mutex);
    if (m_tasks.size() >= maximumQueue) {
        m_refusedTasks.add();
        return false;
    }
    m_tasks.push_back(std::move(work));
    m_wake.notify_one();
    return true;
}

std::deque<control_loop::task> control_loop::takeTasks(const std::stop_token &stop)
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, stop, tickInterval, [this] { return !m_tasks.empty(); });
    return std::exchange(m_tasks, {});
}

bool control_loop::post(const std::function<void(control_core &, lease_moment)> &action)
{
    return enqueue([this, action] { action(*m_session.core, readMoment()); });
}

void control_loop::receive(peer_message message)
{
    enqueue(
        [this, message = std::move(message)] { m_session.log->receive(message, m_options.now()); });
}

void control_loop::round(std::deque<task> &tasks)
{
    m_rounds.add();
    for (const auto &each : tasks)
        each();
    m_session.log->tick(m_options.now());
    m_session.core->tick(readMoment());
    for (const auto &each : m_session.log->takeOutgoing())
        m_options.send(each);
    applyCommitted();
    followLeadership();
    noteEvents();
    publish();
    if (m_session.log->status().superseded)
        abandonSuperseded();
}

void control_loop::applyCommitted()
{
    for (const auto &each : m_session.log->takeCommitted()) {
        m_session.core->apply({each.index, each.term}, each.command);
        m_applied.add();
    }
}

void control_loop::followLeadership()
{
    const auto status = m_session.log->status();
    auto &core = *m_session.core;
    if (core.isLeading()
        && (status.role != replica_role::leader || status.term != m_session.leadingTerm))
        core.stopLeading();
    // Everything that was committed before this term has been applied: `hasLease` implies it.
    if (!core.isLeading() && m_session.log->hasLease(m_options.now())) {
        m_session.leadingTerm = status.term;
        core.startLeading(readMoment());
    }
}

void control_loop::noteEvents()
{
    for (const auto &each : m_session.log->takeEvents())
        m_session.core->events().add(m_options.wall(), each.kind, each.detail);
}

void control_loop::publish()
{
    auto status = std::make_shared<const replica_status>(m_session.log->status());
    m_leading.set(status->role == replica_role::leader ? 1 : 0);
    m_term.set(status->term.number());
    m_committed.set(status->committed.number());
    m_ledgerRecords.set(m_session.core->state().ledger().size());
    m_leaseEnd.store(
        m_session.core->isLeading() ? m_session.log->leaseEnd().time_since_epoch().count() : 0);
    m_lastRound.store(m_options.now().time_since_epoch().count());
    const std::lock_guard lock(m_statusMutex);
    m_status = std::move(status);
}

void control_loop::abandonSuperseded()
{
    log_line(log_level::warning, "control", "identity_abandoned")
        .field("incarnation", m_session.store->identity().incarnation.text());
    m_session.core->stopLeading();
    m_session.log.reset();
    m_session.store->abandon();
    m_session = {};
    open();
}

lease_moment control_loop::readMoment() const
{
    return {m_options.now(), m_options.wall()};
}

std::shared_ptr<const replica_status> control_loop::status() const
{
    const std::lock_guard lock(m_statusMutex);
    return m_status;
}

bool control_loop::hasLease() const
{
    return m_options.now().time_since_epoch().count() < m_leaseEnd.load();
}

bool control_loop::isAlive() const
{
    const instant last{microseconds(m_lastRound.load())};
    return m_options.now() < last + longestRound;
}

bool control_loop::isReady() const
{
    const auto current = status();
    return isAlive() && current->voter && !current->leader.empty()
        && (current->role == replica_role::leader || current->committed == current->lastIndex);
}

} // namespace kingcuptiller
