#pragma once

#include "kingcuptiller/storage/log_record.h"
#include "kingcuptiller/storage/replica_identity.h"
#include "kingcuptiller/values/identifiers.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// The messages that the replicas of the Raft log exchange. Each replica runs on a control host and
// is identified by its host and its incarnation, which identifies the data folder: a replica keeps
// it over restarts, and a new data folder gets a new one. The type `epoch_number` holds Raft terms.
// Messages may be lost, delayed, duplicated or reordered; a receiver ignores a message that does
// not apply to its present state.

namespace kingcuptiller {

// A candidate's request for a vote in `peer_message::term`. A pre-vote only asks whether the vote
// would be granted and changes no state, so that a replica that returns from a network partition
// does not raise the term of the other replicas.
struct vote_request
{
    bool preVote = false;
    // Index and term of the last entry in the candidate's log.
    log_index lastIndex;
    epoch_number lastTerm;

    bool operator==(const vote_request &) const = default;
};

// The response to a `vote_request`. When the vote is granted, `peer_message::term` is the requested
// term; otherwise it is the term of the replica that sends the response.
struct vote_response
{
    bool preVote = false;
    bool granted = false;

    bool operator==(const vote_response &) const = default;
};

// The leader's request to append the entries that follow `previousIndex` (Raft's AppendEntries).
// Without entries it is a heartbeat.
struct append_request
{
    // Index and term of the entry that precedes `entries` in the leader's log.
    log_index previousIndex;
    epoch_number previousTerm;
    std::vector<log_record> entries;
    // The leader's commit index.
    log_index committed;
    // The leader's monotonic clock in microseconds when it created the request. The response echoes
    // this value, so that the leader's lease starts when the request was sent and not when the
    // response arrived.
    std::int64_t sentAt = 0;

    bool operator==(const append_request &) const = default;
};

// A follower's response to an `append_request`.
struct append_response
{
    // True when the follower's log contains an entry with the request's `previousIndex` and
    // `previousTerm`. In that case, the log also contains the entries of the request.
    bool matches = false;
    // If `matches` is true, the index of the last entry that is known to equal the leader's and is
    // synced to disk. Otherwise, the index after which the leader should resend entries.
    log_index index;
    // `sentAt` of the request.
    std::int64_t sentAt = 0;

    bool operator==(const append_response &) const = default;
};

// A chunk of the leader's snapshot (Raft's InstallSnapshot), for a replica that needs log entries
// that the leader has already compacted. The leader sends one chunk at a time and waits for the
// response before it sends the next one.
struct snapshot_chunk
{
    // Index and term of the last log entry that the snapshot includes (Raft's lastIncludedIndex and
    // lastIncludedTerm).
    log_index index;
    epoch_number snapshotTerm;
    // The membership at `index`, as written by `encodeMembership`.
    std::string membership;
    // The position of `bytes` in the snapshot's state, in bytes.
    std::uint64_t offset = 0;
    // The size of the whole state.
    std::uint64_t totalBytes = 0;
    // Binary content; the JSON form holds it as base64.
    std::string bytes;
    // The leader's monotonic clock in microseconds when it created the chunk.
    std::int64_t sentAt = 0;

    bool operator==(const snapshot_chunk &) const = default;
};

// A replica's response to a `snapshot_chunk`.
struct snapshot_response
{
    // The index of the last log entry that the snapshot includes, copied from the chunk.
    log_index index;
    // The offset of the next chunk that the replica needs, in bytes.
    std::uint64_t nextOffset = 0;
    // True when the whole snapshot is installed and synced to disk.
    bool installed = false;
    // `sentAt` of the chunk.
    std::int64_t sentAt = 0;

    bool operator==(const snapshot_response &) const = default;
};

// Sent periodically to all control hosts by a replica that is not a voter. The replica asks to join
// the existing Raft cluster (fleet). When `founding` is true, it also offers to form a new fleet
// with the control hosts that its settings list.
struct join_request
{
    bool founding = false;
    // The control hosts that the sender's settings list, sorted.
    std::vector<host_id> hosts;

    bool operator==(const join_request &) const = default;
};

// The leader's notice that the receiver is no longer a voter because another incarnation of the
// same host has replaced it.
struct superseded_notice
{
    bool operator==(const superseded_notice &) const = default;
};

using peer_message_body =
    std::variant<vote_request, vote_response, append_request, append_response, snapshot_chunk,
                 snapshot_response, join_request, superseded_notice>;

// A message from one replica to another.
struct peer_message
{
    replica_identity from;
    // The incarnation is empty when the sender does not know it. A receiver ignores a message for
    // an incarnation other than its own.
    replica_identity to;
    // The sender's term, except in pre-vote requests and in granted vote responses, where it is the
    // term of the requested vote.
    epoch_number term;
    peer_message_body body;

    bool operator==(const peer_message &) const = default;
};

// The maximum size of an encoded message. The entries of an `append_request` are limited by
// `maximumAppendJsonBytes` so that the message stays below this size.
inline constexpr std::size_t maximumPeerMessageBytes = std::size_t{1} << 20;
// The maximum total size in bytes of the JSON strings of the commands in one `append_request`, and
// therefore of a single command.
inline constexpr std::size_t maximumAppendJsonBytes = 800 * std::size_t{1024};

// Serializes a message to the text of one JSON object. To embed it in other JSON, insert the text
// as a nested object. As a JSON string, it would be escaped, which could double its size and exceed
// `maximumPeerMessageBytes`.
[[nodiscard]] std::string encodePeerMessage(const peer_message &message);

// Parses the output of `encodePeerMessage`. Throws `error` with `message_too_large` when the text
// exceeds `maximumPeerMessageBytes`, and with `message_malformed` when it is not a valid message.
[[nodiscard]] peer_message decodePeerMessage(std::string_view text);

// Returns an upper bound of the size of `command` as a JSON string, in bytes. The bound allows for
// JSON libraries that escape all non-ASCII characters, which at most triples the size of such
// characters. Throws `error` with `message_malformed` when the command is not valid UTF-8: JSON
// would not preserve such text, and the replicas would then store different commands.
[[nodiscard]] std::size_t commandJsonBytesUpperBound(std::string_view command);

} // namespace kingcuptiller
