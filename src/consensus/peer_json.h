#pragma once

#include "kingcuptiller/storage/replica_identity.h"

#include <json/json.h>

#include <cstdint>
#include <string>
#include <string_view>

// Helpers to write JSON and to read it strictly. The reading functions throw `error` with
// `message_malformed` when a field is missing or has an unexpected type, or a number is out of
// range.

namespace kingcuptiller::internal {

// Throws `error` with `message_malformed`; `what` describes the problem.
[[noreturn]] void reportMalformed(const std::string &what);

// Serializes a value on one line, without indentation; non-ASCII characters stay UTF-8.
[[nodiscard]] std::string writeCompactJson(const Json::Value &value);
// Parses a text that must hold exactly one JSON object.
[[nodiscard]] Json::Value parseJsonObject(std::string_view text);

// Each of the following functions returns the field `name` of `object`.
[[nodiscard]] const Json::Value &field(const Json::Value &object, const char *name);
[[nodiscard]] std::string stringField(const Json::Value &object, const char *name);
[[nodiscard]] bool boolField(const Json::Value &object, const char *name);
[[nodiscard]] std::uint64_t unsignedField(const Json::Value &object, const char *name);
[[nodiscard]] std::int64_t signedField(const Json::Value &object, const char *name);
[[nodiscard]] const Json::Value &arrayField(const Json::Value &object, const char *name);

[[nodiscard]] Json::Value toJson(const replica_identity &replica);
[[nodiscard]] replica_identity replicaIdentityFromJson(const Json::Value &value);

// Base64 encoding for binary data. `fromBase64` throws `error` with `message_malformed` when the
// text is not valid base64.
[[nodiscard]] std::string toBase64(std::string_view bytes);
[[nodiscard]] std::string fromBase64(const std::string &text);

} // namespace kingcuptiller::internal
