#pragma once

#include "kingcuptiller/protocol/messages.h"

#include <vector>

namespace kingcuptiller::internal {

// Splits what one call brings into commands that fit into one message between control hosts
// (800 KiB of JSON, escaped once more on the way). Keeps the order.
std::vector<std::vector<claim>> splitClaims(const std::vector<claim> &claims);
std::vector<std::vector<settlement>> splitSettlements(const std::vector<settlement> &settlements);

} // namespace kingcuptiller::internal
