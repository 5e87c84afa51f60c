// A request whose transfer coding is not "chunked" carries the text of another request as its body.

#include "../stand-ins-2/kit.h"

using namespace review;

int main(int, char **argv)
{
    run_record::get().open(argv[1]);
    platform system({6, 3, 1});
    system.startAll();
    const std::string first = manifest(1, 0,
                                       {{"/lookups/", "safe", "consulta"},
                                        {"/revisions/", "unsafe", "revision"},
                                        {"/postings/", "unsafe", "ajuste"}});
    if (system.order("PUT", "/v1/config", first).status() != 200)
        cannotRun("the manifest was not acknowledged");
    backend lookups(system, {system.ip(150), 8'080}, "i-lookups", "consulta", "zone-a");
    backend revisions(system, {system.ip(150), 8'081}, "i-revisions", "revision", "zone-a");
    backend postings(system, {system.ip(150), 8'082}, "i-postings", "ajuste", "zone-a");
    awaitService(system.entry(0), "/lookups/1");
    awaitService(system.entry(0), "/revisions/1");
    awaitService(system.entry(0), "/postings/1");

    int smuggled = 0;
    int changed = 0;
    for (int i = 0; i < 5; ++i) {
        const std::string outer = newId();
        const std::string inner = newId();
        const std::string body =
            requestHead("PUT", "/postings/smuggled", inner, 2'000, "Content-Length: 0\r\n");
        // The body is the same in both runs; without the trouble it is framed as it should be.
        char size[16];
        std::snprintf(size, sizeof size, "%zx", body.size());
        const std::string framed = hasTrouble()
            ? requestHead("POST", "/revisions/1", outer, 2'000, "Transfer-Encoding: gzip\r\n")
                + body
            : requestHead("POST", "/revisions/1", outer, 2'000, "Transfer-Encoding: chunked\r\n")
                + size + "\r\n" + body + "\r\n0\r\n\r\n";
        const int socket = connectTo(system.entry(0));
        note("client sends " + outer);
        note("its body holds the text of " + inner);
        sendAll(socket, framed);
        reader input(socket);
        for (int answers = 0; answers < 2; ++answers) {
            const message answer = input.read(1'500);
            note("client gets "
                 + (answer.complete ? std::to_string(answer.status()) : std::string("no answer"))
                 + " " + answer.header("kingcuptiller-attempt-id"));
            if (!answer.complete)
                break;
        }
        ::close(socket);
        pause(200);
        for (const run &each : postings.runs())
            smuggled += each.id == inner ? 1 : 0;
        for (const run &each : revisions.runs())
            changed += each.id == outer && each.body != body.substr(0, 200) ? 1 : 0;
    }
    note("UNASKED: " + std::to_string(smuggled) + " of 5 requests inside another one were run, "
         + std::to_string(changed) + " of 5 outer ones were run with another body");
    return smuggled + changed > 0 ? 1 : 0;
}
