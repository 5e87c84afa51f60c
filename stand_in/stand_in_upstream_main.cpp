#include "kingcuptiller/telemetry/log.h"
#include "kingcuptiller/values/error.h"
#include "stand_in/stand_in_upstream.h"

#include <fmt/format.h>
#include <pplx/threadpool.h>

#include <csignal>
#include <exception>

using namespace kingcuptiller;

namespace {

int runUntilSignal(const stand_in::upstream_options &options)
{
    // Blocked before any thread starts, so that only sigwait below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Four threads are enough to receive; the requests run in the upstream's own threads.
    crossplat::threadpool::initialize_with_threads(4);

    stand_in::stand_in_upstream upstream(options);
    int received = 0;
    sigwait(&signals, &received);
    upstream.leave();
    const stand_in::upstream_tally tally = upstream.tally();
    log_line(log_level::info, "upstream", "left")
        .field("id", options.id.text())
        .field("ran", tally.ran)
        .field("shed", tally.shed)
        .field("whileLeaving", tally.whileLeaving)
        .field("lastWhileLeavingMs", static_cast<std::int64_t>(tally.lastWhileLeaving.count()));
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const stand_in::upstream_options options = stand_in::parseUpstreamOptions(argc, argv);
        if (!options.help.empty()) {
            fmt::print("{}", options.help);
            return 0;
        }
        return runUntilSignal(options);
    } catch (const error &fault) {
        fmt::print(stderr, "stand-in-upstream: {}\n", fault.what());
        return exitStatus(fault.code());
    } catch (const std::exception &fault) {
        fmt::print(stderr, "stand-in-upstream: {}\n", fault.what());
        return exitStatus(result_code::internal_fault);
    }
}
