#pragma once

#include <string>
#include <vector>

// Bodies as cpprest takes them safely. Its functions for std::string cast a stream of char to one
// of unsigned char, which UBSan reports as a call on an object of another type.

namespace kingcuptiller::stand_in {

[[nodiscard]] inline std::vector<unsigned char> toBytes(const std::string &text)
{
    return {text.begin(), text.end()};
}

[[nodiscard]] inline std::string toText(const std::vector<unsigned char> &bytes)
{
    return {bytes.begin(), bytes.end()};
}

} // namespace kingcuptiller::stand_in
