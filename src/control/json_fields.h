#pragma once

#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/values/error.h"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

// Reading and writing of the JSON of commands and snapshots. Every failure to read throws `error`
// with `message_malformed` that names the field.

namespace kingcuptiller::internal {

[[noreturn]] inline void throwField(const std::string &field, const std::string &problem)
{
    throw error(result_code::message_malformed, "field '" + field + "' " + problem);
}

inline const Json::Value &member(const Json::Value &document, const char *field)
{
    if (!document.isObject())
        throwField(field, "belongs to something that is not a JSON object");
    if (!document.isMember(field))
        throwField(field, "is missing");
    return document[field];
}

inline std::string toText(const Json::Value &value, const char *field)
{
    if (!value.isString())
        throwField(field, "is not a text");
    return value.asString();
}

inline std::uint64_t toNumber(const Json::Value &value, const char *field,
                              std::uint64_t most = std::numeric_limits<std::uint64_t>::max())
{
    if (!value.isUInt64() || value.asUInt64() > most)
        throwField(field, "is not a number in range");
    return value.asUInt64();
}

// Wall time in microseconds, limited to some thousand years so that sums cannot overflow.
inline wall_time toWallTime(const Json::Value &value, const char *field)
{
    constexpr std::int64_t most = 100'000'000'000'000'000;
    if (!value.isInt64() || value.asInt64() > most || value.asInt64() < -most)
        throwField(field, "is not a time in range");
    return wall_time(microseconds(value.asInt64()));
}

inline Json::Value fromWallTime(wall_time time)
{
    return Json::Int64(time.time_since_epoch().count());
}

inline milliseconds toMilliseconds(const Json::Value &value, const char *field)
{
    constexpr std::uint64_t most = 3'155'760'000'000;
    return milliseconds(toNumber(value, field, most));
}

inline std::string textOf(const Json::Value &document, const char *field)
{
    return toText(member(document, field), field);
}

inline std::uint64_t numberOf(const Json::Value &document, const char *field,
                              std::uint64_t most = std::numeric_limits<std::uint64_t>::max())
{
    return toNumber(member(document, field), field, most);
}

inline std::uint32_t smallNumberOf(const Json::Value &document, const char *field)
{
    return static_cast<std::uint32_t>(
        numberOf(document, field, std::numeric_limits<std::uint32_t>::max()));
}

template <typename List, typename Write>
Json::Value listToJson(const List &items, const Write &write)
{
    Json::Value list(Json::arrayValue);
    for (const auto &each : items)
        list.append(write(each));
    return list;
}

template <typename Item, typename Read>
std::vector<Item> listOf(const Json::Value &document, const char *field, const Read &read)
{
    const Json::Value &list = member(document, field);
    if (!list.isArray() || list.size() > maximumListLength)
        throwField(field, "is not a list of allowed length");
    std::vector<Item> items;
    items.reserve(list.size());
    for (const Json::Value &each : list)
        items.push_back(read(each));
    return items;
}

} // namespace kingcuptiller::internal
