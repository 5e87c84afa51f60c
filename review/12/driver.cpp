// A few clients send large uploads slowly. Meanwhile an ordinary client sends uploads of the usual
// size on one kept connection after the other.

#include "kit-3.h"

using namespace review;

namespace {

constexpr std::size_t slowBodyBytes = 60'000'000;
// What a slow client sends of its body before it pauses: together a quarter of the entry's memory.
constexpr std::size_t slowSentBytes = 7'300'000;
constexpr int slowClients = 4;
constexpr std::size_t ordinaryBodyBytes = 200'000;
constexpr int ordinaryUploads = 60;

// Sends the begin of a large upload, waits for its answer, and starts again.
void uploadSlowly(record_file &record, const endpoint &entry, int number,
                  const std::atomic<bool> &ends)
{
    const std::string piece(50'000, 's');
    for (int round = 1; !ends; ++round) {
        const std::string id = "slow-" + std::to_string(number) + "-" + std::to_string(round);
        connection link;
        if (!link.open(entry, milliseconds(1'000)))
            continue;
        link.send(requestHead("POST", "/uploads/slow", id)
                  + "Content-Length: " + std::to_string(slowBodyBytes) + "\r\n\r\n");
        record.line(id + " begins");
        bool isOpen = true;
        for (std::size_t sent = 0; sent < slowSentBytes && isOpen && !ends; sent += piece.size()) {
            isOpen = link.send(piece);
            pauseFor(milliseconds(1));
        }
        link.setLimit(milliseconds(5'000));
        const auto answer = isOpen ? readMessage(link) : std::nullopt;
        record.line(id + (answer ? " got '" + answer->firstLine + "'" : " got no answer"));
        pauseFor(milliseconds(200));
    }
}

struct upload_counts
{
    int answered = 0;
    int refused = 0;
    int failed = 0;
    // Closed without an answer, after the upstream had got the request.
    int lost = 0;
};

int script(record_file &record)
{
    // The memory of a front machine of the deployment that has uploads.
    platform fleet(record, 3, 1, 112);
    const auto controls = fleet.controls();
    if (!order(record, controls, "PUT", "/v1/config",
               manifest(1, 0,
                        {{"uploads", "/uploads/", "upload", "storage"},
                         {"reads", "/reads/", "safe", "storage"}})))
        return not_run;
    std::vector<std::unique_ptr<upstream>> storage;
    for (int i = 0; i < 3; ++i) {
        storage.push_back(std::make_unique<upstream>(record, "storage-" + std::to_string(i + 1),
                                                     "storage", fleet.address(0, 201 + i),
                                                     fleet.zone(0)));
        if (!storage.back()->announce(controls))
            return not_run;
    }
    if (!fleet.waitUntilReady(milliseconds(10'000)))
        return not_run;
    pauseFor(milliseconds(1'000));
    const endpoint entry = fleet.traffic(fleet.entry(0));
    std::atomic<bool> ends = false;
    std::vector<std::thread> slow;
    for (int i = 1; withTrouble() && i <= slowClients; ++i)
        slow.emplace_back([&, i] { uploadSlowly(record, entry, i, ends); });
    pauseFor(milliseconds(1'500));
    upload_counts counts;
    for (int i = 1; i <= ordinaryUploads; ++i) {
        const std::string id = "upload-" + std::to_string(i);
        connection link;
        // A look-up first: the upload then goes out on a kept connection.
        if (!link.open(entry, milliseconds(5'000))
            || !link.send(requestHead("GET", "/reads/1", "read-" + std::to_string(i)) + "\r\n"))
            return not_run;
        const auto read = readMessage(link);
        if (!read || read->status() != 200) {
            record.line("the look-up before " + id + " was not answered with 200");
            continue;
        }
        link.send(requestHead("POST", "/uploads/" + std::to_string(i), id)
                  + "Content-Length: " + std::to_string(ordinaryBodyBytes) + "\r\n\r\n"
                  + std::string(ordinaryBodyBytes, 'u'));
        const auto answer = readMessage(link);
        const int status = answer ? answer->status() : 0;
        record.line(id + (answer ? " got '" + answer->firstLine + "'" : ": closed, no answer"));
        const bool isReached = std::any_of(storage.begin(), storage.end(),
                                           [&](const auto &each) { return each->hasReceived(id); });
        counts.answered += status == 200 ? 1 : 0;
        counts.refused += status == 503 || status == 429 ? 1 : 0;
        counts.failed += status != 0 && status != 200 && status != 503 && status != 429 ? 1 : 0;
        counts.lost += status == 0 && isReached ? 1 : 0;
        pauseFor(milliseconds(100));
    }
    ends = true;
    for (std::thread &each : slow)
        each.join();
    record.line("uploads of the ordinary client: answered 200 " + std::to_string(counts.answered)
                + ", refused " + std::to_string(counts.refused) + ", failed with another status "
                + std::to_string(counts.failed) + ", passed on and closed without an answer "
                + std::to_string(counts.lost));
    if (!fleet.runs(fleet.entry(0)) || (!withTrouble() && counts.answered < ordinaryUploads))
        return withTrouble() ? broken : not_run;
    return counts.lost > 3 ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    return play(argc, argv, script);
}
