#include "archive.h"

#include <cpprest/asyncrt_utils.h>
#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace kingcuptiller {

namespace internal {

template <>
struct enumeration_names<stop_scope>
{
    static constexpr const char *list[] = {"upstream", "host", "zone", "region"};
};

template <>
struct enumeration_names<settlement_kind>
{
    static constexpr const char *list[] = {"completed", "released"};
};

// `Value` is const when writing. Argument-dependent lookup finds these from the archives, because
// the archives live in this namespace.
template <typename Value, typename Message>
concept describes = std::same_as<std::remove_const_t<Value>, Message>;

template <typename Archive, describes<service_target> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("latency", value.latency);
    archive.field("successPerMille", value.successPerMille);
    archive.field("worth", value.worth);
}

template <typename Archive, describes<work_class> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("name", value.name);
    archive.field("rank", value.rank);
    archive.field("idempotent", value.idempotent);
    archive.field("target", value.target);
    archive.field("maximumDeadline", value.maximumDeadline);
}

template <typename Archive, describes<planned_stop> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("id", value.id);
    archive.field("scope", value.scope);
    archive.field("subject", value.subject);
    archive.field("start", value.start);
    archive.field("end", value.end);
}

template <typename Archive, describes<configuration> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("revision", value.revision);
    archive.field("classes", value.classes);
    archive.field("stops", value.stops);
}

template <typename Archive, describes<upstream_announcement> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("id", value.id);
    archive.field("incarnation", value.incarnation);
    archive.field("address", value.address);
    archive.field("region", value.region);
    archive.field("zone", value.zone);
    archive.field("workClass", value.workClass);
    archive.field("slots", value.slots);
    archive.field("connections", value.connections);
    archive.field("load", value.load);
    archive.field("lifetime", value.lifetime);
    archive.field("leaving", value.leaving);
}

template <typename Archive, describes<entry_identity> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("host", value.host);
    archive.field("incarnation", value.incarnation);
    archive.field("address", value.address);
    archive.field("region", value.region);
    archive.field("zone", value.zone);
}

template <typename Archive, describes<upstream_usage> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("id", value.id);
    archive.field("incarnation", value.incarnation);
    archive.field("inFlight", value.inFlight);
}

template <typename Archive, describes<class_demand> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("workClass", value.workClass);
    archive.field("concurrency", value.concurrency);
    archive.field("arrivalsPerSecond", value.arrivalsPerSecond);
}

template <typename Archive, describes<region_flow> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("workClass", value.workClass);
    archive.field("origin", value.origin);
    archive.field("destination", value.destination);
    archive.field("forwarded", value.forwarded);
}

template <typename Archive, describes<service_counts> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("workClass", value.workClass);
    archive.field("origin", value.origin);
    archive.field("inTime", value.inTime);
    archive.field("late", value.late);
    archive.field("refused", value.refused);
    archive.field("unknown", value.unknown);
    archive.field("codes", value.codes);
    archive.field("codeCounts", value.codeCounts);
}

template <typename Archive, describes<entry_sync_request> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("entry", value.entry);
    archive.field("leaving", value.leaving);
    archive.field("appliedRevision", value.appliedRevision);
    archive.field("appliedAssignment", value.appliedAssignment);
    archive.field("usage", value.usage);
    archive.field("demand", value.demand);
    archive.field("flows", value.flows);
    archive.field("service", value.service);
    archive.field("announcements", value.announcements);
    archive.field("withdrawals", value.withdrawals);
}

template <typename Archive, describes<upstream_assignment> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("id", value.id);
    archive.field("incarnation", value.incarnation);
    archive.field("address", value.address);
    archive.field("region", value.region);
    archive.field("zone", value.zone);
    archive.field("workClass", value.workClass);
    archive.field("limit", value.limit);
    archive.field("connectionLimit", value.connectionLimit);
    archive.field("leaving", value.leaving);
    archive.field("age", value.age);
}

template <typename Archive, describes<upstream_load> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("id", value.id);
    archive.field("load", value.load);
    archive.field("age", value.age);
}

template <typename Archive, describes<entry_listing> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("entry", value.entry);
    archive.field("serving", value.serving);
}

template <typename Archive, describes<entry_sync_response> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("epoch", value.epoch);
    archive.field("lease", value.lease);
    archive.field("revision", value.revision);
    archive.field("newConfiguration", value.newConfiguration);
    archive.field("assignment", value.assignment);
    archive.field("newAssignments", value.newAssignments);
    archive.field("entries", value.entries);
    archive.field("loads", value.loads);
    archive.field("flows", value.flows);
    archive.field("released", value.released);
}

template <typename Archive, describes<recorded_answer> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("status", value.status);
    archive.field("contentType", value.contentType);
    archive.bytes("body", value.body);
    archive.field("bodyDropped", value.bodyDropped);
}

template <typename Archive, describes<claim> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("key", value.key);
    archive.field("workClass", value.workClass);
    archive.field("issueTime", value.issueTime);
    archive.field("bodyHash", value.bodyHash);
    archive.field("attempt", value.attempt);
    archive.field("entry", value.entry);
    archive.field("entryIncarnation", value.entryIncarnation);
    archive.field("deadline", value.deadline);
}

template <typename Archive, describes<claim_answer> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("attempt", value.attempt);
    archive.field("code", value.code);
    archive.field("answer", value.answer);
}

