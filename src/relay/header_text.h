#pragma once

#include "kingcuptiller/relay/http_types.h"
#include "kingcuptiller/relay/upstream_choice.h"

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

// Functions that parse HTTP header values and remove headers.

namespace kingcuptiller::internal {

// Converts from the string view type of Boost; the result refers to the same characters.
[[nodiscard]] std::string_view toStringView(boost::beast::string_view text);

// Parses a decimal integer. Returns nullopt for any other text.
[[nodiscard]] std::optional<std::int64_t> parseInteger(std::string_view text);

// Parses a load report "running,waiting,slots" or "running,waiting,slots,work time in percent",
// integers from 0 to 1,000,000. Returns nullopt for any other text.
[[nodiscard]] std::optional<upstream_load_report> parseLoadReport(std::string_view text);

// Erases the hop-by-hop headers, including those that the `Connection` header names.
void eraseConnectionHeaders(boost::beast::http::fields &fields);

} // namespace kingcuptiller::internal
