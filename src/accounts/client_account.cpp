#include "kingcuptiller/accounts/client_account.h"

#include <openssl/sha.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace kingcuptiller {

key_digest digestOfKey(std::string_view key)
{
    key_digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.bytes.data());
    return digest;
}

std::optional<std::set<region_name>> commonRegions(const std::set<region_name> &one,
                                                   const std::set<region_name> &other)
{
    if (one.empty())
        return other;
    if (other.empty())
        return one;
    std::set<region_name> common;
    std::set_intersection(one.begin(), one.end(), other.begin(), other.end(),
                          std::inserter(common, common.end()));
    return common.empty() ? std::nullopt : std::optional(std::move(common));
}

account_table::account_table(std::vector<client_account> accounts)
{
    for (client_account &each : accounts) {
        account_name name = each.name;
        const client_account &account =
            m_accounts.emplace(std::move(name), std::move(each)).first->second;
        for (const key_digest &key : account.keys)
            m_accountsByKey.emplace(key, &account);
    }
}

const client_account *account_table::findByKey(const key_digest &key) const
{
    const auto found = m_accountsByKey.find(key);
    return found == m_accountsByKey.end() ? nullptr : found->second;
}

const client_account *account_table::findByName(const account_name &name) const
{
    const auto found = m_accounts.find(name);
    return found == m_accounts.end() ? nullptr : &found->second;
}

} // namespace kingcuptiller
