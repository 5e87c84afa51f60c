#include "kingcuptiller/control/command.h"

#include "json_fields.h"

#include <algorithm>
#include <array>

namespace kingcuptiller {

namespace {

using namespace internal;

// A command holds at most what one JSON-RPC call of 1 MiB or a fleet update brings.
constexpr std::size_t maximumCommandBytes = std::size_t{16} * 1024 * 1024;

template <typename Item>
Json::Value messagesToJson(const std::vector<Item> &items)
{
    return listToJson(items, [](const Item &each) { return toJson(each); });
}

template <typename Item>
std::vector<Item> messagesOf(const Json::Value &document, const char *field)
{
    return listOf<Item>(document, field,
                        [](const Json::Value &each) { return fromJson<Item>(each); });
}

Json::Value write(const entry_key &key)
{
    Json::Value document(Json::objectValue);
    document["host"] = key.host.text();
    document["incarnation"] = key.incarnation.text();
    return document;
}

entry_key readEntryKey(const Json::Value &document)
{
    return {host_id(textOf(document, "host")), incarnation_id(textOf(document, "incarnation"))};
}

constexpr std::array stateNames = {"serving", "leaving", "released", "replaced"};

Json::Value write(const entry_state_change &change)
{
    Json::Value document = write(change.entry);
    document["state"] = stateNames.at(static_cast<std::size_t>(change.state));
    return document;
}

entry_state_change readStateChange(const Json::Value &document)
{
    const std::string text = textOf(document, "state");
    const auto *const found = std::find(stateNames.begin(), stateNames.end(), text);
    if (found == stateNames.end())
        throwField("state", "has the unknown value '" + text + "'");
    return {readEntryKey(document), static_cast<entry_state>(found - stateNames.begin())};
}

Json::Value write(const share_limit &limit)
{
    Json::Value document = write(limit.entry);
    document["upstream"] = limit.upstream.text();
    document["limit"] = limit.limit;
    return document;
}

share_limit readLimit(const Json::Value &document)
{
    return {upstream_id(textOf(document, "upstream")), readEntryKey(document),
            smallNumberOf(document, "limit")};
}

Json::Value write(const share_confirmation &confirmation)
{
    Json::Value document = write(confirmation.entry);
    document["applied"] = Json::UInt64(confirmation.applied.number());
    document["usage"] = messagesToJson(confirmation.usage);
    return document;
}

share_confirmation readConfirmation(const Json::Value &document)
{
    return {readEntryKey(document), assignment_sequence(numberOf(document, "applied")),
            messagesOf<upstream_usage>(document, "usage")};
}

struct body_writer
{
    Json::Value &document;

    void operator()(const change_command &body) const
    {
        document["kind"] = "change";
        document["request"] = toJson(body.request);
        document["review"] = std::string(name(body.review));
        document["reviewMessage"] = body.reviewMessage;
    }
    void operator()(const claims_command &body) const
    {
        document["kind"] = "claims";
        document["claims"] = messagesToJson(body.claims);
    }
    void operator()(const settlements_command &body) const
    {
        document["kind"] = "settlements";
        document["settlements"] = messagesToJson(body.settlements);
    }
    void operator()(const fleet_update &body) const
    {
        const auto any = [](const auto &each) { return write(each); };
        document["kind"] = "fleet";
        document["joined"] = messagesToJson(body.joined);
        document["states"] = listToJson(body.states, any);
        document["retired"] = listToJson(body.retired, any);
        document["upstreams"] = messagesToJson(body.upstreams);
        document["removed"] =
            listToJson(body.removed, [](const auto &each) { return Json::Value(each.text()); });
        document["confirmed"] = listToJson(body.confirmed, any);
        document["limits"] = listToJson(body.limits, any);
    }
    void operator()(const ledger_limits &body) const
    {
        document["kind"] = "ledgerLimits";
        document["retention"] = Json::Int64(body.retention.count());
        document["records"] = Json::UInt64(body.records);
        document["bodyBytes"] = Json::UInt64(body.bodyBytes);
    }
};

fleet_update readFleetUpdate(const Json::Value &document)
{
    fleet_update body;
    body.joined = messagesOf<entry_identity>(document, "joined");
    body.states = listOf<entry_state_change>(document, "states", readStateChange);
    body.retired = listOf<entry_key>(document, "retired", readEntryKey);
    body.upstreams = messagesOf<upstream_announcement>(document, "upstreams");
    body.removed = listOf<upstream_id>(document, "removed", [](const Json::Value &each) {
        return upstream_id(toText(each, "removed"));
    });
    body.confirmed = listOf<share_confirmation>(document, "confirmed", readConfirmation);
    body.limits = listOf<share_limit>(document, "limits", readLimit);
    return body;
}

command_body readBody(const Json::Value &document)
{
    const std::string kind = textOf(document, "kind");
    if (kind == "change")
        return change_command{fromJson<change_request>(member(document, "request")),
                              resultCodeFromName(textOf(document, "review")),
                              textOf(document, "reviewMessage")};
    if (kind == "claims")
        return claims_command{messagesOf<claim>(document, "claims")};
    if (kind == "settlements")
        return settlements_command{messagesOf<settlement>(document, "settlements")};
    if (kind == "fleet")
        return readFleetUpdate(document);
    if (kind == "ledgerLimits")
        return ledger_limits{toMilliseconds(member(document, "retention"), "retention"),
                             numberOf(document, "records"), numberOf(document, "bodyBytes")};
    throwField("kind", "has the unknown value '" + kind + "'");
}

} // namespace

std::string encodeCommand(const command &value)
{
    Json::Value document(Json::objectValue);
    document["time"] = fromWallTime(value.time);
    std::visit(body_writer{document}, value.body);
    return writeJson(document);
}

command decodeCommand(const std::string &text)
{
    const Json::Value document = parseJson(text, maximumCommandBytes);
    return {toWallTime(member(document, "time"), "time"), readBody(document)};
}

} // namespace kingcuptiller
