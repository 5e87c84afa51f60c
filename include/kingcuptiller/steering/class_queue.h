#pragma once

#include "kingcuptiller/steering/request.h"
#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <vector>

namespace kingcuptiller {

// A queued request.
struct queue_item
{
    instant deadline;
    ticket_id ticket;

    bool operator==(const queue_item &) const = default;
};

// Queue of the requests of one class that wait for a slot, ordered by deadline (earliest first),
// then by ticket number. `limit` bounds its length, but `insert` does not check it: the caller must
// refuse a request when `full` returns true.
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

    // Returns the number of queued requests that precede `item` in the order of the queue.
    [[nodiscard]] std::size_t countAhead(const queue_item &item) const;

    void insert(const queue_item &item);
    // Removes the item; does nothing if it is not in the queue.
    void remove(const queue_item &item);

    [[nodiscard]] const std::vector<queue_item> &items() const { return m_items; }

private:
    std::size_t m_limit;
    // Sorted. The queue is short, so a sorted array is faster than a tree.
    std::vector<queue_item> m_items;
};

} // namespace kingcuptiller
