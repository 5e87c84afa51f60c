#pragma once

#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/values/error.h"

#include <concepts>
#include <limits>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

// The two archives of the codec. Each message lists its fields once, in `describe(archive, value)`;
// `json_writer` and `json_reader` go through that list, so a field cannot be written and not read.

namespace kingcuptiller::internal {

template <typename Value>
concept numeric_field = std::is_arithmetic_v<Value> && !std::same_as<Value, bool>;

// Raw bytes; base64 in JSON because JSON text must be UTF-8.
std::string encodeBytes(const std::string &bytes);
std::string decodeBytes(const std::string &text, const std::string &field);

// Names of the enumerators in JSON, in the order of their values.
template <typename Enumeration>
struct enumeration_names;

[[noreturn]] inline void throwMalformed(const std::string &field, const std::string &problem)
{
    throw error(result_code::message_malformed, "field '" + field + "' " + problem);
}

class json_writer
{
public:
    explicit json_writer(Json::Value &document)
        : m_document(document)
    {
    }

    template <typename Value>
    void field(const char *fieldName, const Value &value)
    {
        m_document[fieldName] = encode(value);
    }

    template <typename Value>
    void field(const char *fieldName, const std::optional<Value> &value)
    {
        if (value)
            m_document[fieldName] = encode(*value);
    }

    void bytes(const char *fieldName, const std::string &value)
    {
        m_document[fieldName] = encodeBytes(value);
    }

private:
    static Json::Value encode(bool value) { return value; }
    static Json::Value encode(const std::string &value) { return value; }
    static Json::Value encode(milliseconds value) { return Json::Int64(value.count()); }
    static Json::Value encode(wall_time value) { return Json::Int64(toUnixMilliseconds(value)); }
    static Json::Value encode(result_code value) { return std::string(name(value)); }

    template <numeric_field Value>
    static Json::Value encode(Value value)
    {
        if constexpr (std::floating_point<Value>)
            return static_cast<double>(value);
        else if constexpr (std::unsigned_integral<Value>)
            return Json::UInt64(value);
        else
            return Json::Int64(value);
    }

    template <typename Tag>
    static Json::Value encode(const text_identifier<Tag> &value)
    {
        return value.text();
    }

    template <typename Tag>
    static Json::Value encode(const number_identifier<Tag> &value)
    {
        return Json::UInt64(value.number());
    }

    template <typename Element>
    static Json::Value encode(const std::vector<Element> &values)
    {
        Json::Value list(Json::arrayValue);
        for (const Element &each : values)
            list.append(encode(each));
        return list;
    }

    template <typename Value>
    requires std::is_enum_v<Value>
    static Json::Value encode(Value value)
    {
        return enumeration_names<Value>::list[static_cast<std::size_t>(value)];
    }

    template <typename Value>
    requires std::is_class_v<Value>
    static Json::Value encode(const Value &value)
    {
        Json::Value document(Json::objectValue);
        json_writer writer(document);
        describe(writer, value);
        return document;
    }

    Json::Value &m_document;
};

class json_reader
{
public:
    explicit json_reader(const Json::Value &document)
        : m_document(document)
    {
        if (!document.isObject())
            throw error(result_code::message_malformed, "the message is not a JSON object");
    }

    template <typename Value>
    void field(const char *fieldName, Value &value)
    {
        if (!m_document.isMember(fieldName))
            throwMalformed(fieldName, "is missing");
        decode(m_document[fieldName], value, fieldName);
    }

    template <typename Value>
    void field(const char *fieldName, std::optional<Value> &value)
    {
        if (!m_document.isMember(fieldName))
            return;
        decode(m_document[fieldName], value.emplace(), fieldName);
    }

    void bytes(const char *fieldName, std::string &value)
    {
        std::string text;
        field(fieldName, text);
        value = decodeBytes(text, fieldName);
    }

private:
    static void decode(const Json::Value &source, bool &value, const char *fieldName)
    {
        if (!source.isBool())
            throwMalformed(fieldName, "is not true or false");
        value = source.asBool();
    }

