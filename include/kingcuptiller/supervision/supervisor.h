#pragma once

#include "kingcuptiller/supervision/restart_budget.h"
#include "kingcuptiller/values/time.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuptiller {

// A part of a process that a supervisor starts, watches and restarts.
struct component
{
    // Short and stable; it appears in the log.
    std::string name;
    // Throws to report a failed start. Called again after `stop` for each restart.
    std::function<void()> start;
    // Ends the component and waits for its threads. Must not throw; also called after a failure.
    std::function<void()> stop;
    // Returns the reason of a failure, or nothing while the component works.
    std::function<std::optional<std::string>(instant now)> failure;
};

// Keeps a list of components running. A failed component is stopped and started again after the
// delay of its restart_budget; when its limit is reached, everything is stopped and the supervisor
// itself counts as failed. A supervisor is placed under another by `asComponent`, so a failure
// climbs the tree one level for each exhausted limit. The root is run by `supervise`
// (supervision/process.h), which ends the process.
//
//     supervisor root("entry", policy);
//     root.add({.name = "sync", .start = ..., .stop = ..., .failure = ...});
//     root.start(now);
//     root.check(now); // again and again
//
// One thread at a time uses a supervisor. It reads no clock.
class supervisor
{
public:
    supervisor(std::string name, const restart_policy &policy);

    // Before `start` only.
    void add(component part);

    // Starts the components in the order in which they were added. A component whose start fails
    // is handled like one that fails later.
    void start(instant now);

    // Looks after failures and restarts what is due.
    void check(instant now);

    // Stops the components in reverse order.
    void stop();

    // Why this supervisor gave up, or nothing while it works.
    [[nodiscard]] const std::optional<std::string> &failure() const { return m_failure; }

    // A component that runs `child`; restarting it starts all of the child's components afresh,
    // with full restart budgets. `now` gives the time of a start.
    [[nodiscard]] static component asComponent(const std::shared_ptr<supervisor> &child,
                                               std::function<instant()> now);

private:
    struct supervised
    {
        component part;
        restart_budget budget;
        bool running = false;
        instant restartAt{};
    };

    void startOne(supervised &each, instant now);
    void handleFailure(supervised &each, const std::string &reason, instant now);

    std::string m_name;
    restart_policy m_policy;
    std::vector<supervised> m_components;
    std::optional<std::string> m_failure;
};

} // namespace kingcuptiller
