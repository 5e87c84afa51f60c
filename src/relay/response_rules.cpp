#include "response_rules.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cctype>

namespace kingcuptiller {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr unsigned lowestStatus = 100;
constexpr unsigned highestStatus = 999;
constexpr unsigned switchingProtocols = 101;
constexpr std::string_view symbolsInNames = "!#$%&'*+-.^_`|~";
constexpr unsigned char firstVisible = 0x20;
constexpr unsigned char deleteCharacter = 0x7f;

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0
        || symbolsInNames.find(character) != std::string_view::npos;
}

bool isValueCharacter(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return (byte >= firstVisible && byte != deleteCharacter) || character == '\t';
}

} // namespace

std::optional<std::string_view> findFault(const response_head &head)
{
    if (head.result_int() < lowestStatus || head.result_int() > highestStatus)
        return "status";
    // No request asks for another protocol.
    if (head.result_int() == switchingProtocols)
        return "protocol";
    for (const auto &field : head) {
        const auto name = field.name_string();
        const auto value = field.value();
        if (name.empty() || !std::all_of(name.begin(), name.end(), isNameCharacter))
            return "field_name";
        if (!std::all_of(value.begin(), value.end(), isValueCharacter))
            return "field_value";
    }
    const auto codings = head.count(http::field::transfer_encoding);
    const auto lengths = head.count(http::field::content_length);
    if (codings > 0
        && (codings > 1 || lengths > 0
            || !beast::iequals(head[http::field::transfer_encoding], "chunked")))
        return "transfer_encoding";
    if (lengths > 1)
        return "content_length";
    return std::nullopt;
}

bool isCompleteBody(const connection_end &end)
{
    return !end.writeFailed && (end.requestWritten || end.announced);
}

} // namespace kingcuptiller
