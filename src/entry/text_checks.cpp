#include "text_checks.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace kingcuptiller::internal {

namespace {

constexpr std::size_t maximumIdentifierBytes = 64;

bool isIdentifierLetter(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z')
        || (letter >= '0' && letter <= '9') || letter == '.' || letter == '-' || letter == '_';
}

} // namespace

bool isIdentifier(std::string_view text)
{
    return !text.empty() && text.size() <= maximumIdentifierBytes
        && std::all_of(text.begin(), text.end(), isIdentifierLetter);
}

bool isEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    in_addr address{};
    const auto port = toNumber(text.substr(colon + 1), 65535);
    return port && *port > 0
        && inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address) == 1;
}

std::optional<std::uint64_t> toNumber(std::string_view text, std::uint64_t maximum)
{
    std::uint64_t number = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || fault != std::errc() || end != text.data() + text.size()
        || number > maximum)
        return std::nullopt;
    return number;
}

} // namespace kingcuptiller::internal
