#pragma once

#include "kingcuptiller/relay/http_types.h"
#include "kingcuptiller/relay/upstream_choice.h"

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

// The texts of headers as the relay reads and changes them.

namespace kingcuptiller::internal {

[[nodiscard]] std::string_view toStringView(boost::beast::string_view text);

// A whole number; nothing for any other text.
[[nodiscard]] std::optional<std::int64_t> parseInteger(std::string_view text);

// "running,waiting,slots"; nothing for any other text.
[[nodiscard]] std::optional<upstream_load> parseLoadReport(std::string_view text);

// Erases the headers that concern one connection only, and those that `Connection` names.
void eraseConnectionHeaders(boost::beast::http::fields &fields);

} // namespace kingcuptiller::internal
