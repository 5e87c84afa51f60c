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

// The messages between the replicas of the replicated log. Any of them may be lost, delayed,
// repeated or overtaken by others; a receiver that cannot use one ignores it.

namespace kingcuptiller {

// Asks for a vote in `peer_message::term`. A pre-vote only asks whether the vote would be granted,
// so that a replica that was cut off does not raise the term of the others.
struct vote_request
{
    bool preVote = false;
    log_index lastIndex;
    epoch_number lastTerm;

    bool operator==(const vote_request &) const = default;
};

// `peer_message::term` is the term that was asked for when the vote is granted, otherwise the
// sender's own term.
struct vote_response
{
    bool preVote = false;
    bool granted = false;

    bool operator==(const vote_response &) const = default;
};

// Entries after `previousIndex`; without entries it is a heartbeat.
struct append_request
{
    log_index previousIndex;
    epoch_number previousTerm;
    std::vector<log_record> entries;
    log_index committed;
    // The leader's clock in microseconds when it made the message. The answer repeats it, so that
    // the leader can count its lease from the sending and not from the answer.
    std::int64_t sentAt = 0;

    bool operator==(const append_request &) const = default;
};

struct append_response
{
    // The log of the follower contains the entry before the sent ones, and now those too.
    bool matches = false;
    // When `matches`: the last entry that is known to be the leader's, synced. Otherwise the place
    // after which the leader should try again.
    log_index index;
    std::int64_t sentAt = 0;

    bool operator==(const append_response &) const = default;
};

// A part of the leader's snapshot, for a replica that needs entries that the leader has dropped.
// The parts are sent one after another, each after the answer to the former one.
struct snapshot_chunk
{
    log_index index;
    epoch_number snapshotTerm;
    std::string membership;
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    std::string bytes;
    std::int64_t sentAt = 0;

    bool operator==(const snapshot_chunk &) const = default;
};

struct snapshot_response
{
    log_index index;
    // The offset of the next part that the follower needs.
    std::uint64_t nextOffset = 0;
    // The snapshot is installed and synced.
    bool installed = false;
    std::int64_t sentAt = 0;

    bool operator==(const snapshot_response &) const = default;
};

// Sent repeatedly to all control hosts by a replica that is in no membership: it wants to join or,
// when it is founding, to form a new fleet.
struct join_request
{
    bool founding = false;
    // The control hosts of the sender's settings, sorted.
    std::vector<host_id> hosts;

    bool operator==(const join_request &) const = default;
};

// The leader's notice that another incarnation has taken the receiver's place.
struct superseded_notice
{
    bool operator==(const superseded_notice &) const = default;
};

using peer_message_body =
    std::variant<vote_request, vote_response, append_request, append_response, snapshot_chunk,
                 snapshot_response, join_request, superseded_notice>;

struct peer_message
{
    replica_identity from;
    // The incarnation is empty when the sender does not know it; the receiver ignores a message for
    // another incarnation than its own.
    replica_identity to;
    epoch_number term;
    peer_message_body body;

    bool operator==(const peer_message &) const = default;
};

// The largest encoded message. The entries of one append are limited so that they fit.
inline constexpr std::size_t maximumPeerMessageBytes = std::size_t{1} << 20;
// The most JSON text that the commands of one append may need, and so the most for one command.
inline constexpr std::size_t maximumAppendJsonBytes = 800 * std::size_t{1024};

// One JSON object. It must be embedded in other JSON as an object; as a JSON string its length
// could double and pass the limit.
[[nodiscard]] std::string encodePeerMessage(const peer_message &message);

// Throws `error` with `message_too_large` or `message_malformed`.
[[nodiscard]] peer_message decodePeerMessage(std::string_view text);

// The bytes that a command takes as a JSON string, at most: other writers escape all characters
// beyond ASCII, which at most triples their size. Throws `error` with `message_malformed` when the
// text is not valid UTF-8: such text changes when it passes through JSON, and the replicas would
// hold different commands.
[[nodiscard]] std::size_t commandJsonBytes(std::string_view command);

} // namespace kingcuptiller
