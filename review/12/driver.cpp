// A client reads a large response slowly. Some seconds later the entry gets SIGTERM while an
// upstream is at work on look-ups that end well before the end of the grace time. Timeouts, time
// limits, work and sizes are those of the customers' sheets.

#include "../kit-3.h"

using namespace review;

namespace {

constexpr int graceMs = 6'000;
constexpr int timeoutMs = 6'000;
constexpr int timeLimitMs = 10'000;
constexpr int lookups = 4;
constexpr milliseconds lookupWork{4'800};
constexpr std::size_t largeBytes = 540'000;
constexpr milliseconds readingPause{2'000};

// Gets a large response. A slow reader begins to read it only after a pause.
bool download(record_file &record, const endpoint &entry, bool isSlow)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // A small window, and segments as on a network: those of loopback have 64 KiB each, and a
    // kernel that sends such ones takes the whole response from the entry at once.
    const int bufferBytes = 16'384;
    const int segmentBytes = 1'460;
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
    ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
    const sockaddr_in address = socketAddress(entry);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        return false;
    connection link(socket);
    link.setLimit(milliseconds(6'000));
    link.send(requestHead("GET", "/sheets/1", "download-1", timeLimitMs) + "\r\n");
    if (isSlow)
        pauseFor(readingPause);
    const auto answer = readMessage(link);
    record.line(
        "download-1 got "
        + (answer ? "'" + answer->firstLine + "', " + std::to_string(answer->bodyBytes) + " bytes"
                  : std::string("no answer")));
    return answer && answer->status() == 200 && answer->isComplete;
}

int script(record_file &record)
{
    platform fleet(record, 3, 2, 112);
    const auto controls = fleet.controls();
    if (!order(record, controls, "PUT", "/v1/config",
               manifest(1, 0,
                        {{"archive-lookup", "/archive/", "safe", "archives", timeoutMs},
                         {"route-sheet", "/sheets/", "download", "sheets", timeoutMs}})))
        return not_run;
    upstream &archives = *new upstream(record, "archives-1", "archives", fleet.address(0, 201),
                                       fleet.zone(0), lookupWork);
    upstream &sheets = *new upstream(record, "sheets-1", "sheets", fleet.address(0, 202),
                                     fleet.zone(0), milliseconds(10), largeBytes);
    if (!archives.announce(controls) || !sheets.announce(controls)
        || !fleet.waitUntilReady(milliseconds(10'000)))
        return not_run;
    pauseFor(milliseconds(1'000));
    platform::host &leaving = fleet.entry(0);
    const endpoint entry = fleet.traffic(leaving);
    if (!download(record, entry, withTrouble()))
        return not_run;
    pauseFor(milliseconds(3'000));

    std::atomic<std::int64_t> stoppedAt = 0;
    std::atomic<int> answered = 0;
    std::atomic<int> brokenOff = 0;
    std::vector<std::thread> clients;
    clients.reserve(lookups);
    for (int i = 1; i <= lookups; ++i) {
        clients.emplace_back([&, id = "look-up-" + std::to_string(i)] {
            connection link;
            link.open(entry, milliseconds(9'000));
            link.send(requestHead("GET", "/archive/1", id, timeLimitMs) + "\r\n");
            const std::int64_t sentAt = record.now();
            const auto answer = readMessage(link);
            const std::int64_t endedAt = record.now();
            record.line(id + " got "
                        + (answer ? "'" + answer->firstLine + "'" : std::string("no answer")) + " "
                        + std::to_string(endedAt - sentAt) + " ms after it was sent, "
                        + std::to_string(endedAt - stoppedAt) + " ms after SIGTERM");
            if (answer && answer->status() == 200) {
                ++answered;
                return;
            }
            // Not counted are the last sixth of the grace time and the end of the route's time.
            const bool isExcused =
                endedAt - stoppedAt >= graceMs * 5 / 6 || endedAt - sentAt >= timeoutMs;
            const auto runs = archives.runs();
            const bool isAtWork = std::any_of(runs.begin(), runs.end(),
                                              [&](const auto &each) { return each.request == id; });
            brokenOff += isAtWork && !isExcused ? 1 : 0;
        });
    }
    pauseFor(milliseconds(150));
    stoppedAt = record.now();
    record.line("SIGTERM to " + leaving.name);
    ::kill(leaving.pid, SIGTERM);
    for (std::thread &each : clients)
        each.join();
    ::waitpid(leaving.pid, nullptr, 0);
    record.line(leaving.name + " ended " + std::to_string(record.now() - stoppedAt)
                + " ms after SIGTERM");
    leaving.pid = -1;
    record.line("look-ups answered 200: " + std::to_string(answered)
                + "; broken off while the upstream was at work: " + std::to_string(brokenOff));
    if (!withTrouble() && answered < lookups)
        return not_run;
    return brokenOff > 0 ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    return play(argc, argv, script);
}
