#include "kingcuptiller/fleet/fleet_state.h"
#include "kingcuptiller/fleet/fleet_view.h"

#include "../consensus/peer_json.h"
#include "packed_text.h"

#include <limits>
#include <type_traits>

// The JSON of commands, snapshots and views.

namespace kingcuptiller {

namespace {

using internal::arrayField;
using internal::boolField;
using internal::signedField;
using internal::stringField;
using internal::unsignedField;

std::uint32_t smallNumber(const Json::Value &object, const char *name)
{
    const std::uint64_t value = unsignedField(object, name);
    if (value > std::numeric_limits<std::uint32_t>::max())
        internal::reportMalformed(std::string("the field ") + name + " is out of range");
    return static_cast<std::uint32_t>(value);
}

Json::Value toJson(const upstream_life &life)
{
    Json::Value object;
    object["id"] = life.id.text();
    object["born"] = Json::Int64(life.bornMs);
    object["sequence"] = Json::UInt64(life.sequence);
    object["address"] = life.address.text();
    object["service"] = life.service.text();
    object["zone"] = life.zone.text();
    object["slots"] = life.slots;
    object["state"] = static_cast<int>(life.state);
    object["cold"] = Json::Int64(life.coldFor.count());
    if (life.silent)
        object["silent"] = true;
    return object;
}

upstream_life lifeFrom(const Json::Value &object)
{
    upstream_life life;
    life.id = upstream_id(stringField(object, "id"));
    life.bornMs = signedField(object, "born");
    life.sequence = unsignedField(object, "sequence");
    life.address = endpoint_address(stringField(object, "address"));
    life.service = service_name(stringField(object, "service"));
    life.zone = zone_name(stringField(object, "zone"));
    life.slots = smallNumber(object, "slots");
    const std::uint64_t state = unsignedField(object, "state");
    if (state > static_cast<std::uint64_t>(upstream_state::gone))
        internal::reportMalformed("the state of an upstream is unknown");
    life.state = static_cast<upstream_state>(state);
    life.coldFor = milliseconds(signedField(object, "cold"));
    life.silent = object.isMember("silent") && boolField(object, "silent");
    return life;
}

Json::Value toJson(const serving_entry &entry)
{
    Json::Value object;
    object["address"] = entry.address.text();
    object["region"] = entry.region.text();
    object["zone"] = entry.zone.text();
    return object;
}

serving_entry entryFrom(const Json::Value &object)
{
    return {endpoint_address(stringField(object, "address")),
            region_name(stringField(object, "region")), zone_name(stringField(object, "zone"))};
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
std::vector<Name> namesFrom(const Json::Value &object, const char *field)
{
    std::vector<Name> names;
    for (const Json::Value &each : arrayField(object, field)) {
        if (!each.isString())
            internal::reportMalformed(std::string("the field ") + field + " holds no names");
        names.push_back(Name(each.asString()));
    }
    return names;
}

std::vector<upstream_life> livesFrom(const Json::Value &object, const char *field)
{
    std::vector<upstream_life> lives;
    for (const Json::Value &each : arrayField(object, field))
        lives.push_back(lifeFrom(each));
    return lives;
}

std::vector<serving_entry> entriesFrom(const Json::Value &object, const char *field)
{
    std::vector<serving_entry> entries;
    for (const Json::Value &each : arrayField(object, field))
        entries.push_back(entryFrom(each));
    return entries;
}

Json::Value toJson(const configure_command &command)
{
    Json::Value object;
    object["kind"] = "configure";
    object["version"] = Json::UInt64(command.version.number());
    object["base"] = Json::UInt64(command.base.number());
    object["document"] = internal::packed(command.document);
    return object;
}

Json::Value toJson(const evacuate_command &command)
{
    Json::Value object;
    object["kind"] = "evacuate";
    object["zone"] = command.zone.text();
    object["evacuate"] = command.evacuate;
    return object;
}

Json::Value toJson(const roster_command &command)
{
    Json::Value object;
    object["kind"] = "roster";
    object["upstreams"] = listToJson(command.upstreams);
    object["joined"] = listToJson(command.joined);
    object["left"] = listToJson(command.left);
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
                                 internal::unpacked(internal::field(object, "document"))};
    if (kind == "evacuate")
        return evacuate_command{zone_name(stringField(object, "zone")),
                                boolField(object, "evacuate")};
    if (kind == "roster")
        return roster_command{livesFrom(object, "upstreams"), entriesFrom(object, "joined"),
                              namesFrom<endpoint_address>(object, "left")};
    internal::reportMalformed("the command " + kind + " is unknown");
}

std::string fleet_state::snapshot() const
{
    Json::Value object;
    object["commands"] = Json::UInt64(m_commands);
    object["version"] = Json::UInt64(m_version.number());
    object["document"] = internal::packed(m_document);
    Json::Value accepted(Json::objectValue);
    for (const auto &[version, digest] : m_accepted)
        accepted[std::to_string(version.number())] = digest;
    object["accepted"] = accepted;
    object["evacuated"] = listToJson(m_evacuated);
    Json::Value upstreams(Json::arrayValue);
    for (const auto &[id, life] : m_upstreams)
        upstreams.append(toJson(life));
    object["upstreams"] = upstreams;
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
    state.m_commands = unsignedField(object, "commands");
    state.m_version = revision_number(unsignedField(object, "version"));
    state.m_document = internal::unpacked(internal::field(object, "document"));
    const Json::Value &accepted = internal::field(object, "accepted");
    for (const std::string &version : accepted.getMemberNames())
        state.m_accepted[revision_number(std::stoull(version))] =
            stringField(accepted, version.c_str());
    for (const zone_name &zone : namesFrom<zone_name>(object, "evacuated"))
        state.m_evacuated.insert(zone);
    for (const upstream_life &life : livesFrom(object, "upstreams"))
        state.m_upstreams[life.id] = life;
    for (const serving_entry &entry : entriesFrom(object, "entries"))
        state.m_entries[entry.address] = entry;
    *this = state;
}

std::string encodeFleetDifference(const fleet_difference &difference)
{
    Json::Value object;
    object["since"] = Json::UInt64(difference.since);
    object["commands"] = Json::UInt64(difference.commands);
    object["version"] = Json::UInt64(difference.version.number());
    object["document"] = internal::packed(difference.document);
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
    difference.since = unsignedField(object, "since");
    difference.commands = unsignedField(object, "commands");
    difference.version = revision_number(unsignedField(object, "version"));
    difference.document = internal::unpacked(internal::field(object, "document"));
    for (const zone_name &zone : namesFrom<zone_name>(object, "evacuated"))
        difference.evacuated.insert(zone);
    difference.upstreams = livesFrom(object, "upstreams");
    if (object.isMember("entries"))
        difference.entries = entriesFrom(object, "entries");
    difference.controlHosts = namesFrom<host_id>(object, "controlHosts");
    return difference;
}

std::string encodeUpstreamLife(const upstream_life &life)
{
    return internal::writeCompactJson(toJson(life));
}

upstream_life decodeUpstreamLife(std::string_view text)
{
    return lifeFrom(internal::parseJsonObject(text));
}

std::string encodeServingEntry(const serving_entry &entry)
{
    return internal::writeCompactJson(toJson(entry));
}

serving_entry decodeServingEntry(std::string_view text)
{
    return entryFrom(internal::parseJsonObject(text));
}

} // namespace kingcuptiller
