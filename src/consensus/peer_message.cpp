#include "kingcuptiller/consensus/peer_message.h"

#include "kingcuptiller/consensus/membership.h"
#include "kingcuptiller/values/error.h"

#include "peer_json.h"

#include <algorithm>
#include <array>

namespace kingcuptiller {

namespace {

using internal::boolField;
using internal::field;
using internal::reportMalformed;
using internal::signedField;
using internal::stringField;
using internal::unsignedField;

// The values of the field "kind", in the order of the alternatives of `peer_message_body`.
constexpr std::array<const char *, std::variant_size_v<peer_message_body>> messageKindNames = {
    "vote_request",  "vote_answer",     "append_request", "append_answer",
    "snapshot_part", "snapshot_answer", "join_request",   "superseded_notice"};

struct entry_kind_name
{
    record_kind kind;
    const char *text;
};
constexpr std::array<entry_kind_name, 3> entryKindNames = {{{record_kind::command, "command"},
                                                            {record_kind::membership, "membership"},
                                                            {record_kind::empty, "empty"}}};

Json::Value toJson(const log_record &entry)
{
    Json::Value value;
    value["term"] = entry.term.number();
    const auto *const kind =
        std::find_if(entryKindNames.begin(), entryKindNames.end(),
                     [&](const auto &known) { return known.kind == entry.kind; });
    if (kind == entryKindNames.end())
        throw error(result_code::internal_fault, "the record kind is not a log entry kind");
    value["kind"] = kind->text;
    value["payload"] = entry.payload;
    return value;
}

log_record entryFromJson(const Json::Value &value, log_index index)
{
    const std::string kindName = stringField(value, "kind");
    const auto *const kind =
        std::find_if(entryKindNames.begin(), entryKindNames.end(),
                     [&](const auto &known) { return kindName == known.text; });
    if (kind == entryKindNames.end())
        reportMalformed("unknown log entry kind");
    log_record entry{kind->kind, epoch_number(unsignedField(value, "term")), index,
                     stringField(value, "payload")};
    if (entry.kind == record_kind::membership)
        static_cast<void>(decodeMembership(entry.payload));
    return entry;
}

Json::Value bodyToJson(const vote_request &body)
{
    Json::Value value;
    value["preVote"] = body.preVote;
    value["lastIndex"] = body.lastIndex.number();
    value["lastTerm"] = body.lastTerm.number();
    return value;
}

Json::Value bodyToJson(const vote_response &body)
{
    Json::Value value;
    value["preVote"] = body.preVote;
    value["granted"] = body.granted;
    return value;
}

Json::Value bodyToJson(const append_request &body)
{
    Json::Value value;
    value["previousIndex"] = body.previousIndex.number();
    value["previousTerm"] = body.previousTerm.number();
    value["entries"] = Json::Value(Json::arrayValue);
    for (const log_record &entry : body.entries)
        value["entries"].append(toJson(entry));
    value["committed"] = body.committed.number();
    value["sentAt"] = body.sentAt;
    return value;
}

Json::Value bodyToJson(const append_response &body)
{
    Json::Value value;
    value["matches"] = body.matches;
    value["index"] = body.index.number();
    value["sentAt"] = body.sentAt;
    return value;
}

Json::Value bodyToJson(const snapshot_chunk &body)
{
    Json::Value value;
    value["index"] = body.index.number();
    value["snapshotTerm"] = body.snapshotTerm.number();
    value["membership"] = body.membership;
    value["offset"] = body.offset;
    value["totalBytes"] = body.totalBytes;
    value["bytes"] = internal::toBase64(body.bytes);
    value["sentAt"] = body.sentAt;
    return value;
}

Json::Value bodyToJson(const snapshot_response &body)
{
    Json::Value value;
    value["index"] = body.index.number();
    value["nextOffset"] = body.nextOffset;
    value["installed"] = body.installed;
    value["sentAt"] = body.sentAt;
    return value;
}

Json::Value bodyToJson(const join_request &body)
{
    Json::Value value;
    value["founding"] = body.founding;
    value["hosts"] = Json::Value(Json::arrayValue);
    for (const host_id &host : body.hosts)
        value["hosts"].append(host.text());
    return value;
}

Json::Value bodyToJson(const superseded_notice &)
{
    return {Json::objectValue};
}

append_request appendRequestFromJson(const Json::Value &value)
{
    append_request body{log_index(unsignedField(value, "previousIndex")),
                        epoch_number(unsignedField(value, "previousTerm")),
                        {},
                        log_index(unsignedField(value, "committed")),
                        signedField(value, "sentAt")};
    log_index index = body.previousIndex;
    for (const Json::Value &entry : internal::arrayField(value, "entries")) {
        index = index.next();
        body.entries.push_back(entryFromJson(entry, index));
    }
    return body;
}

snapshot_chunk snapshotChunkFromJson(const Json::Value &value)
{
    snapshot_chunk body{log_index(unsignedField(value, "index")),
                        epoch_number(unsignedField(value, "snapshotTerm")),
                        stringField(value, "membership"),
                        unsignedField(value, "offset"),
                        unsignedField(value, "totalBytes"),
                        internal::fromBase64(stringField(value, "bytes")),
                        signedField(value, "sentAt")};
    static_cast<void>(decodeMembership(body.membership));
    if (body.totalBytes > maximumPayloadBytes || body.offset > body.totalBytes
        || body.bytes.size() > body.totalBytes - body.offset)
        reportMalformed("the snapshot or the end of its chunk exceeds the permitted size");
    return body;
}

join_request joinRequestFromJson(const Json::Value &value)
{
    join_request body{boolField(value, "founding"), {}};
    for (const Json::Value &host : internal::arrayField(value, "hosts")) {
        if (!host.isString())
            reportMalformed("an element of the field hosts is not a string");
        body.hosts.emplace_back(host.asString());
    }
    return body;
}

peer_message_body bodyFromJson(const std::string &kind, const Json::Value &value)
{
    if (kind == messageKindNames[0])
        return vote_request{boolField(value, "preVote"),
                            log_index(unsignedField(value, "lastIndex")),
                            epoch_number(unsignedField(value, "lastTerm"))};
    if (kind == messageKindNames[1])
        return vote_response{boolField(value, "preVote"), boolField(value, "granted")};
    if (kind == messageKindNames[2])
        return appendRequestFromJson(value);
    if (kind == messageKindNames[3])
        return append_response{boolField(value, "matches"),
                               log_index(unsignedField(value, "index")),
                               signedField(value, "sentAt")};
    if (kind == messageKindNames[4])
        return snapshotChunkFromJson(value);
    if (kind == messageKindNames[5])
        return snapshot_response{log_index(unsignedField(value, "index")),
                                 unsignedField(value, "nextOffset"), boolField(value, "installed"),
                                 signedField(value, "sentAt")};
    if (kind == messageKindNames[6])
        return joinRequestFromJson(value);
    if (kind == messageKindNames[7])
        return superseded_notice{};
    reportMalformed("unknown message kind");
}

// Returns the length in bytes of the UTF-8 sequence at the start of `text`, or 0 if it is invalid.
std::size_t utf8SequenceLength(std::string_view text)
{
    const auto byte = [&](std::size_t position) {
        return position < text.size() ? static_cast<unsigned char>(text[position]) : 0U;
    };
    const unsigned first = byte(0);
    if (first < 0x80)
        return 1;
    const std::size_t length = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
    if (first < 0xc2 || first > 0xf4)
        return 0;
    for (std::size_t position = 1; position < length; ++position) {
        if ((byte(position) & 0xc0U) != 0x80)
            return 0;
    }
    // Rejects overlong encodings, surrogates and code points above U+10FFFF.
    const unsigned second = byte(1);
    if ((first == 0xe0 && second < 0xa0) || (first == 0xed && second > 0x9f)
        || (first == 0xf0 && second < 0x90) || (first == 0xf4 && second > 0x8f))
        return 0;
    return length;
}

} // namespace

std::string encodePeerMessage(const peer_message &message)
{
    Json::Value value;
    value["from"] = internal::toJson(message.from);
    value["to"] = internal::toJson(message.to);
    value["term"] = message.term.number();
    value["kind"] = messageKindNames[message.body.index()];
    value["body"] = std::visit([](const auto &body) { return bodyToJson(body); }, message.body);
    return internal::writeCompactJson(value);
}

peer_message decodePeerMessage(std::string_view text)
{
    if (text.size() > maximumPeerMessageBytes)
        throw error(result_code::message_too_large, "the message is larger than 1 MiB");
    const Json::Value value = internal::parseJsonObject(text);
    return {internal::replicaIdentityFromJson(field(value, "from")),
            internal::replicaIdentityFromJson(field(value, "to")),
            epoch_number(unsignedField(value, "term")),
            bodyFromJson(stringField(value, "kind"), field(value, "body"))};
}

std::size_t commandJsonBytesUpperBound(std::string_view command)
{
    std::size_t bytes = 2;
    while (!command.empty()) {
        const std::size_t length = utf8SequenceLength(command);
        if (length == 0)
            reportMalformed("the command is not valid UTF-8");
        const char first = command.front();
        if (length > 1)
            bytes += 3 * length;
        else if (static_cast<unsigned char>(first) < 0x20 || first == 0x7f)
            bytes += 6;
        else
            bytes += first == '"' || first == '\\' || first == '/' ? 2 : 1;
        command.remove_prefix(length);
    }
    return bytes;
}

} // namespace kingcuptiller
