#include "header_text.h"

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <charconv>
#include <set>
#include <string>
#include <vector>

namespace kingcuptiller::internal {

namespace http = boost::beast::http;

std::string_view toStringView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<upstream_load_report> parseLoadReport(std::string_view text)
{
    constexpr std::size_t requiredNumbers = 3;
    std::vector<std::uint32_t> numbers;
    for (bool hasMore = true; hasMore;) {
        const std::size_t commaPosition = std::min(text.find(','), text.size());
        const auto number = parseInteger(text.substr(0, commaPosition));
        if (!number || *number < 0 || *number > 1'000'000)
            return std::nullopt;
        numbers.push_back(static_cast<std::uint32_t>(*number));
        hasMore = commaPosition < text.size();
        text.remove_prefix(std::min(commaPosition + 1, text.size()));
    }
    if (numbers.size() < requiredNumbers || numbers.size() > requiredNumbers + 1)
        return std::nullopt;
    upstream_load_report report{numbers[0], numbers[1], numbers[2]};
    if (numbers.size() > requiredNumbers && numbers.back() > 0)
        report.workTimePercent = numbers.back();
    return report;
}

void eraseConnectionHeaders(http::fields &fields)
{
    std::set<std::string> connectionHeaders;
    const auto list = std::string(toStringView(fields[http::field::connection]));
    for (const auto &token : http::token_list(list))
        connectionHeaders.emplace(toStringView(token));
    for (const std::string &each : connectionHeaders)
        fields.erase(each);
    for (const http::field each :
         {http::field::connection, http::field::keep_alive, http::field::proxy_connection,
          http::field::te, http::field::trailer, http::field::transfer_encoding,
          http::field::upgrade, http::field::expect})
        fields.erase(each);
}

} // namespace kingcuptiller::internal
