#include "kingcuptiller/fleet/fleet_state.h"
#include "kingcuptiller/fleet/fleet_view.h"

#include "../consensus/peer_json.h"
#include "compressed_text.h"

#include <charconv>
#include <limits>
#include <system_error>
#include <type_traits>

// JSON encoding of commands, snapshots and view differences.

namespace kingcuptiller {

namespace {

using internal::arrayField;
using internal::boolField;
using internal::signedField;
using internal::stringField;
using internal::unsignedField;

std::uint32_t uint32Field(const Json::Value &object, const char *name)
{
    const std::uint64_t value = unsignedField(object, name);
    if (value > std::numeric_limits<std::uint32_t>::max())
        internal::reportMalformed(std::string("the field ") + name + " does not fit into 32 bits");
    return static_cast<std::uint32_t>(value);
}

Json::Value toJson(const upstream_incarnation &incarnation)
{
    Json::Value object;
    object["id"] = incarnation.id.text();
    object["born"] = Json::Int64(incarnation.startTimeMs);
    object["sequence"] = Json::UInt64(incarnation.sequence);
    object["address"] = incarnation.address.text();
    object["service"] = incarnation.service.text();
    object["zone"] = incarnation.zone.text();
    object["slots"] = incarnation.slots;
    object["state"] = static_cast<int>(incarnation.state);
    object["cold"] = Json::Int64(incarnation.coldRemaining.count());
    if (incarnation.silent)
        object["silent"] = true;
    return object;
}

upstream_incarnation incarnationFromJson(const Json::Value &object)
{
    upstream_incarnation incarnation;
    incarnation.id = upstream_id(stringField(object, "id"));
    incarnation.startTimeMs = signedField(object, "born");
    incarnation.sequence = unsignedField(object, "sequence");
    incarnation.address = endpoint_address(stringField(object, "address"));
    incarnation.service = service_name(stringField(object, "service"));
    incarnation.zone = zone_name(stringField(object, "zone"));
    incarnation.slots = uint32Field(object, "slots");
    const std::uint64_t state = unsignedField(object, "state");
    if (state > static_cast<std::uint64_t>(upstream_state::terminated))
        internal::reportMalformed("the field state of an upstream is out of range");
    incarnation.state = static_cast<upstream_state>(state);
    incarnation.coldRemaining = milliseconds(signedField(object, "cold"));
    incarnation.silent = object.isMember("silent") && boolField(object, "silent");
    return incarnation;
}

Json::Value toJson(const fleet_entry &entry)
{
    Json::Value object;
    object["address"] = entry.address.text();
    object["region"] = entry.region.text();
    object["zone"] = entry.zone.text();
    object["state"] = static_cast<int>(entry.state);
    return object;
}

fleet_entry entryFromJson(const Json::Value &object)
{
    fleet_entry entry{endpoint_address(stringField(object, "address")),
                      region_name(stringField(object, "region")),
                      zone_name(stringField(object, "zone"))};
    // Entries in snapshots and commands of earlier versions have no state; all of them serve.
    if (!object.isMember("state"))
        return entry;
    const std::uint64_t state = unsignedField(object, "state");
    if (state > static_cast<std::uint64_t>(entry_state::absent))
        internal::reportMalformed("the field state of an entry is out of range");
    entry.state = static_cast<entry_state>(state);
    return entry;
}

template <typename Tag>
Json::Value toJson(const text_identifier<Tag> &name)
{
    return name.text();
}

template <typename List>
Json::Value listToJson(const List &items)
{
    Json::Value list(Json::arrayValue);
    for (const auto &each : items)
        list.append(toJson(each));
    return list;
}

template <typename Name>
std::vector<Name> namesFromJson(const Json::Value &object, const char *field)
{
    std::vector<Name> names;
    for (const Json::Value &each : arrayField(object, field)) {
        if (!each.isString())
            internal::reportMalformed(std::string("the field ") + field
                                      + " contains an element that is not a string");
        names.push_back(Name(each.asString()));
    }
    return names;
}

std::vector<upstream_incarnation> incarnationsFromJson(const Json::Value &object, const char *field)
{
    std::vector<upstream_incarnation> incarnations;
    for (const Json::Value &each : arrayField(object, field))
        incarnations.push_back(incarnationFromJson(each));
    return incarnations;
}

std::vector<fleet_entry> entriesFromJson(const Json::Value &object, const char *field)
{
    std::vector<fleet_entry> entries;
    for (const Json::Value &each : arrayField(object, field))
        entries.push_back(entryFromJson(each));
    return entries;
}

// The key of an accepted configuration in a snapshot.
revision_number versionFromKey(const std::string &key)
{
    std::uint64_t number = 0;
    const char *const end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        internal::reportMalformed("the accepted version " + key + " is not a number");
    return revision_number(number);
}

// A field of a snapshot that snapshots of earlier versions do not have.
template <typename Name>
std::map<Name, std::uint64_t> numbersFromJson(const Json::Value &snapshot, const char *field)
{
    std::map<Name, std::uint64_t> numbers;
    if (!snapshot.isMember(field))
        return numbers;
    const Json::Value &object = internal::field(snapshot, field);
    if (!object.isObject())
        internal::reportMalformed(std::string("the field ") + field + " is not an object");
    for (const std::string &name : object.getMemberNames())
        numbers[Name(name)] = unsignedField(object, name.c_str());
    return numbers;
}

Json::Value toJson(const configure_command &command)
{
    Json::Value object;
    object["kind"] = "configure";
    object["version"] = Json::UInt64(command.version.number());
    object["base"] = Json::UInt64(command.base.number());
    object["document"] = internal::compressText(command.document);
    return object;
}

Json::Value toJson(const evacuate_command &command)
{
    Json::Value object;
    object["kind"] = "evacuate";
    object["zone"] = command.zone.text();
    object["evacuate"] = command.evacuate;
    if (command.precedingOrders)
        object["preceding"] = Json::UInt64(*command.precedingOrders);
    return object;
}

evacuate_command evacuateCommandFromJson(const Json::Value &object)
{
    evacuate_command command{zone_name(stringField(object, "zone")), boolField(object, "evacuate")};
    if (object.isMember("preceding"))
        command.precedingOrders = unsignedField(object, "preceding");
    return command;
}

Json::Value toJson(const registration_command &command)
{
    Json::Value object;
    object["kind"] = "roster";
    object["upstreams"] = listToJson(command.upstreams);
    object["joined"] = listToJson(command.addedEntries);
    object["left"] = listToJson(command.removedEntries);
    return object;
}

} // namespace

std::string encodeFleetCommand(const fleet_command &command)
{
    return internal::writeCompactJson(
        std::visit([](const auto &each) { return toJson(each); }, command));
}

fleet_command decodeFleetCommand(std::string_view text)
{
    const Json::Value object = internal::parseJsonObject(text);
    const std::string kind = stringField(object, "kind");
    if (kind == "configure")
        return configure_command{revision_number(unsignedField(object, "version")),
                                 revision_number(unsignedField(object, "base")),
                                 internal::decompressText(internal::field(object, "document"))};
    if (kind == "evacuate")
        return evacuateCommandFromJson(object);
    if (kind == "roster")
        return registration_command{incarnationsFromJson(object, "upstreams"),
                                    entriesFromJson(object, "joined"),
                                    namesFromJson<endpoint_address>(object, "left")};
    internal::reportMalformed("the kind of fleet command " + kind + " is unknown");
}

std::string fleet_state::snapshot() const
{
    Json::Value object;
    object["commands"] = Json::UInt64(m_appliedCommands);
    object["version"] = Json::UInt64(m_version.number());
    object["document"] = internal::compressText(m_document);
    Json::Value accepted(Json::objectValue);
    for (const auto &[version, digest] : m_acceptedDigests)
        accepted[std::to_string(version.number())] = digest;
    object["accepted"] = accepted;
    object["evacuated"] = listToJson(m_evacuated);
    Json::Value orders(Json::objectValue);
    for (const auto &[zone, count] : m_evacuationOrders)
        orders[zone.text()] = Json::UInt64(count);
    object["evacuationOrders"] = orders;
    Json::Value upstreams(Json::arrayValue);
    for (const auto &[id, incarnation] : m_upstreams)
        upstreams.append(toJson(incarnation));
    object["upstreams"] = upstreams;
    Json::Value terminated(Json::objectValue);
    for (const auto &[id, command] : m_terminatedAt)
        terminated[id.text()] = Json::UInt64(command);
    object["terminatedAt"] = terminated;
    Json::Value entries(Json::arrayValue);
    for (const auto &[address, entry] : m_entries)
        entries.append(toJson(entry));
    object["entries"] = entries;
    return internal::writeCompactJson(object);
}

void fleet_state::restore(std::string_view text)
{
    const Json::Value object = internal::parseJsonObject(text);
    fleet_state state;
    state.m_appliedCommands = unsignedField(object, "commands");
    state.m_version = revision_number(unsignedField(object, "version"));
    state.m_document = internal::decompressText(internal::field(object, "document"));
    const Json::Value &accepted = internal::field(object, "accepted");
    if (!accepted.isObject())
        internal::reportMalformed("the field accepted is not an object");
    for (const std::string &version : accepted.getMemberNames())
        state.m_acceptedDigests[versionFromKey(version)] = stringField(accepted, version.c_str());
    for (const zone_name &zone : namesFromJson<zone_name>(object, "evacuated"))
        state.m_evacuated.insert(zone);
    state.m_evacuationOrders = numbersFromJson<zone_name>(object, "evacuationOrders");
    const auto terminatedAt = numbersFromJson<upstream_id>(object, "terminatedAt");
    for (const upstream_incarnation &incarnation : incarnationsFromJson(object, "upstreams")) {
        state.m_upstreams[incarnation.id] = incarnation;
        if (incarnation.state != upstream_state::terminated)
            continue;
        const auto found = terminatedAt.find(incarnation.id);
        state.m_terminatedAt[incarnation.id] = found == terminatedAt.end() ? 0 : found->second;
    }
    for (const fleet_entry &entry : entriesFromJson(object, "entries"))
        state.m_entries[entry.address] = entry;
    *this = state;
}

std::string encodeFleetDifference(const fleet_difference &difference)
{
    Json::Value object;
    object["since"] = Json::UInt64(difference.baseAppliedCommands);
    object["commands"] = Json::UInt64(difference.appliedCommands);
    object["version"] = Json::UInt64(difference.version.number());
    object["document"] = internal::compressText(difference.document);
    object["evacuated"] = listToJson(difference.evacuated);
    object["upstreams"] = listToJson(difference.upstreams);
    if (difference.entries)
        object["entries"] = listToJson(*difference.entries);
    object["controlHosts"] = listToJson(difference.controlHosts);
    return internal::writeCompactJson(object);
}

fleet_difference decodeFleetDifference(std::string_view text)
{
    const Json::Value object = internal::parseJsonObject(text);
    fleet_difference difference;
    difference.baseAppliedCommands = unsignedField(object, "since");
    difference.appliedCommands = unsignedField(object, "commands");
    difference.version = revision_number(unsignedField(object, "version"));
    difference.document = internal::decompressText(internal::field(object, "document"));
    for (const zone_name &zone : namesFromJson<zone_name>(object, "evacuated"))
        difference.evacuated.insert(zone);
    difference.upstreams = incarnationsFromJson(object, "upstreams");
    if (object.isMember("entries"))
        difference.entries = entriesFromJson(object, "entries");
    difference.controlHosts = namesFromJson<host_id>(object, "controlHosts");
    return difference;
}

std::string encodeUpstreamIncarnation(const upstream_incarnation &incarnation)
{
    return internal::writeCompactJson(toJson(incarnation));
}

upstream_incarnation decodeUpstreamIncarnation(std::string_view text)
{
    return incarnationFromJson(internal::parseJsonObject(text));
}

std::string encodeFleetEntry(const fleet_entry &entry)
{
    return internal::writeCompactJson(toJson(entry));
}

fleet_entry decodeFleetEntry(std::string_view text)
{
    return entryFromJson(internal::parseJsonObject(text));
}

} // namespace kingcuptiller
