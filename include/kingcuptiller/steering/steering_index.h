#pragma once

#include <cstdint>

// Indexes that entry_dispatcher assigns to classes of work and to regions in the order in which it
// first sees their names. Its components store data by index, because comparing names for each
// request would cost more than the routing decision itself. An index is never reused for another
// name.

namespace kingcuptiller {

using class_index = std::uint32_t;
using region_index = std::uint32_t;

} // namespace kingcuptiller
