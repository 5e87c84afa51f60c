#include "kingcuptiller/accounts/authentication.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace kingcuptiller;

namespace {

struct authentication_case
{
    std::string name;
    std::vector<std::string> fieldValues;
    std::string account;
    std::optional<authentication_failure> failure;
};

const std::vector<authentication_case> authenticationCases = {
    {"known key", {"Token k1"}, "one", std::nullopt},
    {"second key of an account", {"Token k2"}, "one", std::nullopt},
    {"scheme in another case", {"TOKEN k3"}, "two", std::nullopt},
    {"several blanks", {"Token \t k3 "}, "two", std::nullopt},
    {"no field", {}, "", authentication_failure::missing_key},
    {"two fields", {"Token k1", "Token k1"}, "", authentication_failure::several_keys},
    {"unknown key", {"Token k4"}, "", authentication_failure::unknown_key},
    {"key in another case", {"Token K1"}, "", authentication_failure::unknown_key},
    {"begin of a key", {"Token k"}, "", authentication_failure::unknown_key},
    {"another scheme", {"Basic k1"}, "", authentication_failure::malformed_key},
    {"scheme only", {"Token"}, "", authentication_failure::malformed_key},
    {"scheme and blank", {"Token "}, "", authentication_failure::malformed_key},
    {"key only", {"k1"}, "", authentication_failure::malformed_key},
    {"two keys", {"Token k1 k2"}, "", authentication_failure::malformed_key},
    {"empty", {""}, "", authentication_failure::malformed_key},
};

using region_set = std::set<region_name>;

struct region_case
{
    std::string name;
    region_set one;
    region_set other;
    std::optional<region_set> common;
};

const region_name a("a");
const region_name b("b");
const region_name c("c");

const std::vector<region_case> regionCases = {
    {"no restriction", {}, {}, region_set{}},
    {"first restricts", {a}, {}, region_set{a}},
    {"second restricts", {}, {b, c}, region_set{b, c}},
    {"some in common", {a, b}, {b, c}, region_set{b}},
    {"none in common", {a}, {b, c}, std::nullopt},
};

client_account makeAccount(const std::string &name, const std::vector<std::string> &keys)
{
    client_account account;
    account.name = account_name(name);
    for (const std::string &key : keys)
        account.keys.push_back(digestOfKey(key));
    return account;
}

} // namespace

class authentication_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(authentication_test);
    CPPUNIT_TEST(keyNamesItsAccountOnly);
    CPPUNIT_TEST(restrictionsOfRegionsBindTogether);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against serving a request for an account whose key it does not carry.
    void keyNamesItsAccountOnly()
    {
        account_table original(std::vector<client_account>{makeAccount("one", {"k1", "k2"}),
                                                           makeAccount("two", {"k3"})});
        const account_table accounts = std::move(original);
        for (const authentication_case &each : authenticationCases) {
            const std::vector<std::string_view> values(each.fieldValues.begin(),
                                                       each.fieldValues.end());
            const authentication_result result = authenticate(accounts, values, "Token");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.account,
                                         result.account == nullptr ? std::string()
                                                                   : result.account->name.text());
            CPPUNIT_ASSERT_MESSAGE(each.name, each.failure == result.failure);
        }
    }

    // Guards against a request that leaves the regions of its route or of its account.
    void restrictionsOfRegionsBindTogether()
    {
        for (const region_case &each : regionCases)
            CPPUNIT_ASSERT_MESSAGE(each.name, each.common == commonRegions(each.one, each.other));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(authentication_test);
