#pragma once

#include "kingcuptiller/steering/request.h"
#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <vector>

namespace kingcuptiller {

// A request that waits.
struct queue_item
{
    instant deadline;
    ticket_id ticket;

    bool operator==(const queue_item &) const = default;
};

// The requests of one class that wait for a slot, earliest deadline first, requests with equal
// deadlines in the order of their tickets. Bounded; the caller refuses what does not fit.
class class_queue
{
public:
    explicit class_queue(std::size_t limit)
        : m_limit(limit)
    {
    }

    [[nodiscard]] bool full() const { return m_items.size() >= m_limit; }
    [[nodiscard]] std::size_t size() const { return m_items.size(); }
    [[nodiscard]] bool empty() const { return m_items.empty(); }

    // Number of waiting requests that a request with this deadline would come after.
    [[nodiscard]] std::size_t countAhead(const queue_item &item) const;

    void insert(const queue_item &item);
    // Removes the item if it waits.
    void remove(const queue_item &item);

    [[nodiscard]] const std::vector<queue_item> &items() const { return m_items; }

private:
    std::size_t m_limit;
    // Sorted. An array beats a tree here, because the queue is short.
    std::vector<queue_item> m_items;
};

} // namespace kingcuptiller
