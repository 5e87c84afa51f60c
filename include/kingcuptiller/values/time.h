#pragma once

#include <chrono>
#include <cstdint>

// Time as the decisions see it. Neither clock here can be read: the present time is always an
// argument, so that every decision can be replayed. The daemons read the system clocks in
// transport/system_clock.h and hand the values down.

namespace kingcuptiller {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// A monotonic clock with an arbitrary start that differs between processes. It keeps running while
// a process is stopped, so a process that was frozen sees the elapsed time when it resumes.
struct monotonic_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = microseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): clock API
};

// Wall time in microseconds since 1970-01-01 UTC. It may jump; use it only for values that leave
// the process, such as a request's issue time.
struct wall_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = microseconds;
    using time_point = std::chrono::time_point<wall_clock>;
    static constexpr bool is_steady = false; // NOLINT(readability-identifier-naming): clock API
};

using instant = monotonic_clock::time_point;
using wall_time = wall_clock::time_point;

// Milliseconds since 1970-01-01 UTC, the unit of wall time in all messages.
[[nodiscard]] constexpr std::int64_t toUnixMilliseconds(wall_time time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

[[nodiscard]] constexpr wall_time fromUnixMilliseconds(std::int64_t value)
{
    return wall_time(milliseconds(value));
}

} // namespace kingcuptiller
