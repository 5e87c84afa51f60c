#pragma once

#include "kingcuptiller/protocol/messages.h"

#include <json/value.h>

#include <string>
#include <string_view>

// JSON codec of the messages between processes and of the replicated state.
//
//     Json::Value document = toJson(request);
//     auto request = fromJson<entry_sync_request>(document);
//
// Field names are those of the structs. Times are integers with their unit in the name of the value
// type: durations in milliseconds, wall times in milliseconds since 1970. Reading is strict about
// types, ranges and missing fields, and ignores unknown fields, so that hosts of two adjacent
// releases understand each other. Every failure to read throws `error` with `message_malformed`
// that names the field.

namespace kingcuptiller {

// Limits for one message. A list or a text beyond them is refused.
inline constexpr std::size_t maximumListLength = 200'000;
inline constexpr std::size_t maximumTextBytes = 1U << 20U;

// Instantiated for every struct of protocol/messages.h and values/configuration.h.
template <typename Value>
[[nodiscard]] Json::Value toJson(const Value &value);

template <typename Value>
[[nodiscard]] Value fromJson(const Json::Value &document);

// Parses one JSON document. Throws `error` with `message_malformed` when it is no JSON object, when
// it nests too deeply or when a key stands twice, and with `message_too_large` beyond `limitBytes`.
[[nodiscard]] Json::Value parseJson(std::string_view text, std::size_t limitBytes);

// The document on one line, without a line end.
[[nodiscard]] std::string writeJson(const Json::Value &document);

} // namespace kingcuptiller
