#include "packed_text.h"

#include "../consensus/peer_json.h"

#include <zlib.h>

#include <cstdint>
#include <new>

namespace kingcuptiller::internal {

namespace {

// Between the fastest level and the usual one: a control host may have a small part of a core.
constexpr int compressionLevel = 3;
constexpr std::uint64_t longestText = std::uint64_t{64} * 1024 * 1024;

const Bytef *bytesOf(const std::string &text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

} // namespace

Json::Value packed(const std::string &text)
{
    Json::Value value;
    value["size"] = Json::UInt64(text.size());
    // Most views carry no configuration, and a compressor costs a quarter of a megabyte.
    if (text.empty()) {
        value["bytes"] = "";
        return value;
    }
    uLongf size = compressBound(text.size());
    std::string bytes(size, '\0');
    // The only failures are a lack of memory and of room, which `compressBound` rules out.
    if (compress2(reinterpret_cast<Bytef *>(bytes.data()), &size, bytesOf(text), text.size(),
                  compressionLevel)
        != Z_OK)
        throw std::bad_alloc();
    bytes.resize(size);
    value["bytes"] = toBase64(bytes);
    return value;
}

std::string unpacked(const Json::Value &value)
{
    const std::uint64_t announced = unsignedField(value, "size");
    if (announced > longestText)
        reportMalformed("a packed text is too long");
    const std::string bytes = fromBase64(stringField(value, "bytes"));
    if (announced == 0 && bytes.empty())
        return {};
    std::string text(announced, '\0');
    uLongf size = announced;
    if (uncompress(reinterpret_cast<Bytef *>(text.data()), &size, bytesOf(bytes), bytes.size())
            != Z_OK
        || size != announced)
        reportMalformed("a packed text cannot be read");
    return text;
}

} // namespace kingcuptiller::internal
