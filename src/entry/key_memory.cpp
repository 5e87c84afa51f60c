#include "kingcuptiller/entry/key_memory.h"

namespace kingcuptiller {

void key_memory::open(const request_key &key)
{
    ++m_records[key].open;
}

void key_memory::close(const request_key &key, instant now)
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || found->second.open == 0)
        return;
    record &closed = found->second;
    --closed.open;
    closed.closedAt = now;
    if (closed.open == 0 && closed.unresolved == 0)
        m_records.erase(found);
    else if (closed.open == 0)
        m_closed.emplace_back(now, key);
    forgetOld(now);
}

void key_memory::sent(const request_key &key)
{
    ++m_records[key].unresolved;
}

void key_memory::provedNotRun(const request_key &key)
{
    const auto found = m_records.find(key);
    if (found != m_records.end() && found->second.unresolved > 0)
        --found->second.unresolved;
}

bool key_memory::mayRun(const request_key &key, std::uint32_t own) const
{
    const auto found = m_records.find(key);
    return found != m_records.end() && (found->second.open > own || found->second.unresolved > 0);
}

void key_memory::forgetOld(instant now)
{
    while (!m_closed.empty()
           && (m_closed.front().first + lifetime <= now || m_closed.size() > maximumKeys)) {
        const auto found = m_records.find(m_closed.front().second);
        // A key that was opened or closed again since has a newer place in the list.
        if (found != m_records.end() && found->second.open == 0
            && found->second.closedAt == m_closed.front().first)
            m_records.erase(found);
        m_closed.pop_front();
    }
}

} // namespace kingcuptiller
