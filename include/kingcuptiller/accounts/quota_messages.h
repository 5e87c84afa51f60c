#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Messages by which entries ask the leading control host for credits. One credit permits one
// request of one client account.

namespace kingcuptiller {

// How an entry has used its credits for one account since its previous message.
struct credit_usage
{
    account_name account;
    // Credits spent on requests.
    std::uint32_t spent = 0;
    // Credits that expired unused.
    std::uint32_t returned = 0;
    // Requests served ahead of a grant.
    std::uint32_t owed = 0;
    // Credits asked for.
    std::uint32_t requested = 0;

    bool operator==(const credit_usage &) const = default;
};

struct credit_request
{
    endpoint_address entry;
    // Differs between the runs of an entry process.
    std::uint64_t run = 0;
    // Increases with each message of a run. The leader ignores repeated and overtaken ones.
    std::uint64_t sequence = 0;
    std::vector<credit_usage> accounts;

    bool operator==(const credit_request &) const = default;
};

struct credit_grant
{
    account_name account;
    std::uint32_t credits = 0;

    bool operator==(const credit_grant &) const = default;
};

// An account that has little room left under its limit.
struct constrained_account
{
    account_name account;
    // Time until a further request can be expected to fit; 0 while there is room.
    milliseconds untilRoom{0};

    bool operator==(const constrained_account &) const = default;
};

// The answer to the `credit_request` with the same sequence.
struct credit_reply
{
    std::uint64_t sequence = 0;
    // Credits are valid for this long after the request was sent.
    milliseconds lifetime{0};
    // How long the entry should wait until its next request, unless it is short of credits.
    milliseconds interval{0};
    std::vector<credit_grant> grants;
    std::vector<constrained_account> constrained;

    bool operator==(const credit_reply &) const = default;
};

// JSON encodings. The decoding functions throw `error` with `message_malformed`.
[[nodiscard]] std::string encodeCreditRequest(const credit_request &request);
[[nodiscard]] credit_request decodeCreditRequest(std::string_view text);
[[nodiscard]] std::string encodeCreditReply(const credit_reply &reply);
[[nodiscard]] credit_reply decodeCreditReply(std::string_view text);

} // namespace kingcuptiller
