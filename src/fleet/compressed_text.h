#pragma once

#include <json/json.h>

#include <string>

namespace kingcuptiller::internal {

// Encodes a text as a JSON object with its size in bytes and its zlib-compressed bytes in Base64.
// Configurations with many routes are repetitive, and each byte is sent to all control hosts and
// entries.
[[nodiscard]] Json::Value compressText(const std::string &text);
// Decodes the result of `compressText`. Throws `error` with `message_malformed` if the value is
// malformed or the text is larger than 64 MiB.
[[nodiscard]] std::string decompressText(const Json::Value &value);

} // namespace kingcuptiller::internal
