// An upstream starts again under the id that it had, and is told to leave before its first
// heartbeat has arrived. Its leaving is acknowledged; then the heartbeat arrives, seconds late.

#include "../kit-3.h"

using namespace review;

namespace {

constexpr int drainMs = 2'500;
constexpr milliseconds heartbeatDelay{2'000};
constexpr milliseconds lifeBeforeLeaving{800};
constexpr milliseconds watchTime{9'000};

// Sends a heartbeat over a link with a delay. Its sender gives up after a second; that arrives a
// second after the heartbeat.
void sendLate(record_file &record, const endpoint &control, const std::string &id,
              const std::string &body, milliseconds delay)
{
    pauseFor(delay);
    connection link;
    if (!link.open(control, milliseconds(1'000)))
        return;
    link.send("PUT /v1/instances/" + id + " HTTP/1.1\r\nHost: control\r\nContent-Length: "
              + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto answer = readMessage(link);
    record.line("the heartbeat of " + id + " arrived, answer "
                + (answer ? "'" + answer->firstLine + "'" : "none"));
}

int script(record_file &record)
{
    platform fleet(record, 3, 2, 260);
    const auto controls = fleet.controls();
    if (!order(record, controls, "PUT", "/v1/config",
               manifest(1, 0, {{"reads", "/reads/", "safe", "archive"}})))
        return not_run;
    upstream &stays =
        *new upstream(record, "archive-1", "archive", fleet.address(0, 201), fleet.zone(0));
    if (!stays.announce(controls) || !fleet.waitUntilReady(milliseconds(10'000)))
        return not_run;

    // The first lifetime registers and leaves.
    upstream &returns =
        *new upstream(record, "archive-2", "archive", fleet.address(0, 202), fleet.zone(0));
    const std::string path = "/v1/instances/" + returns.id();
    const std::int64_t born = 1'800'000'000'000;
    if (!order(record, controls, "PUT", path, returns.heartbeat(1, born))
        || !order(record, controls, "DELETE", path))
        return not_run;
    pauseFor(milliseconds(4'000));

    // The second lifetime: its first heartbeat is under way when it is told to leave.
    std::atomic<bool> ends = false;
    std::atomic<int> sent = 0;
    std::vector<std::thread> clients;
    clients.reserve(2);
    for (int number = 0; number < 2; ++number) {
        clients.emplace_back([&, number] {
            for (int i = 0; !ends; ++i) {
                connection link;
                if (!link.open(fleet.traffic(fleet.entry(number)), milliseconds(1'000)))
                    continue;
                link.send(requestHead("GET", "/reads/1",
                                      "read-" + std::to_string(number) + "-" + std::to_string(i),
                                      2'000)
                          + "\r\n");
                readMessage(link);
                ++sent;
                pauseFor(milliseconds(25));
            }
        });
    }
    const std::string heartbeat = returns.heartbeat(1, born + 60'000);
    const milliseconds delay = withTrouble() ? heartbeatDelay : milliseconds(0);
    std::thread late([&] { sendLate(record, controls.at(0), returns.id(), heartbeat, delay); });
    pauseFor(lifeBeforeLeaving);
    const bool left = order(record, controls, "DELETE", path);
    const std::int64_t acknowledgedAt = record.now();
    late.join();
    pauseFor(watchTime - delay);
    ends = true;
    for (std::thread &each : clients)
        each.join();
    int tooLate = 0;
    std::int64_t last = 0;
    for (const upstream::run &each : returns.runs()) {
        tooLate += each.atMs > acknowledgedAt + drainMs ? 1 : 0;
        last = std::max(last, each.atMs);
    }
    record.line("look-ups sent: " + std::to_string(sent) + "; run by " + returns.id()
                + " later than " + std::to_string(drainMs)
                + " ms after its leaving was acknowledged: " + std::to_string(tooLate)
                + (tooLate > 0
                       ? ", the last one after " + std::to_string(last - acknowledgedAt) + " ms"
                       : std::string()));
    if (!left)
        return not_run;
    return tooLate > 0 ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    return play(argc, argv, script);
}
