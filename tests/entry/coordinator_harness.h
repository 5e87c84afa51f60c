#pragma once

#include "kingcuptiller/entry/work_coordinator.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuptiller {

// A work_coordinator whose clock, upstreams and control host are played by the test: hooks record
// what the coordinator asked for, and the test answers when and how it likes.
class coordinator_harness
{
public:
    struct sent_request
    {
        forward_request request;
        std::function<void(forward_result)> done;
        std::shared_ptr<bool> cancelled = std::make_shared<bool>(false);
    };
    struct asked_claim
    {
        claim wanted;
        std::function<void(std::optional<claim_answer>)> done;
    };
    struct asked_settlement
    {
        settlement settled;
        std::function<void(bool)> done;
    };

    // Serves the classes "posting" (non-idempotent) and "lookup" (idempotent) with two upstreams
    // each, and holds a lease of 2.5 s from time 0.
    coordinator_harness();

    // Sends a request with issue time 1 s.
    void request(const std::string &workClass, const std::string &key = "key-1",
                 milliseconds deadline = milliseconds(1000));
    // Moves the clock and lets the coordinator's timers run.
    void advance(milliseconds time);
    // Moves the clock only, as for a process that was stopped.
    void freeze(milliseconds time);

    void grant(std::size_t claim);
    void answerClaim(std::size_t claim, result_code code,
                     const std::optional<recorded_answer> &recorded = std::nullopt);

    // The upstream's answer to the sent request, complete and matching unless changed.
    forward_result answerTo(std::size_t sent, const std::string &result = "ran",
                            const std::string &body = "answer") const;
    void finish(std::size_t sent, forward_result result);
    void fail(std::size_t sent, forward_outcome outcome);

    // The name of the code of the only answer so far, or "none".
    std::string told() const;
    // The attempts of all settlements of this kind.
    std::vector<attempt_id> settled(settlement_kind kind) const;

    std::vector<sent_request> sent;
    std::vector<asked_claim> claims;
    std::vector<asked_settlement> settlements;
    std::vector<work_answer> answers;
    std::shared_ptr<work_coordinator> coordinator;

private:
    coordinator_hooks makeHooks();

    instant m_now{};
    int m_drawn = 0;
    std::shared_ptr<const entry_snapshot> m_snapshot;
};

} // namespace kingcuptiller
