#pragma once

#include "stand_in/request_outcome.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kingcuptiller::stand_in {

// The outcomes of one class, added up.
struct class_tally
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t mismatched = 0;
    // Requests that were sent more than once.
    std::uint64_t resent = 0;
    std::map<result_code, std::uint64_t> refused;
    std::map<result_code, std::uint64_t> unknown;
    // Of answered requests.
    milliseconds p50{0};
    milliseconds p99{0};

    bool operator==(const class_tally &) const = default;
};

using load_tally = std::map<class_name, class_tally>;

[[nodiscard]] load_tally addUp(const std::vector<request_outcome> &outcomes);

// One row for each class, and one more for each code.
[[nodiscard]] std::string asTable(const load_tally &tally);

// One object by class name.
[[nodiscard]] Json::Value toJson(const load_tally &tally);

} // namespace kingcuptiller::stand_in
