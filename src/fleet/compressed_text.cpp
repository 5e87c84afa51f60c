#include "compressed_text.h"

#include "../consensus/peer_json.h"

#include <zlib.h>

#include <cstdint>
#include <new>

namespace kingcuptiller::internal {

namespace {

// Between the fastest level and the usual one: a control host may have a small part of a core.
constexpr int compressionLevel = 3;
constexpr std::uint64_t maximumTextBytes = std::uint64_t{64} * 1024 * 1024;

const Bytef *bytesOf(const std::string &text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

} // namespace

Json::Value compressText(const std::string &text)
{
    Json::Value value;
    value["size"] = Json::UInt64(text.size());
    // Most views carry no configuration, and a compressor costs a quarter of a megabyte.
    if (text.empty()) {
        value["bytes"] = "";
        return value;
    }
    uLongf byteCount = compressBound(text.size());
    std::string bytes(byteCount, '\0');
    // The only failures are a lack of memory and of room, which `compressBound` rules out.
    if (compress2(reinterpret_cast<Bytef *>(bytes.data()), &byteCount, bytesOf(text), text.size(),
                  compressionLevel)
        != Z_OK)
        throw std::bad_alloc();
    bytes.resize(byteCount);
    value["bytes"] = toBase64(bytes);
    return value;
}

std::string decompressText(const Json::Value &value)
{
    const std::uint64_t declaredSize = numberField(value, "size");
    if (declaredSize > maximumTextBytes)
        reportMalformed("a packed text is too long");
    const std::string bytes = fromBase64(textField(value, "bytes"));
    if (declaredSize == 0 && bytes.empty())
        return {};
    std::string text(declaredSize, '\0');
    uLongf byteCount = declaredSize;
    if (uncompress(reinterpret_cast<Bytef *>(text.data()), &byteCount, bytesOf(bytes), bytes.size())
            != Z_OK
        || byteCount != declaredSize)
        reportMalformed("a packed text cannot be read");
    return text;
}

} // namespace kingcuptiller::internal
