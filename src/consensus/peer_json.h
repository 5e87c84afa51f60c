#pragma once

#include "kingcuptiller/storage/replica_identity.h"

#include <json/json.h>

#include <cstdint>
#include <string>
#include <string_view>

// Strict reading of JSON: a missing field, a field of another type and a number out of range throw
// `error` with `message_malformed`.

namespace kingcuptiller::internal {

[[noreturn]] void reportMalformed(const std::string &what);

[[nodiscard]] std::string writeCompactJson(const Json::Value &value);
// The text must be one object.
[[nodiscard]] Json::Value parseJsonObject(std::string_view text);

[[nodiscard]] const Json::Value &field(const Json::Value &object, const char *name);
[[nodiscard]] std::string textField(const Json::Value &object, const char *name);
[[nodiscard]] bool flagField(const Json::Value &object, const char *name);
[[nodiscard]] std::uint64_t numberField(const Json::Value &object, const char *name);
[[nodiscard]] std::int64_t signedField(const Json::Value &object, const char *name);
[[nodiscard]] const Json::Value &arrayField(const Json::Value &object, const char *name);

[[nodiscard]] Json::Value toJson(const replica_identity &replica);
[[nodiscard]] replica_identity replicaIdentityFromJson(const Json::Value &value);

// Base64, for bytes that need not be UTF-8.
[[nodiscard]] std::string toBase64(std::string_view bytes);
[[nodiscard]] std::string fromBase64(const std::string &text);

} // namespace kingcuptiller::internal
