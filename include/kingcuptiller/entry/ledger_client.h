#pragma once

#include "kingcuptiller/entry/control_link.h"
#include "kingcuptiller/protocol/messages.h"
#include "kingcuptiller/telemetry/counters.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <stop_token>
#include <vector>

namespace kingcuptiller {

// Items that wait to be sent to the leader in batches. Each item has a completion that is called
// once. Thread-safe; `Item` is claim or settlement.
template <typename Item, typename Result>
class batch_queue
{
public:
    struct entry
    {
        Item item;
        instant giveUpAt{};
        std::size_t bytes = 0;
        std::function<void(Result)> done;
    };

    // Waits until there is something to send or a stop is requested; then returns at most
    // `maximumItems` with at most `maximumBytes` (but at least one), the longest waiting first.
    std::vector<entry> take(const std::stop_token &stop, std::size_t maximumItems,
                            std::size_t maximumBytes)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, stop, [this] { return !m_waiting.empty(); });
        std::vector<entry> batch;
        std::size_t bytes = 0;
        while (!m_waiting.empty() && batch.size() < maximumItems
               && (batch.empty() || bytes + m_waiting.front().bytes <= maximumBytes)) {
            bytes += m_waiting.front().bytes;
            batch.push_back(std::move(m_waiting.front()));
            m_waiting.pop_front();
        }
        return batch;
    }

    void push(entry added)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_waiting.push_back(std::move(added));
        }
        m_changed.notify_one();
    }

    // Puts back what was not answered, before everything else.
    void putBack(std::vector<entry> unanswered)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_waiting.insert(m_waiting.begin(), std::make_move_iterator(unanswered.begin()),
                             std::make_move_iterator(unanswered.end()));
        }
        m_changed.notify_all();
    }

private:
    std::mutex m_mutex;
    std::condition_variable_any m_changed;
    std::deque<entry> m_waiting;
};

// Sends claims and settlements to the leader in batches. What waits while all threads are busy is
// sent in one call by the next free one, so the batches grow with the load and one claim alone does
// not wait. Calls that fail are repeated until the item's time is over; both are safe to repeat.
//
// The threads are run by the caller (as supervised components): several with `runClaims`, so that
// several calls are under way at once, and some with `runSettlements`.
class ledger_client
{
public:
    // `openLink` makes the link of one thread.
    ledger_client(std::function<control_link()> openLink, std::function<instant()> now,
                  counter_registry &counters);

    // `done` receives nothing when no answer came until `giveUpAt`. It must not block.
    void requestClaim(const claim &wanted, instant giveUpAt,
                      std::function<void(std::optional<claim_answer>)> done);

    // `done` receives true when the settlement is committed, false at `giveUpAt`.
    void settle(const settlement &settled, instant giveUpAt, std::function<void(bool)> done);

    // Claims and settlements that have not ended. A process that stops waits until there are none.
    [[nodiscard]] std::size_t open() const { return m_open; }

    void runClaims(const std::stop_token &stop);
    void runSettlements(const std::stop_token &stop);

private:
    using claim_queue = batch_queue<claim, std::optional<claim_answer>>;
    using settlement_queue = batch_queue<settlement, bool>;

    void sendClaims(control_link &link, std::vector<claim_queue::entry> batch);
    void sendSettlements(control_link &link, std::vector<settlement_queue::entry> batch);

    std::function<control_link()> m_openLink;
    std::function<instant()> m_now;
    counter &m_claimCalls;
    counter &m_claims;
    counter &m_failedCalls;
    std::atomic<std::size_t> m_open{0};
    claim_queue m_claimQueue;
    settlement_queue m_settlementQueue;
};

} // namespace kingcuptiller
