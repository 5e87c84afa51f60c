#pragma once

#include "kingcuptiller/protocol/messages.h"

#include <map>
#include <utility>
#include <vector>

namespace kingcuptiller {

// How one finished request counts towards its class's target.
enum class service_outcome {
    in_time,
    late,
    refused,
    unknown,
    // The client's own fault, such as a malformed request; not counted.
    ignored,
};

// Judges a finished request. `latency` is the time from the request's arrival at the entry to its
// answer. A recorded answer (already_run) counts as an answer. Refusals in which the client broke
// the protocol (malformed, key_conflict, key_expired, issue_time_ahead) are ignored.
[[nodiscard]] service_outcome judgeService(result_code code, microseconds latency,
                                           const service_target &target);

// Counts finished requests of an entry since its start, by class of work and client region. Not
// thread-safe. The counts go to control with every sync and into the entry's own burn report.
class service_recorder
{
public:
    // Regions beyond this number for one class are counted under "other", so that clients cannot
    // make an entry's memory grow by naming regions.
    static constexpr std::size_t maximumOrigins = 64;

    void record(const class_name &workClass, const region_name &origin, result_code code,
                microseconds latency, const service_target &target);

    // Sorted by class and region.
    [[nodiscard]] std::vector<service_counts> counts() const;

private:
    struct tally
    {
        std::uint64_t inTime = 0;
        std::uint64_t late = 0;
        std::uint64_t refused = 0;
        std::uint64_t unknown = 0;
        std::map<result_code, std::uint64_t> byCode;
    };

    std::map<class_name, std::map<region_name, tally>> m_tallies;
};

// What came in since `before`, for the same sender. Classes and regions that are new count in full;
// a count that went down means that the sender restarted, so all of `after` is new.
[[nodiscard]] std::vector<service_counts> countsSince(const std::vector<service_counts> &before,
                                                      const std::vector<service_counts> &after);

} // namespace kingcuptiller
