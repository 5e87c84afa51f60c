#include "kingcuptiller/accounts/quota_messages.h"

#include "../consensus/peer_json.h"

namespace kingcuptiller {

namespace {

// Longer times in a reply are malformed.
constexpr std::uint64_t maxTimeMs = 600'000;

using internal::arrayField;
using internal::reportMalformed;
using internal::stringField;
using internal::unsignedField;

// The name at the begin of a list with `size` elements.
account_name accountIn(const Json::Value &list, Json::ArrayIndex size)
{
    if (!list.isArray() || list.size() != size || !list[0].isString())
        reportMalformed("an account is not a list of the expected length");
    return account_name(list[0].asString());
}

std::uint32_t countAt(const Json::Value &list, Json::ArrayIndex index)
{
    const Json::Value &value = list[index];
    if (!value.isUInt())
        reportMalformed("a number of an account is out of range");
    return value.asUInt();
}

milliseconds timeField(const Json::Value &object, const char *name)
{
    const std::uint64_t time = unsignedField(object, name);
    if (time > maxTimeMs)
        reportMalformed(std::string("the field ") + name + " is too large");
    return milliseconds(time);
}

} // namespace

// Accounts are written as lists without names of fields, because a message may have hundreds.
std::string encodeCreditRequest(const credit_request &request)
{
    Json::Value accounts(Json::arrayValue);
    for (const credit_usage &each : request.accounts) {
        Json::Value list(Json::arrayValue);
        list.append(each.account.text());
        for (const std::uint32_t count : {each.spent, each.returned, each.owed, each.requested})
            list.append(count);
        accounts.append(list);
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
        request.accounts.push_back({accountIn(each, 5), countAt(each, 1), countAt(each, 2),
                                    countAt(each, 3), countAt(each, 4)});
    return request;
}

std::string encodeCreditReply(const credit_reply &reply)
{
    Json::Value grants(Json::arrayValue);
    for (const credit_grant &each : reply.grants) {
        Json::Value list(Json::arrayValue);
        list.append(each.account.text());
        list.append(each.credits);
        grants.append(list);
    }
    Json::Value constrained(Json::arrayValue);
    for (const constrained_account &each : reply.constrained) {
        Json::Value list(Json::arrayValue);
        list.append(each.account.text());
        list.append(Json::Int64(each.untilRoom.count()));
        constrained.append(list);
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
        reply.grants.push_back({accountIn(each, 2), countAt(each, 1)});
    for (const Json::Value &each : arrayField(object, "constrained"))
        reply.constrained.push_back({accountIn(each, 2), milliseconds(countAt(each, 1))});
    return reply;
}

} // namespace kingcuptiller
