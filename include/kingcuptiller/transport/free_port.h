#pragma once

#include <cstdint>

namespace kingcuptiller {

// A TCP port of 127.0.0.1 that is free now, chosen by the kernel. Another process can take it
// before the caller does, so this is for tests and the demo; a server that can report its port
// listens on port 0 instead. Throws `error` with port_unavailable.
[[nodiscard]] std::uint16_t findFreePort();

} // namespace kingcuptiller
