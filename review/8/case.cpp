// An entry with a grace of 10 s takes a request 4.2 s after SIGTERM and breaks it off.

#include "../kit-2.h"

using namespace review;

namespace {

// The figures of the sheet of emitc-indices-large for index-revisions.
constexpr int graceS = 10;
constexpr int timeLimitMs = 15'000;
constexpr int timeoutMs = 8'000;
constexpr int usualWorkMs = 900;
constexpr int longWorkMs = 6'500;
constexpr int sentAfterTermMs = 4'200;

} // namespace

int main(int, char **argv)
{
    run_record::get().open(argv[1]);
    platform system({graceS, 3, 2});
    system.startAll();
    const std::string first =
        manifest(1, 0, {{"/revisions/", "unsafe", "revision", timeoutMs, 4'000, 2}});
    if (system.order("PUT", "/v1/config", first).status() != 200)
        cannotRun("the manifest was not acknowledged");
    backend one(system, {system.ip(150), 8'080}, "i-1", "revision", "zone-a");
    backend two(system, {system.ip(150), 8'081}, "i-2", "revision", "zone-a");
    awaitService(system.entry(0), "/revisions/1?work=10");

    // A client with a kept connection: its requests take the usual time.
    const int socket = connectTo(system.entry(0));
    reader input(socket);
    for (int i = 0; i < 12; ++i) {
        const std::string id = newId();
        sendAll(socket,
                requestHead("POST", "/revisions/1?work=" + std::to_string(usualWorkMs), id,
                            timeLimitMs, "Content-Length: 0\r\n"));
        const message answer = input.read(timeLimitMs);
        note("client gets " + std::to_string(answer.status()) + " for " + id);
        if (answer.status() != 200)
            cannotRun("the system does not serve in calm");
    }
    const auto term = steady::now();
    if (hasTrouble())
        system.signal("entry-0", SIGTERM);

    // Clients go on using an address for as long as they keep the directory's answer, some three
    // times as long as its ttl. These use the entry for 4.2 s more.
    int broken = 0;
    std::vector<std::thread> clients;
    clients.reserve(4);
    std::mutex mutex;
    const auto until = [&](int ms) { std::this_thread::sleep_until(term + milliseconds(ms)); };
    for (int i = 0; i < 4; ++i) {
        clients.emplace_back([&, i] {
            until(sentAfterTermMs + i * 20);
            const int own = connectTo(system.entry(0));
            const std::string id = newId();
            if (own < 0) {
                note("client cannot connect for " + id);
                return;
            }
            const double sentAt = secondsNow();
            note("client sends " + id);
            sendAll(own,
                    requestHead("POST", "/revisions/1?work=" + std::to_string(longWorkMs), id,
                                timeLimitMs, "Content-Length: 0\r\n"));
            const message answer = reader(own).read(timeLimitMs);
            const double took = secondsNow() - sentAt;
            note("client gets "
                 + (answer.complete ? std::to_string(answer.status()) : std::string("no answer"))
                 + " for " + id + " after " + std::to_string(took) + " s, receipt '"
                 + answer.header("kingcuptiller-response-seal") + "'");
            ::close(own);
            bool hasRun = false;
            for (const backend *each : {&one, &two}) {
                for (const run &begun : each->runs())
                    hasRun = hasRun || begun.id == id;
            }
            // Broken off while its backend was at work, before the client's time limit and the
            // route's timeout; it was sent later than 3 s after the SIGTERM.
            const bool answered = answer.complete && answer.status() == 200;
            const std::lock_guard<std::mutex> lock(mutex);
            if (hasRun && !answered && took * 1'000 < timeoutMs - 500)
                ++broken;
        });
    }
    for (std::thread &each : clients)
        each.join();
    ::close(socket);
    note("LOST: " + std::to_string(broken)
         + " requests were taken after the SIGTERM and broken off while their backends worked");
    finish(system, broken > 0);
}
