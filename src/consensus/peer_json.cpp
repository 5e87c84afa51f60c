#include "peer_json.h"

#include "kingcuptiller/values/error.h"

#include <openssl/evp.h>

#include <exception>
#include <memory>

namespace kingcuptiller::internal {

namespace {

// Valid messages nest at most four levels. The limit prevents a stack overflow on deeper input.
constexpr int maximumNestingDepth = 16;

} // namespace

void reportMalformed(const std::string &what)
{
    throw error(result_code::message_malformed, "malformed message: " + what);
}

std::string writeCompactJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

Json::Value parseJsonObject(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = maximumNestingDepth;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    Json::String problem;
    bool succeeded = false;
    try {
        succeeded = reader->parse(text.data(), text.data() + text.size(), &value, &problem);
    } catch (const std::exception &failure) {
        // jsoncpp throws when the nesting exceeds `stackLimit`.
        problem = failure.what();
    }
    if (!succeeded)
        reportMalformed(problem);
    if (!value.isObject())
        reportMalformed("the JSON text is not an object");
    return value;
}

const Json::Value &field(const Json::Value &object, const char *name)
{
    if (!object.isObject() || !object.isMember(name))
        reportMalformed(std::string("the field ") + name + " is missing");
    return object[name];
}

std::string stringField(const Json::Value &object, const char *name)
{
    const Json::Value &value = field(object, name);
    if (!value.isString())
        reportMalformed(std::string("the field ") + name + " is not a string");
    return value.asString();
}

bool boolField(const Json::Value &object, const char *name)
{
    const Json::Value &value = field(object, name);
    if (!value.isBool())
        reportMalformed(std::string("the field ") + name + " is not a boolean");
    return value.asBool();
}

std::uint64_t unsignedField(const Json::Value &object, const char *name)
{
    const Json::Value &value = field(object, name);
    if (value.type() != Json::intValue && value.type() != Json::uintValue)
        reportMalformed(std::string("the field ") + name + " is not an integer");
    if (!value.isUInt64())
        reportMalformed(std::string("the field ") + name + " is out of range");
    return value.asUInt64();
}

std::int64_t signedField(const Json::Value &object, const char *name)
{
    const Json::Value &value = field(object, name);
    if ((value.type() != Json::intValue && value.type() != Json::uintValue) || !value.isInt64())
        reportMalformed(std::string("the field ") + name + " is not a 64-bit signed integer");
    return value.asInt64();
}

const Json::Value &arrayField(const Json::Value &object, const char *name)
{
    const Json::Value &value = field(object, name);
    if (!value.isArray())
        reportMalformed(std::string("the field ") + name + " is not an array");
    return value;
}

Json::Value toJson(const replica_identity &replica)
{
    Json::Value value;
    value["host"] = replica.host.text();
    value["incarnation"] = replica.incarnation.text();
    return value;
}

replica_identity replicaIdentityFromJson(const Json::Value &value)
{
    return {host_id(stringField(value, "host")), incarnation_id(stringField(value, "incarnation"))};
}

std::string toBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string fromBase64(const std::string &text)
{
    if (text.empty())
        return {};
    std::string bytes(text.size(), '\0');
    const int length = text.size() % 4 != 0
        ? -1
        : EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                          reinterpret_cast<const unsigned char *>(text.data()),
                          static_cast<int>(text.size()));
    if (length < 0)
        reportMalformed("binary data is not valid base64");
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace kingcuptiller::internal
