#include "kingcuptiller/steering/class_queue.h"

#include <algorithm>
#include <tuple>

namespace kingcuptiller {

namespace {

bool before(const queue_item &left, const queue_item &right)
{
    const std::uint64_t leftTicket = left.ticket.number();
    const std::uint64_t rightTicket = right.ticket.number();
    return std::tie(left.deadline, leftTicket) < std::tie(right.deadline, rightTicket);
}

} // namespace

std::size_t class_queue::countAhead(const queue_item &item) const
{
    const auto position = std::lower_bound(m_items.begin(), m_items.end(), item, before);
    return static_cast<std::size_t>(position - m_items.begin());
}

void class_queue::insert(const queue_item &item)
{
    m_items.insert(std::lower_bound(m_items.begin(), m_items.end(), item, before), item);
}

void class_queue::remove(const queue_item &item)
{
    const auto position = std::lower_bound(m_items.begin(), m_items.end(), item, before);
    if (position != m_items.end() && *position == item)
        m_items.erase(position);
}

} // namespace kingcuptiller
