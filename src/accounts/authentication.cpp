#include "kingcuptiller/accounts/authentication.h"

#include <algorithm>
#include <cctype>

namespace kingcuptiller {

namespace {

constexpr std::string_view blanks = " \t";

bool equalsIgnoringCase(std::string_view one, std::string_view other)
{
    return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                      [](unsigned char left, unsigned char right) {
                          return std::tolower(left) == std::tolower(right);
                      });
}

// The key in a field value; nothing if the value has another form.
std::optional<std::string_view> keyIn(std::string_view fieldValue, std::string_view scheme)
{
    const std::size_t schemeEnd = std::min(fieldValue.find_first_of(blanks), fieldValue.size());
    if (!equalsIgnoringCase(fieldValue.substr(0, schemeEnd), scheme))
        return std::nullopt;
    const std::size_t keyBegin = fieldValue.find_first_not_of(blanks, schemeEnd);
    if (keyBegin == std::string_view::npos)
        return std::nullopt;
    std::string_view key = fieldValue.substr(keyBegin);
    key = key.substr(0, key.find_last_not_of(blanks) + 1);
    if (key.find_first_of(blanks) != std::string_view::npos)
        return std::nullopt;
    return key;
}

} // namespace

std::string_view name(authentication_failure failure)
{
    switch (failure) {
    case authentication_failure::missing_key:
        return "missing_key";
    case authentication_failure::several_keys:
        return "several_keys";
    case authentication_failure::malformed_key:
        return "malformed_key";
    case authentication_failure::unknown_key:
        return "unknown_key";
    }
    return "";
}

authentication_result authenticate(const account_table &accounts,
                                   const std::vector<std::string_view> &fieldValues,
                                   std::string_view scheme)
{
    authentication_result result;
    if (fieldValues.size() != 1) {
        result.failure = fieldValues.empty() ? authentication_failure::missing_key
                                             : authentication_failure::several_keys;
        return result;
    }
    const std::optional<std::string_view> key = keyIn(fieldValues.front(), scheme);
    if (!key) {
        result.failure = authentication_failure::malformed_key;
        return result;
    }
    result.key = digestOfKey(*key);
    result.account = accounts.findByKey(*result.key);
    if (result.account == nullptr)
        result.failure = authentication_failure::unknown_key;
    return result;
}

} // namespace kingcuptiller
