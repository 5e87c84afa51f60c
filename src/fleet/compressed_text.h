#pragma once

#include <json/json.h>

#include <string>

namespace kingcuptiller::internal {

// A text as JSON of its size in bytes and its compressed bytes in Base64. Configurations of many
// routes repeat themselves, and each byte passes the links of all control hosts and entries.
[[nodiscard]] Json::Value compressText(const std::string &text);
// Throws `error` with `message_malformed`, also for a text of over 64 MiB.
[[nodiscard]] std::string decompressText(const Json::Value &value);

} // namespace kingcuptiller::internal
