#include "kingcuptiller/accounts/quota_messages.h"

#include "../consensus/peer_json.h"

#include <limits>

namespace kingcuptiller {

namespace {

// Longer times in a reply are malformed.
constexpr std::uint64_t maxTimeMs = 600'000;

using internal::arrayField;
using internal::reportMalformed;
using internal::stringField;
using internal::unsignedField;

std::uint32_t countField(const Json::Value &object, const char *name)
{
    const std::uint64_t count = unsignedField(object, name);
    if (count > std::numeric_limits<std::uint32_t>::max())
        reportMalformed(std::string("the field ") + name + " is too large");
    return static_cast<std::uint32_t>(count);
}

milliseconds timeField(const Json::Value &object, const char *name)
{
    const std::uint64_t time = unsignedField(object, name);
    if (time > maxTimeMs)
        reportMalformed(std::string("the field ") + name + " is too large");
    return milliseconds(time);
}

} // namespace

std::string encodeCreditRequest(const credit_request &request)
{
    Json::Value accounts(Json::arrayValue);
    for (const credit_usage &each : request.accounts) {
        Json::Value object;
        object["name"] = each.account.text();
        object["spent"] = each.spent;
        object["returned"] = each.returned;
        object["owed"] = each.owed;
        object["requested"] = each.requested;
        accounts.append(object);
    }
    Json::Value object;
    object["entry"] = request.entry.text();
    object["run"] = Json::UInt64(request.run);
    object["sequence"] = Json::UInt64(request.sequence);
    object["accounts"] = accounts;
    return internal::writeCompactJson(object);
}

credit_request decodeCreditRequest(std::string_view text)
{
    const Json::Value object = internal::parseJsonObject(text);
    credit_request request;
    request.entry = endpoint_address(stringField(object, "entry"));
    request.run = unsignedField(object, "run");
    request.sequence = unsignedField(object, "sequence");
    for (const Json::Value &each : arrayField(object, "accounts"))
        request.accounts.push_back({account_name(stringField(each, "name")),
                                    countField(each, "spent"), countField(each, "returned"),
                                    countField(each, "owed"), countField(each, "requested")});
    return request;
}

std::string encodeCreditReply(const credit_reply &reply)
{
    Json::Value grants(Json::arrayValue);
    for (const credit_grant &each : reply.grants) {
        Json::Value object;
        object["name"] = each.account.text();
        object["credits"] = each.credits;
        grants.append(object);
    }
    Json::Value constrained(Json::arrayValue);
    for (const constrained_account &each : reply.constrained) {
        Json::Value object;
        object["name"] = each.account.text();
        object["until_room_ms"] = Json::Int64(each.untilRoom.count());
        constrained.append(object);
    }
    Json::Value object;
    object["sequence"] = Json::UInt64(reply.sequence);
    object["lifetime_ms"] = Json::Int64(reply.lifetime.count());
    object["interval_ms"] = Json::Int64(reply.interval.count());
    object["grants"] = grants;
    object["constrained"] = constrained;
    return internal::writeCompactJson(object);
}

credit_reply decodeCreditReply(std::string_view text)
{
    const Json::Value object = internal::parseJsonObject(text);
    credit_reply reply;
    reply.sequence = unsignedField(object, "sequence");
    reply.lifetime = timeField(object, "lifetime_ms");
    reply.interval = timeField(object, "interval_ms");
    for (const Json::Value &each : arrayField(object, "grants"))
        reply.grants.push_back(
            {account_name(stringField(each, "name")), countField(each, "credits")});
    for (const Json::Value &each : arrayField(object, "constrained"))
        reply.constrained.push_back(
            {account_name(stringField(each, "name")), timeField(each, "until_room_ms")});
    return reply;
}

} // namespace kingcuptiller
