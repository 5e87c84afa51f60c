#include "kingcuptiller/transport/control_calls.h"

#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/values/error.h"

namespace kingcuptiller {

namespace {

template <typename Message>
Json::Value listToJson(const char *field, const std::vector<Message> &messages)
{
    Json::Value document(Json::objectValue);
    Json::Value &list = document[field] = Json::Value(Json::arrayValue);
    for (const Message &each : messages)
        list.append(toJson(each));
    return document;
}

template <typename Message>
std::vector<Message> listFromJson(const char *field, const Json::Value &document)
{
    if (!document.isObject() || !document[field].isArray()
        || document[field].size() > maximumListLength)
        throw error(result_code::message_malformed,
                    std::string("the message lacks the list '") + field + "'");
    std::vector<Message> messages;
    messages.reserve(document[field].size());
    for (const Json::Value &each : document[field])
        messages.push_back(fromJson<Message>(each));
    return messages;
}

} // namespace

Json::Value claimsToJson(const std::vector<claim> &claims)
{
    return listToJson("claims", claims);
}

std::vector<claim> claimsFromJson(const Json::Value &document)
{
    return listFromJson<claim>("claims", document);
}

Json::Value claimAnswersToJson(const std::vector<claim_answer> &answers)
{
    return listToJson("answers", answers);
}

std::vector<claim_answer> claimAnswersFromJson(const Json::Value &document)
{
    return listFromJson<claim_answer>("answers", document);
}

Json::Value settlementsToJson(const std::vector<settlement> &settlements)
{
    return listToJson("settlements", settlements);
}

std::vector<settlement> settlementsFromJson(const Json::Value &document)
{
    return listFromJson<settlement>("settlements", document);
}

} // namespace kingcuptiller