    static void decode(const Json::Value &source, std::string &value, const char *fieldName)
    {
        if (!source.isString())
            throwMalformed(fieldName, "is not a text");
        value = source.asString();
        if (value.size() > maximumTextBytes)
            throwMalformed(fieldName, "is too long");
    }

    template <numeric_field Value>
    static void decode(const Json::Value &source, Value &value, const char *fieldName)
    {
        if constexpr (std::floating_point<Value>) {
            if (!source.isNumeric())
                throwMalformed(fieldName, "is not a number");
            value = source.asDouble();
        } else if constexpr (std::unsigned_integral<Value>) {
            if (!source.isUInt64() || source.asUInt64() > std::numeric_limits<Value>::max())
                throwMalformed(fieldName, "is not a number in range");
            value = static_cast<Value>(source.asUInt64());
        } else {
            if (!source.isInt64() || source.asInt64() > std::numeric_limits<Value>::max()
                || source.asInt64() < std::numeric_limits<Value>::min())
                throwMalformed(fieldName, "is not a number in range");
            value = static_cast<Value>(source.asInt64());
        }
    }

    // A century in milliseconds: keeps arithmetic on received times free of overflow.
    static constexpr std::int64_t longestMilliseconds = 3'155'760'000'000;

    static void decode(const Json::Value &source, milliseconds &value, const char *fieldName)
    {
        std::int64_t number = 0;
        decode(source, number, fieldName);
        if (number < -longestMilliseconds || number > longestMilliseconds)
            throwMalformed(fieldName, "is not a duration in range");
        value = milliseconds(number);
    }

    static void decode(const Json::Value &source, wall_time &value, const char *fieldName)
    {
        milliseconds sinceEpoch{0};
        decode(source, sinceEpoch, fieldName);
        value = fromUnixMilliseconds(sinceEpoch.count());
    }

    static void decode(const Json::Value &source, result_code &value, const char *fieldName)
    {
        std::string text;
        decode(source, text, fieldName);
        value = resultCodeFromName(text);
    }

    template <typename Tag>
    static void decode(const Json::Value &source, text_identifier<Tag> &value,
                       const char *fieldName)
    {
        std::string text;
        decode(source, text, fieldName);
        value = text_identifier<Tag>(std::move(text));
    }

    template <typename Tag>
    static void decode(const Json::Value &source, number_identifier<Tag> &value,
                       const char *fieldName)
    {
        std::uint64_t number = 0;
        decode(source, number, fieldName);
        value = number_identifier<Tag>(number);
    }

    template <typename Element>
    static void decode(const Json::Value &source, std::vector<Element> &values,
                       const char *fieldName)
    {
        if (!source.isArray() || source.size() > maximumListLength)
            throwMalformed(fieldName, "is not a list of allowed length");
        values.clear();
        values.reserve(source.size());
        for (const Json::Value &each : source)
            decode(each, values.emplace_back(), fieldName);
    }

    template <typename Value>
    requires std::is_enum_v<Value>
    static void decode(const Json::Value &source, Value &value, const char *fieldName)
    {
        std::string text;
        decode(source, text, fieldName);
        const auto &names = enumeration_names<Value>::list;
        for (std::size_t position = 0; position < std::size(names); ++position) {
            if (text == names[position]) {
                value = static_cast<Value>(position);
                return;
            }
        }
        throwMalformed(fieldName, "has the unknown value '" + text + "'");
    }

    template <typename Value>
    requires std::is_class_v<Value>
    static void decode(const Json::Value &source, Value &value, const char * /*fieldName*/)
    {
        json_reader reader(source);
        describe(reader, value);
    }

    const Json::Value &m_document;
};

} // namespace kingcuptiller::internal
