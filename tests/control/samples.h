#pragma once

#include "kingcuptiller/control/control_state.h"

#include <string>
#include <utility>
#include <vector>

// Values that several tests of this module start from.

namespace kingcuptiller::samples {

inline constexpr wall_time start = fromUnixMilliseconds(1'800'000'000'000);

inline work_class makeClass(const std::string &name, std::uint64_t rank = 1,
                            bool idempotent = false)
{
    return {class_name(name), rank_number(rank), idempotent, {}, milliseconds{5000}};
}

inline entry_identity makeEntry(const std::string &host, const std::string &incarnation,
                                const std::string &region = "north")
{
    return {host_id(host), incarnation_id(incarnation), endpoint_address("10.0.0.1:7000"),
            region_name(region), zone_name("a")};
}

inline upstream_announcement makeUpstream(const std::string &id, std::uint32_t slots,
                                          const std::string &region = "north",
                                          const std::string &workClass = "postings")
{
    upstream_announcement value;
    value.id = upstream_id(id);
    value.incarnation = incarnation_id("u1");
    value.address = endpoint_address("10.0.1.1:8000");
    value.region = region_name(region);
    value.zone = zone_name("a");
    value.workClass = class_name(workClass);
    value.slots = slots;
    value.connections = 400;
    return value;
}

inline change_request makeChange(const std::string &id, std::uint64_t base,
                                 std::vector<work_class> classes)
{
    return {change_id(id), revision_number(base), std::move(classes), {}, {}, {}};
}

inline claim makeClaim(const std::string &key, const std::string &attempt, wall_time issued = start)
{
    return {request_key(key),     class_name("postings"), issued,
            body_hash("h"),       attempt_id(attempt),    host_id("e1"),
            incarnation_id("i1"), milliseconds{5000}};
}

inline settlement makeSettlement(const std::string &key, const std::string &attempt,
                                 settlement_kind kind, const std::string &body = "done")
{
    settlement value{request_key(key), attempt_id(attempt), kind, std::nullopt};
    if (kind == settlement_kind::completed)
        value.answer = recorded_answer{200, "text/plain", body, false};
    return value;
}

// A state with the class "postings" at revision 1.
inline control_state makeState()
{
    control_state state;
    state.apply(
        {start,
         change_command{makeChange("setup", 0, {makeClass("postings")}), result_code::ok, ""}});
    return state;
}

// What a command becomes on its way through the log.
inline command_result applyEncoded(control_state &state, const command &value)
{
    return state.apply(decodeCommand(encodeCommand(value)));
}

} // namespace kingcuptiller::samples
