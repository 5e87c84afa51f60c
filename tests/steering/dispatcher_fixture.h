#pragma once

#include "kingcuptiller/steering/entry_dispatcher.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Test fixture around one entry_dispatcher: classes of three ranks, upstreams in two regions, and a
// list of the attempts in flight.

namespace kingcuptiller::test {

inline const class_name postings("postings");
inline const class_name lookups("lookups");
inline const class_name revisions("revisions");
inline const region_name home("home");
inline const region_name away("away");

// An attempt that the dispatcher has started and the test has not ended yet.
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

    // Adds an upstream that is past its warm-up time and serves `workClass`. The test may modify it
    // before calling `assign`.
    upstream_assignment &addUpstream(const class_name &workClass, const region_name &region,
                                     std::uint32_t limit);
    void assign();

    // Submits a request from a client in the home region with a deadline relative to `now`, and
    // records the decision.
    decision submit(const class_name &workClass, milliseconds deadline = milliseconds(2000));
    // Ends the attempt at index `position` of `openAttempts` and reports its outcome.
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
// Returns the code of a refusal, or ok for other decisions.
[[nodiscard]] result_code refusal(const decision &made);

} // namespace kingcuptiller::test
