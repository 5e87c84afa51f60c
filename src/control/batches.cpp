#include "batches.h"

#include <cstddef>

namespace kingcuptiller::internal {

namespace {

// Escaping can at most triple a text, and a command must stay below 800 KiB after it.
constexpr std::size_t maximumBatchBytes = std::size_t{256} * 1024;
// Field names, numbers and punctuation of one item in JSON.
constexpr std::size_t itemOverhead = 300;

std::size_t sizeOf(const claim &value)
{
    return itemOverhead + value.key.text().size() + value.workClass.text().size()
        + value.bodyHash.text().size() + value.attempt.text().size() + value.entry.text().size()
        + value.entryIncarnation.text().size();
}

std::size_t sizeOf(const settlement &value)
{
    const std::size_t body =
        value.answer ? value.answer->body.size() * 4 / 3 + value.answer->contentType.size() : 0;
    return itemOverhead + value.key.text().size() + value.attempt.text().size() + body;
}

template <typename Item>
std::vector<std::vector<Item>> split(const std::vector<Item> &items)
{
    std::vector<std::vector<Item>> batches;
    std::size_t bytes = maximumBatchBytes;
    for (const auto &each : items) {
        const std::size_t size = sizeOf(each);
        if (bytes + size > maximumBatchBytes) {
            batches.emplace_back();
            bytes = 0;
        }
        bytes += size;
        batches.back().push_back(each);
    }
    return batches;
}

} // namespace

std::vector<std::vector<claim>> splitClaims(const std::vector<claim> &claims)
{
    return split(claims);
}

std::vector<std::vector<settlement>> splitSettlements(const std::vector<settlement> &settlements)
{
    return split(settlements);
}

} // namespace kingcuptiller::internal
