#pragma once

#include "kingcuptiller/values/identifiers.h"

#include <cstddef>
#include <cstdint>
#include <string>

// The bodies that load generator and stand-in upstream agree on, so that the generator can tell a
// complete answer to its own request from any other.

namespace kingcuptiller::stand_in {

// A request body of about `bytes` bytes that differs for each key and asks for an answer of
// `answerBytes` bytes.
[[nodiscard]] std::string makeRequestBody(const request_key &key, std::size_t bytes,
                                          std::size_t answerBytes);

// The answer to a request: its body, repeated or cut to the size that it asks for. A body that does
// not say a size is echoed. Sizes are cut to 4 MiB.
[[nodiscard]] std::string makeAnswerBody(const std::string &requestBody);

} // namespace kingcuptiller::stand_in
