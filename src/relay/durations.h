#pragma once

#include "kingcuptiller/values/time.h"

#include <chrono>

namespace kingcuptiller::internal {

// Converts a duration to milliseconds with a fraction.
[[nodiscard]] inline double toMs(microseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace kingcuptiller::internal
