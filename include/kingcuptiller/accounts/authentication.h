#pragma once

#include "kingcuptiller/accounts/client_account.h"

#include <optional>
#include <string_view>
#include <vector>

// Finds the client account of a request by the key in its Authorization field.

namespace kingcuptiller {

enum class authentication_failure {
    missing_key,
    // More than one Authorization field. Another reader of the request might use the other one.
    several_keys,
    // Another scheme, or something else than one key behind it.
    malformed_key,
    unknown_key,
};

// Returns a name for log lines and metrics, such as "unknown_key".
[[nodiscard]] std::string_view name(authentication_failure failure);

struct authentication_result
{
    // The account that holds the key; nullptr if `failure` is set. Valid for the lifetime of the
    // account table.
    const client_account *account = nullptr;
    // The key of the request, if it has a well-formed one.
    std::optional<key_digest> key;
    std::optional<authentication_failure> failure;
};

// `fieldValues` are the values of all Authorization fields of the request. A valid one is the
// scheme, in any case, and a key, separated by blanks.
[[nodiscard]] authentication_result authenticate(const account_table &accounts,
                                                 const std::vector<std::string_view> &fieldValues,
                                                 std::string_view scheme);

} // namespace kingcuptiller
