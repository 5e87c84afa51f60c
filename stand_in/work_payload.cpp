#include "stand_in/work_payload.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace kingcuptiller::stand_in {

namespace {

constexpr std::size_t largestAnswer = std::size_t(4) * 1024 * 1024;
constexpr std::string_view sizePrefix = "answer-bytes=";

} // namespace

std::string makeRequestBody(const request_key &key, std::size_t bytes, std::size_t answerBytes)
{
    std::string body = fmt::format("{}{} key={} ", sizePrefix, answerBytes, key.text());
    while (body.size() < bytes)
        body += key.text().empty() ? "." : key.text();
    return body;
}

std::string makeAnswerBody(const std::string &requestBody)
{
    std::size_t size = 0;
    const char *const end = requestBody.data() + requestBody.size();
    if (!requestBody.starts_with(sizePrefix)
        || std::from_chars(requestBody.data() + sizePrefix.size(), end, size).ec != std::errc())
        return requestBody;
    size = std::min(size, largestAnswer);
    std::string answer;
    answer.reserve(size);
    while (answer.size() < size)
        answer.append(requestBody, 0, size - answer.size());
    return answer;
}

} // namespace kingcuptiller::stand_in
