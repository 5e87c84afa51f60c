#pragma once

#include "kingcuptiller/values/time.h"

// The only place that reads the system's clocks. Daemons call these and pass the values down.

namespace kingcuptiller {

// CLOCK_BOOTTIME: monotonic, and it includes the time in which the host was suspended. A process
// that was stopped sees the elapsed time when it resumes.
[[nodiscard]] instant readInstant();

[[nodiscard]] wall_time readWallTime();

} // namespace kingcuptiller
