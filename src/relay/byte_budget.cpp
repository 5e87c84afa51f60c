#include "kingcuptiller/relay/byte_budget.h"

#include <utility>

namespace kingcuptiller {

struct byte_budget::holding::usage
{
    std::uint64_t limit = 0;
    std::uint64_t heldBytes = 0;
};

byte_budget::holding::holding(std::shared_ptr<usage> used)
    : m_usage(std::move(used))
{
}

byte_budget::holding::~holding()
{
    if (m_usage)
        m_usage->heldBytes -= m_bytes;
}

byte_budget::holding::holding(holding &&other) noexcept
    : m_usage(std::move(other.m_usage))
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

byte_budget::holding &byte_budget::holding::operator=(holding &&other) noexcept
{
    std::swap(m_usage, other.m_usage);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

bool byte_budget::holding::resize(std::uint64_t bytes)
{
    if (!m_usage)
        return true;
    const std::uint64_t others = m_usage->heldBytes - m_bytes;
    if (bytes > m_bytes && (bytes > m_usage->limit || others > m_usage->limit - bytes))
        return false;
    m_usage->heldBytes = others + bytes;
    m_bytes = bytes;
    return true;
}

byte_budget::byte_budget(std::uint64_t limit)
    : m_usage(std::make_shared<holding::usage>(holding::usage{limit, 0}))
{
}

byte_budget::holding byte_budget::open() const
{
    return holding(m_usage);
}

std::uint64_t byte_budget::heldBytes() const
{
    return m_usage->heldBytes;
}

} // namespace kingcuptiller
