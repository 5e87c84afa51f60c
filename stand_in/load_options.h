#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace kingcuptiller::stand_in {

// The requests of one class that a load generator sends.
struct class_plan
{
    class_name workClass;
    // Only for the check afterwards; the system knows it from its configuration.
    bool idempotent = false;
    // Requests a second, at random times.
    double rate = 10;
    milliseconds deadline{2000};
    std::size_t bodyBytes = 200;
    std::size_t answerBytes = 1000;

    auto operator<=>(const class_plan &) const = default;
};

struct load_options
{
    // Entries for the first look-up; later ones go to the entries that were found as well.
    std::vector<endpoint_address> entries;
    region_name region;
    zone_name zone;
    std::string client = "load-generator";
    std::vector<class_plan> classes;
    milliseconds duration{10000};
    // Time after `duration` in which requests may still be answered or asked for again.
    milliseconds settleTime{12000};
    std::uint64_t seed = 1;
    // One line for each request with its outcome, for journal-check; none when empty.
    std::string record;
    bool json = false;

    // The text to print before ending with status 0; empty unless --help was given.
    std::string help;

    bool operator==(const load_options &) const = default;
};

// "NAME,rate=50,deadline=2s,bytes=200,answer=1000,idempotent". Throws `error` with
// command_line_invalid.
[[nodiscard]] class_plan parseClassPlan(const std::string &text);

// The options of load-generator. Throws `error` with command_line_invalid.
[[nodiscard]] load_options parseLoadOptions(int argc, const char *const *argv);

} // namespace kingcuptiller::stand_in
