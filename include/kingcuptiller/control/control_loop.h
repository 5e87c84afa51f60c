#pragma once

#include "kingcuptiller/consensus/replica.h"
#include "kingcuptiller/control/control_core.h"
#include "kingcuptiller/telemetry/counters.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <stop_token>
#include <string>
#include <vector>

namespace kingcuptiller {

struct control_loop_options
{
    replica_settings replicas;
    control_options control;
    // Makes the files of the data folder accessible; called at each start of the replica.
    std::function<disk()> openFolder;
    store_options store;
    // Reads the clocks.
    std::function<instant()> now;
    std::function<wall_time()> wall;
    std::function<std::uint64_t()> random;
    // Hands a message to the sender of its receiver. Must not block.
    std::function<void(const peer_message &)> send;
};

// The control thread: the only one that touches the replica and the control state.
//
// Other threads queue work with `receive` and `call`. The thread takes in everything that waits,
// then syncs the log once and sends one round of messages for all of it (group commit), then
// applies what was committed. After an exception the owner calls `run` again, which opens the data
// folder anew; calls that were waiting are answered as by a host that lost its leadership.
class control_loop
{
public:
    // Queued messages and calls beyond this are refused: the thread is far behind.
    static constexpr std::size_t maximumQueue = 20'000;

    control_loop(control_loop_options options, counter_registry &counters);
    ~control_loop();

    // Opens the data folder, so that a folder that cannot be used is reported before anything
    // starts. Throws `error` like `replica_store`. `run` does it when it was not done.
    void open();

    // The thread's body. Returns when a stop is requested; throws `error` with `disk_failed`.
    void run(const std::stop_token &stop);

    // One round of the thread's work without waiting, for tests that drive several loops in one
    // thread. Needs `open`.
    void step();

    // From any thread.
    void receive(peer_message message);

    // Runs `action` in the control thread and returns the value that it gives to its reply. Throws
    // the error that it replies or throws, and `no_quorum` after `limit`. From any thread but the
    // control thread.
    template <typename Value>
    Value
    call(const std::function<void(control_core &, lease_moment, const reply<Value> &)> &action,
         milliseconds limit);

    // Runs `action` in the control thread without waiting for it; false when the queue is full.
    // `action` must not throw.
    bool post(const std::function<void(control_core &, lease_moment)> &action);

    // As of the end of the last round; safe to call from any thread.
    [[nodiscard]] std::shared_ptr<const replica_status> status() const;
    // Whether this host's leader lease lasts now, read from the clock.
    [[nodiscard]] bool hasLease() const;
    // Whether the control thread ended a round within the last second.
    [[nodiscard]] bool isAlive() const;
    // Whether this host knows a leader and holds what the leader has committed.
    [[nodiscard]] bool isReady() const;

private:
    using task = std::function<void()>;

    // Everything that is rebuilt when the data folder is opened again.
    struct session
    {
        std::unique_ptr<replica_store> store;
        std::unique_ptr<replica> log;
        std::unique_ptr<control_core> core;
        epoch_number leadingTerm;
    };

    bool enqueue(task work);
    std::deque<task> takeTasks(const std::stop_token &stop);
    void reopen();
    void abandonSuperseded();
    void round(std::deque<task> &tasks);
    void applyCommitted();
    void followLeadership();
    void noteEvents();
    void publish();
    [[nodiscard]] lease_moment readMoment() const;
    std::optional<log_place> propose(const std::string &text);

    control_loop_options m_options;
    counter &m_rounds;
    counter &m_applied;
    counter &m_leading;
    counter &m_term;
    counter &m_committed;
    counter &m_ledgerRecords;
    counter &m_refusedTasks;
    session m_session;

    std::mutex m_mutex;
    std::condition_variable_any m_wake;
    std::deque<task> m_tasks;

    mutable std::mutex m_statusMutex;
    std::shared_ptr<const replica_status> m_status;
    std::atomic<std::int64_t> m_leaseEnd{0};
    std::atomic<std::int64_t> m_lastRound{0};
};

template <typename Value>
Value control_loop::call(
    const std::function<void(control_core &, lease_moment, const reply<Value> &)> &action,
    milliseconds limit)
{
    struct mailbox
    {
        std::mutex mutex;
        std::condition_variable filled;
        std::optional<std::variant<Value, error>> answer;
    };
    const auto box = std::make_shared<mailbox>();
    const reply<Value> done = [box](const std::variant<Value, error> &answer) {
        const std::lock_guard lock(box->mutex);
        if (!box->answer)
            box->answer = answer;
        box->filled.notify_one();
    };
    const bool queued = enqueue([this, action, done] {
        try {
            action(*m_session.core, readMoment(), done);
        } catch (const error &failure) {
            done(failure);
        }
    });
    std::unique_lock lock(box->mutex);
    if (!queued || !box->filled.wait_for(lock, limit, [&box] { return box->answer.has_value(); }))
        throw error(result_code::no_quorum, "the control host could not answer in time");
    if (const auto *failure = std::get_if<error>(&*box->answer))
        throw *failure;
    return std::get<Value>(std::move(*box->answer));
}

} // namespace kingcuptiller
