#pragma once

#include "kingcuptiller/steering/entry_dispatcher.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// A small world around one entry_dispatcher: classes of three ranks, upstreams in two regions, and
// a record of all attempts, from which tests compute what the entry did.

namespace kingcuptiller::test {

inline const class_name postings("postings");
inline const class_name lookups("lookups");
inline const class_name revisions("revisions");
inline const region_name home("home");
inline const region_name away("away");

struct recorded_attempt
{
    ticket_id ticket;
    std::uint32_t number = 1;
    class_name workClass;
    upstream_id upstream;
    region_name region;

    bool operator==(const recorded_attempt &) const = default;
};

class dispatcher_fixture
{
public:
    explicit dispatcher_fixture(dispatcher_settings settings = defaultSettings());

    static dispatcher_settings defaultSettings();

    // An upstream that is warm and serves `workClass`, to be changed by the test before `assign`.
    upstream_assignment &addUpstream(const class_name &workClass, const region_name &region,
                                     std::uint32_t limit);
    void assign();

    // Sends a request of a client in the home region. The decision is recorded.
    decision submit(const class_name &workClass, milliseconds deadline = milliseconds(2000));
    // Ends the open attempt at this position.
    void finish(std::size_t position, attempt_outcome outcome, milliseconds latency);
    void recordDecision(ticket_id ticket, const class_name &workClass, const decision &made);
    std::vector<ready_ticket> takeReady();
    void advanceTime(milliseconds time) { now += time; }

    [[nodiscard]] std::size_t inFlight(const upstream_id &upstream) const;

    entry_dispatcher dispatcher;
    instant now = instant(std::chrono::seconds(1000));
    std::vector<upstream_assignment> upstreams;
    std::vector<recorded_attempt> openAttempts;
    std::map<std::uint64_t, class_name> classByTicket;
    ticket_id lastTicket;
};

[[nodiscard]] bool isForward(const decision &made);
[[nodiscard]] bool isQueued(const decision &made);
// ok unless the decision is a refusal.
[[nodiscard]] result_code refusal(const decision &made);

} // namespace kingcuptiller::test
