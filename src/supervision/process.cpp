#include "kingcuptiller/supervision/process.h"

#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/values/result_code.h"

#include <csignal>
#include <ctime>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace kingcuptiller {

namespace {

// The thread of a component and the reason for which it ended.
class supervised_thread
{
public:
    explicit supervised_thread(std::function<void(std::stop_token)> body)
        : m_body(std::move(body))
    {
    }

    void start()
    {
        setFailure(std::nullopt);
        m_thread = std::jthread([this](const std::stop_token &stop) { run(stop); });
    }

    void stop() { m_thread = std::jthread(); }

    std::optional<std::string> failure() const
    {
        const std::lock_guard lock(m_mutex);
        return m_failure;
    }

private:
    void run(const std::stop_token &stop)
    {
        try {
            m_body(stop);
            if (!stop.stop_requested())
                setFailure("the thread ended");
        } catch (const std::exception &fault) {
            setFailure(fault.what());
        } catch (...) {
            setFailure("unknown exception");
        }
    }

    void setFailure(std::optional<std::string> reason)
    {
        const std::lock_guard lock(m_mutex);
        m_failure = std::move(reason);
    }

    std::function<void(std::stop_token)> m_body;
    mutable std::mutex m_mutex;
    std::optional<std::string> m_failure;
    std::jthread m_thread;
};

sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

// Waits for a termination signal for at most `limit`.
bool receivedSignal(milliseconds limit)
{
    const sigset_t signals = terminationSignals();
    const timespec wait{.tv_sec = limit.count() / 1000,
                        .tv_nsec = static_cast<long>(limit.count() % 1000) * 1'000'000};
    return sigtimedwait(&signals, nullptr, &wait) > 0;
}

} // namespace

component threadComponent(std::string name, std::function<void(std::stop_token)> body)
{
    auto thread = std::make_shared<supervised_thread>(std::move(body));
    return {
        .name = std::move(name),
        .start = [thread] { thread->start(); },
        .stop = [thread] { thread->stop(); },
        .failure = [thread](instant) { return thread->failure(); },
    };
}

void blockTerminationSignals()
{
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A peer that closes its connection must not end the process.
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
}

int supervise(supervisor &root, const process_options &options)
{
    root.start(options.now());
    std::optional<instant> signalled;
    while (!root.failure()) {
        if (receivedSignal(options.checkInterval) && !signalled) {
            signalled = options.now();
            options.terminationRequested();
        }
        if (signalled
            && (options.readyToStop() || options.now() >= *signalled + options.stopLimit)) {
            root.stop();
            return exitStatus(result_code::ok);
        }
        root.check(options.now());
    }
    log_line(log_level::error, "process", "ends").field("reason", *root.failure());
    return exitStatus(result_code::restart_limit_reached);
}

} // namespace kingcuptiller
