// Another writer sends one heartbeat that cannot be read to each control host, with a body of some
// megabytes. The platform ends a process that uses more memory than its settings say, and starts it
// again. Three rounds.

#include "kit-3.h"

using namespace review;

namespace {

constexpr int rounds = 3;
constexpr std::size_t bodyBytes = 10'000'000;
constexpr std::size_t calmBodyBytes = 1'000;

// A list of numbers without its end.
std::string unreadableHeartbeat(std::size_t bytes)
{
    std::string body = R"({"address":"127.0.0.1:9","info":{"service":"archive","slots":[)";
    while (body.size() < bytes)
        body += "1,";
    return body;
}

struct control_result
{
    std::atomic<int> kills = 0;
    std::atomic<int> mostMb = 0;
};

// Plays the platform for one control host.
void watchMemory(record_file &record, platform &fleet, platform::host &control,
                 control_result &result, const std::atomic<bool> &ends)
{
    while (!ends) {
        const int now = platform::memoryMb(control);
        result.mostMb = std::max<int>(result.mostMb, now);
        if (now > control.memoryMb) {
            record.line("platform: " + control.name + " uses " + std::to_string(now) + " MiB of "
                        + std::to_string(control.memoryMb) + " and is killed");
            platform::end(control, SIGKILL);
            ++result.kills;
            pauseFor(milliseconds(500));
            fleet.start(control);
        }
        pauseFor(milliseconds(5));
    }
}

int script(record_file &record)
{
    platform fleet(record, 3, 1, 260);
    const auto controls = fleet.controls();
    const std::vector<route> routes = {{"reads", "/reads/", "safe", "archive"}};
    if (!order(record, controls, "PUT", "/v1/config", manifest(1, 0, routes)))
        return not_run;
    upstream &archive =
        *new upstream(record, "archive-1", "archive", fleet.address(0, 201), fleet.zone(0));
    if (!archive.announce(controls) || !fleet.waitUntilReady(milliseconds(10'000)))
        return not_run;
    std::atomic<bool> ends = false;
    std::vector<control_result> results(controls.size());
    std::vector<std::thread> watches;
    for (std::size_t i = 0; i < controls.size(); ++i)
        watches.emplace_back(
            [&, i] { watchMemory(record, fleet, fleet.hosts.at(i), results.at(i), ends); });
    const std::string heartbeat = unreadableHeartbeat(withTrouble() ? bodyBytes : calmBodyBytes);
    int version = 1;
    int unacknowledged = 0;
    for (int round = 1; round <= rounds; ++round) {
        std::vector<std::thread> writers;
        for (const endpoint &control : controls) {
            writers.emplace_back([&, control] {
                const auto answer = call(control, "PUT", "/v1/instances/elsewhere-1", heartbeat,
                                         milliseconds(5'000));
                record.line("heartbeat of " + std::to_string(heartbeat.size()) + " bytes to "
                            + control.text() + ": "
                            + (answer ? "'" + answer->firstLine + "'" : "no answer"));
            });
        }
        for (std::thread &each : writers)
            each.join();
        pauseFor(milliseconds(4'000));
        // The operator's next change.
        const bool isAcknowledged =
            order(record, controls, "PUT", "/v1/config", manifest(version + 1, version, routes));
        unacknowledged += isAcknowledged ? 0 : 1;
        version += isAcknowledged ? 1 : 0;
    }
    ends = true;
    for (std::thread &each : watches)
        each.join();
    int ended = 0;
    for (std::size_t i = 0; i < results.size(); ++i) {
        const control_result &each = results.at(i);
        record.line(fleet.hosts.at(i).name + ": most memory " + std::to_string(each.mostMb)
                    + " MiB, killed " + std::to_string(each.kills) + " times");
        ended += each.kills >= 3 ? 1 : 0;
    }
    record.line("control hosts that ended three times: " + std::to_string(ended) + " of "
                + std::to_string(results.size())
                + "; changes without an ack: " + std::to_string(unacknowledged));
    if (!withTrouble() && unacknowledged > 0)
        return not_run;
    return ended * 2 >= static_cast<int>(results.size()) ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    return play(argc, argv, script);
}
