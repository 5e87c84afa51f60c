#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// HTTP messages as values, without the HTTP library.

namespace kingcuptiller {

// Compares header names without regard to case, as HTTP demands.
struct header_name_less
{
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const
    {
        return std::lexicographical_compare(
            left.begin(), left.end(), right.begin(), right.end(),
            [](char a, char b) { return lowerCase(a) < lowerCase(b); });
    }

private:
    static char lowerCase(char letter)
    {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    }
};

using header_map = std::map<std::string, std::string, header_name_less>;

// The value of a header, or an empty text.
[[nodiscard]] inline std::string headerValue(const header_map &headers, std::string_view name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

// A body in the form in which cpprest takes bytes as they are. Its functions for std::string
// convert the text and have undefined behaviour that UBSan reports.
[[nodiscard]] inline std::vector<unsigned char> toBytes(const std::string &body)
{
    return {body.begin(), body.end()};
}

[[nodiscard]] inline std::string toText(const std::vector<unsigned char> &bytes)
{
    return {bytes.begin(), bytes.end()};
}

// `path` is percent-encoded as it was received; `query` is what follows its question mark.
struct http_request
{
    std::string method = "GET";
    std::string path = "/";
    std::string query;
    header_map headers;
    std::string body;

    bool operator==(const http_request &) const = default;
};

struct http_answer
{
    std::uint16_t status = 200;
    header_map headers;
    std::string body;

    bool operator==(const http_answer &) const = default;
};

} // namespace kingcuptiller
