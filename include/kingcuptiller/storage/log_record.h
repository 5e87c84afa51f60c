#pragma once

#include "kingcuptiller/values/identifiers.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// The record format of all files of a control host's data folder. A record is a header of 48 bytes
// (magic, length, kind, zero, term, index, payload checksum, header checksum; little-endian, the
// checksums are xxhash64) and the payload.

namespace kingcuptiller {

enum class record_kind : std::uint32_t {
    // The first record of a log file: index and term of the entry before the first one.
    base = 1,
    // The current term; the payload names the candidate that got the vote, or is empty.
    vote = 2,
    // Entries of the replicated log.
    command = 3,
    membership = 4,
    // Appended by a new leader, because only entries of its own term prove a commit.
    empty = 5,
    // The only record of a snapshot file.
    snapshot = 6,
    // The only record of the identity file.
    identity = 7,
};

struct log_record
{
    record_kind kind = record_kind::empty;
    epoch_number term;
    log_index index;
    std::string payload;

    bool operator==(const log_record &) const = default;
};

inline constexpr std::size_t recordHeaderBytes = 48;
inline constexpr std::size_t maximumPayloadBytes = std::size_t{1} << 30;

[[nodiscard]] std::string encodeRecord(const log_record &record);

struct parsed_records
{
    std::vector<log_record> records;
    // Where the complete records end. Bytes after it belong to one incomplete record: a write that
    // was interrupted before its sync.
    std::size_t completeBytes = 0;

    bool operator==(const parsed_records &) const = default;
};

// Reads as many complete records as there are. Throws `error` with `data_folder_damaged` when a
// complete header or payload does not match its checksum or holds impossible values.
[[nodiscard]] parsed_records parseRecords(std::string_view bytes);

// Reads a file that consists of exactly one record of the given kind; anything else is damage.
[[nodiscard]] log_record parseSingleRecord(std::string_view bytes, record_kind kind);

} // namespace kingcuptiller
