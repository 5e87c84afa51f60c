#pragma once

#include "kingcuptiller/supervision/supervisor.h"

#include <functional>
#include <stop_token>
#include <string>

// The thin part of supervision that has threads and signals.

namespace kingcuptiller {

// A component that runs `body` in a thread of its own. The body returns soon after a stop is
// requested. It counts as failed when it throws, or returns without a stop request.
[[nodiscard]] component threadComponent(std::string name,
                                        std::function<void(std::stop_token)> body);

// Blocks SIGTERM and SIGINT in the calling thread and in those it starts later, and ignores
// SIGPIPE. The first thing a daemon's main does, so that only `supervise` receives them.
void blockTerminationSignals();

struct process_options
{
    std::function<instant()> now;
    // Called once, when SIGTERM or SIGINT arrives.
    std::function<void()> terminationRequested;
    // Checked again and again after that; when it returns true, the process stops.
    std::function<bool()> readyToStop;
    // The process stops this long after the signal even if it is not ready.
    milliseconds stopLimit{30'000};
    milliseconds checkInterval{50};
};

// Runs `root` in the calling thread until a signal asks for the end. Returns the exit status: 0, or
// that of restart_limit_reached when the root gave up. A daemon's main returns it.
[[nodiscard]] int supervise(supervisor &root, const process_options &options);

} // namespace kingcuptiller
