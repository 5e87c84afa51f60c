#include "kingcuptiller/settings/settings_reader.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <stdexcept>
#include <string_view>

// The text forms of single values: addresses, durations and sizes.

namespace kingcuptiller {

namespace {

struct unit
{
    std::string_view name;
    double factor;
};

constexpr auto durationUnits =
    std::to_array<unit>({{"ms", 1}, {"s", 1000}, {"min", 60.0 * 1000}, {"h", 3600.0 * 1000}});
constexpr auto byteUnits = std::to_array<unit>(
    {{"B", 1}, {"KiB", 1024}, {"MiB", 1024.0 * 1024}, {"GiB", 1024.0 * 1024 * 1024}});

// A number, optional spaces and one of `units`; the result is in the units' base.
template <std::size_t Count>
double parseQuantity(const std::string &text, const std::array<unit, Count> &units,
                     const std::string &example)
{
    double amount = 0;
    const char *const end = text.data() + text.size();
    const auto [rest, fault] = std::from_chars(text.data(), end, amount, std::chars_format::fixed);
    if (fault != std::errc() || !std::isfinite(amount) || amount < 0)
        throw std::invalid_argument(
            fmt::format("'{}' does not start with a number; write for example {}", text, example));
    std::string_view name(rest, static_cast<std::size_t>(end - rest));
    name.remove_prefix(std::min(name.find_first_not_of(' '), name.size()));
    const auto found = std::find_if(units.begin(), units.end(),
                                    [name](const unit &each) { return each.name == name; });
    if (found == units.end())
        throw std::invalid_argument(
            fmt::format("'{}' has no known unit; write for example {}", text, example));
    const double result = amount * found->factor;
    // Above this, a double no longer holds every whole number.
    if (result > 9e15)
        throw std::invalid_argument(fmt::format("'{}' is too large", text));
    if (result != std::floor(result))
        throw std::invalid_argument(
            fmt::format("'{}' is not a whole number of {}", text, units.front().name));
    return result;
}

bool isPort(std::string_view text)
{
    unsigned port = 0;
    const auto [rest, fault] = std::from_chars(text.data(), text.data() + text.size(), port);
    return fault == std::errc() && rest == text.data() + text.size() && port >= 1 && port <= 65535;
}

bool isAddress(int family, const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    return inet_pton(family, text.c_str(), binary.data()) == 1;
}

} // namespace

milliseconds parseDuration(const std::string &text)
{
    return milliseconds(
        static_cast<std::int64_t>(parseQuantity(text, durationUnits, "'200 ms' or '2.5 s'")));
}

std::uint64_t parseBytes(const std::string &text)
{
    return static_cast<std::uint64_t>(parseQuantity(text, byteUnits, "'64 KiB' or '8 MiB'"));
}

endpoint_address parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || !isPort(std::string_view(text).substr(colon + 1)))
        throw std::invalid_argument(
            fmt::format("'{}' is not 'IP:port' with a port from 1 to 65535", text));
    const std::string address = text.substr(0, colon);
    const bool isBracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (!isAddress(AF_INET, address)
        && !(isBracketed && isAddress(AF_INET6, address.substr(1, address.size() - 2))))
        throw std::invalid_argument(
            fmt::format("'{}' is not 'IP:port'; names are refused, IPv6 stands in brackets", text));
    return endpoint_address(text);
}

std::vector<host_address> parseHostAddresses(const std::string &text)
{
    std::vector<host_address> result;
    std::string list = text;
    // A list may go on in indented lines, which the INI reader joins by line ends.
    std::replace_if(
        list.begin(), list.end(), [](char each) { return each == ',' || each == '\n'; }, ' ');
    std::size_t start = 0;
    while ((start = list.find_first_not_of(' ', start)) != std::string::npos) {
        const std::size_t end = std::min(list.find(' ', start), list.size());
        const std::string item = list.substr(start, end - start);
        start = end;
        const std::size_t equals = item.find('=');
        if (equals == std::string::npos || equals == 0)
            throw std::invalid_argument(fmt::format("'{}' is not 'id=IP:port'", item));
        host_address host{host_id(item.substr(0, equals)), parseEndpoint(item.substr(equals + 1))};
        for (const host_address &other : result) {
            if (other.host == host.host || other.address == host.address)
                throw std::invalid_argument(fmt::format("'{}' repeats an id or an address", item));
        }
        result.push_back(std::move(host));
    }
    if (result.empty())
        throw std::invalid_argument("the list is empty; write 'id=IP:port, id=IP:port'");
    return result;
}

} // namespace kingcuptiller
