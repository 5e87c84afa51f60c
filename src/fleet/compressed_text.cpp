#include "compressed_text.h"

#include "../consensus/peer_json.h"

#include <zlib.h>

#include <cstdint>
#include <new>

namespace kingcuptiller::internal {

namespace {

// zlib level between the fastest (1) and the default (6): a compromise between size and CPU time,
// because a control host may have only a fraction of a CPU core.
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
    // An empty text is common, as most differences that are sent to entries contain no
    // configuration document. It bypasses zlib, whose compressor allocates about 256 KiB.
    if (text.empty()) {
        value["bytes"] = "";
        return value;
    }
    uLongf byteCount = compressBound(text.size());
    std::string bytes(byteCount, '\0');
    // Fails only for lack of memory: the buffer is large enough, as `compressBound` gives its size.
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
    const std::uint64_t declaredSize = unsignedField(value, "size");
    if (declaredSize > maximumTextBytes)
        reportMalformed("the declared size of a compressed text exceeds 64 MiB");
    const std::string bytes = fromBase64(stringField(value, "bytes"));
    if (declaredSize == 0 && bytes.empty())
        return {};
    std::string text(declaredSize, '\0');
    uLongf byteCount = declaredSize;
    if (uncompress(reinterpret_cast<Bytef *>(text.data()), &byteCount, bytesOf(bytes), bytes.size())
            != Z_OK
        || byteCount != declaredSize)
        reportMalformed("a compressed text cannot be decompressed to its declared size");
    return text;
}

} // namespace kingcuptiller::internal
