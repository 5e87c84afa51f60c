#include "state_document.h"

#include "json_fields.h"

namespace kingcuptiller::internal {

namespace {

constexpr std::uint64_t format = 1;
// Ten times the largest fleet in docs/CAPACITY.md; a snapshot comes from a peer or the own disk.
constexpr std::size_t maximumDocumentBytes = std::size_t{1} << 30U;

Json::Value incarnations(const std::vector<incarnation_id> &all)
{
    return listToJson(all, [](const auto &each) { return Json::Value(each.text()); });
}

std::vector<incarnation_id> incarnationsOf(const Json::Value &document, const char *field)
{
    return listOf<incarnation_id>(document, field, [field](const Json::Value &each) {
        return incarnation_id(toText(each, field));
    });
}

Json::Value write(const entry_record &record)
{
    Json::Value document(Json::objectValue);
    document["identity"] = toJson(record.identity);
    document["state"] = static_cast<unsigned>(record.state);
    document["assignment"] = Json::UInt64(record.assignment.number());
    document["left"] = Json::UInt64(record.left.number());
    document["former"] = incarnations(record.former);
    return document;
}

entry_record readEntry(const Json::Value &document)
{
    entry_record record;
    record.identity = fromJson<entry_identity>(member(document, "identity"));
    record.state = static_cast<entry_state>(numberOf(document, "state", 3));
    record.assignment = assignment_sequence(numberOf(document, "assignment"));
    record.left = assignment_sequence(numberOf(document, "left"));
    record.former = incarnationsOf(document, "former");
    return record;
}

Json::Value writeShare(const std::pair<const entry_key, slot_share> &share)
{
    Json::Value document(Json::objectValue);
    document["host"] = share.first.host.text();
    document["incarnation"] = share.first.incarnation.text();
    document["limit"] = share.second.limit;
    document["counted"] = share.second.counted;
    document["changed"] = Json::UInt64(share.second.changed.number());
    return document;
}

Json::Value write(const upstream_record &record)
{
    Json::Value document(Json::objectValue);
    document["announcement"] = toJson(record.announcement);
    document["state"] = static_cast<unsigned>(record.state);
    document["registered"] = fromWallTime(record.registered);
    document["former"] = incarnations(record.former);
    document["shares"] = listToJson(record.shares, writeShare);
    return document;
}

upstream_record readUpstream(const Json::Value &document)
{
    upstream_record record;
    record.announcement = fromJson<upstream_announcement>(member(document, "announcement"));
    record.state = static_cast<upstream_state>(numberOf(document, "state", 2));
    record.registered = toWallTime(member(document, "registered"), "registered");
    record.former = incarnationsOf(document, "former");
    for (const Json::Value &each : member(document, "shares")) {
        const entry_key key{host_id(textOf(each, "host")),
                            incarnation_id(textOf(each, "incarnation"))};
        record.shares[key] = {smallNumberOf(each, "limit"), smallNumberOf(each, "counted"),
                              assignment_sequence(numberOf(each, "changed"))};
    }
    return record;
}

Json::Value write(const configuration_store::remembered_answer &remembered)
{
    Json::Value document = toJson(remembered.answer);
    document["id"] = remembered.id.text();
    return document;
}

configuration_store readConfigurations(const Json::Value &document)
{
    const auto answers = listOf<configuration_store::remembered_answer>(
        document, "answers", [](const Json::Value &each) {
            return configuration_store::remembered_answer{change_id(textOf(each, "id")),
                                                          fromJson<change_answer>(each)};
        });
    return {fromJson<configuration>(member(document, "configuration")),
            {answers.begin(), answers.end()},
            toMilliseconds(member(document, "longestDeadline"), "longestDeadline")};
}

} // namespace

Json::Value stateDocument(wall_time time, const configuration_store &configurations,
                          const fleet_registry &fleet)
{
    Json::Value document(Json::objectValue);
    document["format"] = Json::UInt64(format);
    document["time"] = fromWallTime(time);
    document["configuration"] = toJson(configurations.current());
    document["answers"] =
        listToJson(configurations.answers(), [](const auto &each) { return write(each); });
    document["longestDeadline"] = Json::Int64(configurations.longestDeadline().count());
    document["sequence"] = Json::UInt64(fleet.sequence().number());
    document["entries"] =
        listToJson(fleet.entries(), [](const auto &each) { return write(each.second); });
    document["upstreams"] =
        listToJson(fleet.upstreams(), [](const auto &each) { return write(each.second); });
    return document;
}

void readStateDocument(const std::string &text, wall_time &time,
                       configuration_store &configurations, fleet_registry &fleet)
{
    const Json::Value document = parseJson(text, maximumDocumentBytes);
    if (numberOf(document, "format") != format)
        throwField("format", "is not that of this release");
    time = toWallTime(member(document, "time"), "time");
    configurations = readConfigurations(document);
    fleet.restore(assignment_sequence(numberOf(document, "sequence")),
                  listOf<entry_record>(document, "entries", readEntry),
                  listOf<upstream_record>(document, "upstreams", readUpstream));
}

} // namespace kingcuptiller::internal
