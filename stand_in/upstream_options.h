#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kingcuptiller::stand_in {

// How a stand-in upstream presents itself and behaves.
struct upstream_options
{
    upstream_id id;
    region_name region;
    zone_name zone;
    class_name workClass;
    endpoint_address listen;
    // Announcements go to the first of these that answers.
    std::vector<endpoint_address> entries;

    std::uint32_t slots = 9;
    // Requests that may wait for a slot; any more are shed.
    std::uint32_t queue = 18;
    std::uint32_t connections = 400;

    // Service times are drawn evenly from [1 - spread, 1 + spread] times this.
    milliseconds serviceTime{20};
    double spread = 0.5;
    std::uint64_t seed = 1;
    // For this long after the start, service times shrink evenly from coldFactor times to once.
    milliseconds coldStart{0};
    double coldFactor = 4;

    milliseconds announceEvery{1000};
    // Load reports show the load of this long ago.
    milliseconds loadLag{0};
    // Load reports always say this instead of the truth.
    std::optional<double> loadLie;

    // Time after SIGTERM in which work that is still sent is run; after it, work is shed.
    milliseconds drainTime{3000};
    // One line for each run; none when empty.
    std::string journal;

    // The text to print before ending with status 0; empty unless --help was given.
    std::string help;

    bool operator==(const upstream_options &) const = default;
};

// The options of stand-in-upstream. Throws `error` with command_line_invalid.
[[nodiscard]] upstream_options parseUpstreamOptions(int argc, const char *const *argv);

} // namespace kingcuptiller::stand_in
