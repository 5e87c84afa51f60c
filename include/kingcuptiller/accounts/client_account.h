#pragma once

#include "kingcuptiller/values/identifiers.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

// Client accounts: the customers on whose behalf clients send requests, and the keys by which
// requests name them.

namespace kingcuptiller {

// The SHA-256 digest of an account's key. Keys are kept and compared as digests only, so that no
// log line, metric or memory dump of the decoded configuration shows a key.
struct key_digest
{
    std::array<unsigned char, 32> bytes{};

    auto operator<=>(const key_digest &) const = default;
};

[[nodiscard]] key_digest digestOfKey(std::string_view key);

// A limit on the rate of an account's requests, over all entries together.
struct account_rate_limit
{
    // 0 for no limit.
    double requestsPerSecond = 0;
    // Requests that may exceed the rate at once after a time of less use.
    double burst = 0;

    auto operator<=>(const account_rate_limit &) const = default;
};

struct client_account
{
    account_name name;
    std::vector<key_digest> keys;
    account_rate_limit limit;
    // Takes precedence over the priority of the route. Lower values are more urgent.
    std::optional<std::uint32_t> priority;
    // Regions whose upstreams may receive the account's requests; empty for all regions. The
    // regions of the route bind as well.
    std::set<region_name> regions;

    bool operator==(const client_account &) const = default;
};

// Returns the regions that two restrictions both allow; an empty set allows all regions. Returns
// nothing if both name regions, but none in common.
[[nodiscard]] std::optional<std::set<region_name>>
commonRegions(const std::set<region_name> &one, const std::set<region_name> &other);

// Finds accounts by key and by name.
class account_table
{
public:
    account_table() = default;
    explicit account_table(std::vector<client_account> accounts);
    // Not copyable, because the index refers to the accounts.
    account_table(const account_table &) = delete;
    account_table &operator=(const account_table &) = delete;
    account_table(account_table &&) = default;
    account_table &operator=(account_table &&) = default;
    ~account_table() = default;

    // Whether requests need no key, because the configuration has no accounts.
    [[nodiscard]] bool empty() const { return m_accounts.empty(); }
    // Return nullptr if there is no such account. The pointers are valid for the lifetime of this
    // table.
    [[nodiscard]] const client_account *findByKey(const key_digest &key) const;
    [[nodiscard]] const client_account *findByName(const account_name &name) const;
    [[nodiscard]] const std::map<account_name, client_account> &accounts() const
    {
        return m_accounts;
    }

private:
    std::map<account_name, client_account> m_accounts;
    // A digest is evenly distributed, so a part of it serves as its hash.
    struct digest_hash
    {
        std::size_t operator()(const key_digest &digest) const
        {
            std::size_t hash = 0;
            std::memcpy(&hash, digest.bytes.data(), sizeof hash);
            return hash;
        }
    };

    std::unordered_map<key_digest, const client_account *, digest_hash> m_accountsByKey;
};

} // namespace kingcuptiller
