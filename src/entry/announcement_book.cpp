#include "kingcuptiller/entry/announcement_book.h"

#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/values/error.h"

#include "text_checks.h"

#include <json/json.h>

namespace kingcuptiller {

namespace {

constexpr std::uint64_t maximumSlots = 100'000;
constexpr std::uint64_t maximumLifetimeMs = 60'000;

[[noreturn]] void refuse(const char *field, const char *expected)
{
    throw error(result_code::announcement_malformed,
                std::string("the field '") + field + "' must be " + expected);
}

Json::Value parseBody(const std::string &body)
{
    try {
        return parseJson(body, maximumAnnouncementBytes);
    } catch (const error &failure) {
        throw error(result_code::announcement_malformed, failure.what());
    }
}

std::string identifierIn(const Json::Value &document, const char *field)
{
    const Json::Value &value = document[field];
    if (!value.isString() || !internal::isIdentifier(value.asString()))
        refuse(field, "1 to 64 letters, digits, '.', '-' or '_'");
    return value.asString();
}

std::uint64_t numberIn(const Json::Value &document, const char *field, std::uint64_t minimum,
                       std::uint64_t maximum)
{
    const Json::Value &value = document[field];
    if (!value.isUInt64() || value.asUInt64() < minimum || value.asUInt64() > maximum)
        refuse(field, "a whole number in its range");
    return value.asUInt64();
}

endpoint_address endpointIn(const Json::Value &document, const char *field)
{
    const Json::Value &value = document[field];
    if (!value.isString() || !internal::isEndpoint(value.asString()))
        refuse(field, "IP:port");
    return endpoint_address(value.asString());
}

double loadIn(const Json::Value &document)
{
    const Json::Value &value = document["load"];
    // Written so that a value that is no number is refused too.
    if (!value.isNumeric() || !(value.asDouble() >= 0 && value.asDouble() <= 1))
        refuse("load", "a number from 0 to 1");
    return value.asDouble();
}

bool isLeavingIn(const Json::Value &document)
{
    const Json::Value &value = document["state"];
    if (value != "serving" && value != "leaving")
        refuse("state", "serving or leaving");
    return value == "leaving";
}

} // namespace

upstream_announcement parseAnnouncement(const std::string &body)
{
    const Json::Value document = parseBody(body);
    upstream_announcement announcement;
    announcement.id = upstream_id(identifierIn(document, "id"));
    announcement.incarnation = incarnation_id(identifierIn(document, "incarnation"));
    announcement.address = endpointIn(document, "address");
    announcement.region = region_name(identifierIn(document, "region"));
    announcement.zone = zone_name(identifierIn(document, "zone"));
    announcement.workClass = class_name(identifierIn(document, "class"));
    announcement.slots = static_cast<std::uint32_t>(numberIn(document, "slots", 1, maximumSlots));
    announcement.connections =
        static_cast<std::uint32_t>(numberIn(document, "connections", 1, maximumSlots));
    announcement.load = loadIn(document);
    announcement.lifetime = milliseconds(numberIn(document, "lifetimeMs", 100, maximumLifetimeMs));
    announcement.leaving = isLeavingIn(document);
    return announcement;
}

upstream_id parseWithdrawal(const std::string &body)
{
    return upstream_id(identifierIn(parseBody(body), "id"));
}

bool announcement_book::announce(const upstream_announcement &announcement)
{
    const std::lock_guard lock(m_mutex);
    if (!hasRoomFor(announcement.id))
        return false;
    m_waiting[announcement.id] = {.withdrawn = false, .announcement = announcement};
    return true;
}

bool announcement_book::withdraw(const upstream_id &id)
{
    const std::lock_guard lock(m_mutex);
    if (!hasRoomFor(id))
        return false;
    m_waiting[id] = {.withdrawn = true, .announcement = {}};
    return true;
}

void announcement_book::takeInto(entry_sync_request &request)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[id, each] : m_waiting) {
        if (each.withdrawn)
            request.withdrawals.push_back(id);
        else
            request.announcements.push_back(std::move(each.announcement));
    }
    m_waiting.clear();
}

void announcement_book::putBack(const entry_sync_request &request)
{
    const std::lock_guard lock(m_mutex);
    for (const upstream_announcement &each : request.announcements)
        m_waiting.try_emplace(each.id, waiting{.withdrawn = false, .announcement = each});
    for (const upstream_id &id : request.withdrawals)
        m_waiting.try_emplace(id, waiting{.withdrawn = true, .announcement = {}});
}

bool announcement_book::hasRoomFor(const upstream_id &id) const
{
    return m_waiting.size() < maximumUpstreams || m_waiting.contains(id);
}

} // namespace kingcuptiller
