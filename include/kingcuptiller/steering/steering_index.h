#pragma once

#include <cstdint>

// Positions that the dispatcher gives to classes and regions when it first sees them. The parts of
// the module count by position, since comparing names on each request would cost more than the
// decisions themselves. Positions are never reused.

namespace kingcuptiller {

using class_index = std::uint32_t;
using region_index = std::uint32_t;

} // namespace kingcuptiller
