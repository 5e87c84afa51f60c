#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

// Checks of texts that come from outside, shared by the parsers of this module.

namespace kingcuptiller::internal {

// 1 to 64 letters, digits, dots, hyphens and underscores.
[[nodiscard]] bool isIdentifier(std::string_view text);

// An IPv4 address and a port that is not 0, "10.0.0.1:7100".
[[nodiscard]] bool isEndpoint(std::string_view text);

// A decimal number without sign of at most `maximum`, or nothing.
[[nodiscard]] std::optional<std::uint64_t> toNumber(std::string_view text, std::uint64_t maximum);

} // namespace kingcuptiller::internal
