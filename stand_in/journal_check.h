#pragma once

#include "stand_in/request_outcome.h"
#include "stand_in/run_journal.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kingcuptiller::stand_in {

// What the journals of all upstreams say about the requests of all load generators.
struct journal_verdict
{
    // Non-idempotent requests that ran more than once.
    std::uint64_t doubled = 0;
    // Requests of any class that ran although each sending was refused as not run.
    std::uint64_t ranAfterRefusal = 0;
    // Answered requests that never ran.
    std::uint64_t answeredWithoutRun = 0;
    // Answers that were another request's, or not whole.
    std::uint64_t mismatched = 0;
    std::map<class_name, std::uint64_t> doubledByClass;
    // The first keys behind the figures above, with the reason.
    std::vector<std::string> examples;

    bool operator==(const journal_verdict &) const = default;
    [[nodiscard]] bool holds() const
    {
        return doubled == 0 && ranAfterRefusal == 0 && answeredWithoutRun == 0 && mismatched == 0;
    }
};

// Holds the journals against the outcomes. A key in the journals that no outcome names counts as
// non-idempotent unless `runs` of its class are idempotent in some outcome.
[[nodiscard]] journal_verdict checkJournals(const std::vector<run_record> &runs,
                                            const std::vector<request_outcome> &outcomes);

} // namespace kingcuptiller::stand_in
