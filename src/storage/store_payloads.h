#pragma once

#include "kingcuptiller/storage/replica_store.h"

#include <string>

// The payloads of the records that are not entries of the log. The decoders throw `error` with
// `data_folder_damaged`.

namespace kingcuptiller::internal {

struct identity_payload
{
    replica_identity replica;
    bool founding = false;
};

[[nodiscard]] std::string encodeIdentity(const identity_payload &identity);
[[nodiscard]] identity_payload decodeIdentity(const std::string &payload);

[[nodiscard]] log_record encodeVote(const term_vote &vote);
[[nodiscard]] term_vote decodeVote(const log_record &record);

[[nodiscard]] log_record encodeSnapshot(const stored_snapshot &snapshot);
[[nodiscard]] stored_snapshot decodeSnapshot(const log_record &record);

} // namespace kingcuptiller::internal
