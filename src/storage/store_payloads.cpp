#include "store_payloads.h"

#include "kingcuptiller/values/error.h"

#include <json/json.h>

#include <charconv>
#include <memory>

namespace kingcuptiller::internal {

namespace {

[[noreturn]] void reportDamage(const std::string &what)
{
    throw error(result_code::data_folder_damaged, what);
}

std::string written(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value parsed(const std::string &text)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr) || !value.isObject()
        || !value["host"].isString() || !value["incarnation"].isString())
        reportDamage("a record does not name a replica");
    return value;
}

Json::Value toJson(const replica_identity &replica)
{
    Json::Value value;
    value["host"] = replica.host.text();
    value["incarnation"] = replica.incarnation.text();
    return value;
}

replica_identity replicaOf(const Json::Value &value)
{
    return {host_id(value["host"].asString()), incarnation_id(value["incarnation"].asString())};
}

} // namespace

std::string encodeIdentity(const identity_payload &identity)
{
    Json::Value value = toJson(identity.replica);
    value["founding"] = identity.founding;
    return written(value);
}

identity_payload decodeIdentity(const std::string &payload)
{
    const Json::Value value = parsed(payload);
    if (!value["founding"].isBool())
        reportDamage("the identity file lacks the founding mark");
    return {replicaOf(value), value["founding"].asBool()};
}

log_record encodeVote(const term_vote &vote)
{
    return {record_kind::vote,
            vote.term,
            {},
            vote.candidate ? written(toJson(*vote.candidate)) : std::string()};
}

term_vote decodeVote(const log_record &record)
{
    if (record.payload.empty())
        return {record.term, std::nullopt};
    return {record.term, replicaOf(parsed(record.payload))};
}

log_record encodeSnapshot(const stored_snapshot &snapshot)
{
    return {record_kind::snapshot, snapshot.term, snapshot.index,
            std::to_string(snapshot.membership.size()) + '\n' + snapshot.membership
                + snapshot.state};
}

stored_snapshot decodeSnapshot(const log_record &record)
{
    const std::string &payload = record.payload;
    const char *end = payload.data() + payload.size();
    std::size_t length = 0;
    const auto [rest, failure] = std::from_chars(payload.data(), end, length);
    if (failure != std::errc() || rest == end || *rest != '\n'
        || length > static_cast<std::size_t>(end - rest - 1))
        reportDamage("the snapshot does not say how long its membership is");
    const char *membership = rest + 1;
    return {record.index, record.term, std::string(membership, length),
            std::string(membership + length, end)};
}

} // namespace kingcuptiller::internal
