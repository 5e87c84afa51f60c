#include "kingcuptiller/accounts/client_account.h"

#include <openssl/sha.h>

#include <utility>

namespace kingcuptiller {

key_digest digestOfKey(std::string_view key)
{
    key_digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.bytes.data());
    return digest;
}

account_table::account_table(std::vector<client_account> accounts)
{
    for (client_account &account : accounts) {
        for (const key_digest &key : account.keys)
            m_accountsByKey.emplace(key, account.name);
        account_name name = account.name;
        m_accounts.emplace(std::move(name), std::move(account));
    }
}

const client_account *account_table::findByKey(const key_digest &key) const
{
    const auto found = m_accountsByKey.find(key);
    return found == m_accountsByKey.end() ? nullptr : findByName(found->second);
}

const client_account *account_table::findByName(const account_name &name) const
{
    const auto found = m_accounts.find(name);
    return found == m_accounts.end() ? nullptr : &found->second;
}

} // namespace kingcuptiller
