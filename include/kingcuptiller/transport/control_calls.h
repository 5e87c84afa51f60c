#pragma once

#include "kingcuptiller/protocol/messages.h"

#include <json/value.h>

#include <string_view>
#include <vector>

// Names and parameters of the JSON-RPC calls that entries make to control hosts. Both sides use
// these functions, so the two cannot disagree. Single messages (entry_sync) use protocol/codec.h
// directly.

namespace kingcuptiller {

// entry_sync_request -> entry_sync_response.
inline constexpr std::string_view entrySyncMethod = "entry_sync";
// {"claims": [claim...]} -> {"answers": [claim_answer...]}, in any order, matched by attempt.
inline constexpr std::string_view claimRequestsMethod = "claim_requests";
// {"settlements": [settlement...]} -> {}; answered when all of them are committed.
inline constexpr std::string_view settleRequestsMethod = "settle_requests";

[[nodiscard]] Json::Value claimsToJson(const std::vector<claim> &claims);
[[nodiscard]] std::vector<claim> claimsFromJson(const Json::Value &document);
[[nodiscard]] Json::Value claimAnswersToJson(const std::vector<claim_answer> &answers);
[[nodiscard]] std::vector<claim_answer> claimAnswersFromJson(const Json::Value &document);
[[nodiscard]] Json::Value settlementsToJson(const std::vector<settlement> &settlements);
[[nodiscard]] std::vector<settlement> settlementsFromJson(const Json::Value &document);

} // namespace kingcuptiller