template <typename Archive, describes<settlement> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("key", value.key);
    archive.field("attempt", value.attempt);
    archive.field("kind", value.kind);
    archive.field("answer", value.answer);
}

template <typename Archive, describes<change_request> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("id", value.id);
    archive.field("base", value.base);
    archive.field("putClasses", value.putClasses);
    archive.field("removeClasses", value.removeClasses);
    archive.field("planStops", value.planStops);
    archive.field("withdrawStops", value.withdrawStops);
}

template <typename Archive, describes<change_answer> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("code", value.code);
    archive.field("revision", value.revision);
    archive.field("message", value.message);
}

template <typename Archive, describes<entry_report> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("listing", value.listing);
    archive.field("appliedRevision", value.appliedRevision);
    archive.field("leaseLeft", value.leaseLeft);
}

template <typename Archive, describes<upstream_report> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("announcement", value.announcement);
    archive.field("grantedSlots", value.grantedSlots);
    archive.field("lastHeard", value.lastHeard);
}

template <typename Archive, describes<replica_report> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("host", value.host);
    archive.field("incarnation", value.incarnation);
    archive.field("role", value.role);
    archive.field("matched", value.matched);
}

template <typename Archive, describes<fleet_event> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("time", value.time);
    archive.field("kind", value.kind);
    archive.field("detail", value.detail);
}

template <typename Archive, describes<state_report> Value>
void describe(Archive &archive, Value &value)
{
    archive.field("leader", value.leader);
    archive.field("epoch", value.epoch);
    archive.field("committed", value.committed);
    archive.field("current", value.current);
    archive.field("entries", value.entries);
    archive.field("upstreams", value.upstreams);
    archive.field("replicas", value.replicas);
    archive.field("events", value.events);
    archive.field("service", value.service);
}

std::string encodeBytes(const std::string &bytes)
{
    return utility::conversions::to_base64(std::vector<unsigned char>(bytes.begin(), bytes.end()));
}

std::string decodeBytes(const std::string &text, const std::string &field)
{
    try {
        const std::vector<unsigned char> bytes = utility::conversions::from_base64(text);
        return {bytes.begin(), bytes.end()};
    } catch (const std::exception &) {
        throwMalformed(field, "is not base64");
    }
}

} // namespace internal

template <typename Value>
Json::Value toJson(const Value &value)
{
    Json::Value document(Json::objectValue);
    internal::json_writer writer(document);
    describe(writer, value);
    return document;
}

template <typename Value>
Value fromJson(const Json::Value &document)
{
    Value value;
    internal::json_reader reader(document);
    describe(reader, value);
    return value;
}

// One line for each message type: the templates above are compiled here only.
#define KCT_INSTANTIATE_CODEC(type) \
    template Json::Value toJson<type>(const type &); \
    template type fromJson<type>(const Json::Value &)

KCT_INSTANTIATE_CODEC(service_target);
KCT_INSTANTIATE_CODEC(work_class);
KCT_INSTANTIATE_CODEC(planned_stop);
KCT_INSTANTIATE_CODEC(configuration);
KCT_INSTANTIATE_CODEC(upstream_announcement);
KCT_INSTANTIATE_CODEC(entry_identity);
KCT_INSTANTIATE_CODEC(upstream_usage);
KCT_INSTANTIATE_CODEC(class_demand);
KCT_INSTANTIATE_CODEC(region_flow);
KCT_INSTANTIATE_CODEC(service_counts);
KCT_INSTANTIATE_CODEC(entry_sync_request);
KCT_INSTANTIATE_CODEC(upstream_assignment);
KCT_INSTANTIATE_CODEC(upstream_load);
KCT_INSTANTIATE_CODEC(entry_listing);
KCT_INSTANTIATE_CODEC(entry_sync_response);
KCT_INSTANTIATE_CODEC(recorded_answer);
KCT_INSTANTIATE_CODEC(claim);
KCT_INSTANTIATE_CODEC(claim_answer);
KCT_INSTANTIATE_CODEC(settlement);
KCT_INSTANTIATE_CODEC(change_request);
KCT_INSTANTIATE_CODEC(change_answer);
KCT_INSTANTIATE_CODEC(entry_report);
KCT_INSTANTIATE_CODEC(upstream_report);
KCT_INSTANTIATE_CODEC(replica_report);
KCT_INSTANTIATE_CODEC(fleet_event);
KCT_INSTANTIATE_CODEC(state_report);

#undef KCT_INSTANTIATE_CODEC

Json::Value parseJson(std::string_view text, std::size_t limitBytes)
{
    if (text.size() > limitBytes)
        throw error(result_code::message_too_large,
                    "a message of " + std::to_string(text.size()) + " bytes exceeds the limit of "
                        + std::to_string(limitBytes));
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    // A deeper document is no message of ours; jsoncpp's parser is recursive.
    constexpr int deepestNesting = 32;
    builder["stackLimit"] = deepestNesting;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value document;
    std::string problem;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &document, &problem))
            return document;
    } catch (const Json::Exception &exception) {
        problem = exception.what();
    }
    throw error(result_code::message_malformed, "no valid JSON: " + problem);
}

std::string writeJson(const Json::Value &document)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, document);
}

} // namespace kingcuptiller
