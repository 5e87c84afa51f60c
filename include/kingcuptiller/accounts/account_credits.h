#pragma once

#include "kingcuptiller/accounts/client_account.h"
#include "kingcuptiller/accounts/quota_messages.h"
#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace kingcuptiller {

enum class credit_decision {
    // The request may run; its credit is spent.
    granted,
    // The entry has asked for a credit, or is about to.
    wait,
    // The account has used up its limit.
    limited,
    // The entry has no credit and no news from the leading control host.
    unknown,
};

struct credit_answer
{
    credit_decision decision = credit_decision::granted;
    // When a request may be expected to fit. Set for `limited` and `unknown`.
    milliseconds retryAfter{0};

    bool operator==(const credit_answer &) const = default;
};

// One entry's credits for the rate limits of client accounts; see `account_quota_pool`. Load to
// which it responds: requests of many accounts, of which each may come through any entry, while the
// round trip to the leader takes longer than a request may be delayed. An entry asks for credits
// ahead, by its recent demand. For accounts of which it sees few requests, it serves single
// requests ahead of a grant.
// While the leader does not answer, each entry serves its part of the limit, which the leader takes
// off what it grants to the others.
//
//     switch (credits.take(account, now).decision) ...
//     if (credits.isRequestDue(now))
//         send(credits.makeRequest(now));
//     credits.applyReply(reply, now);
//
// Not thread-safe.
class account_credits
{
public:
    // `run` differs between the runs of the entry process.
    account_credits(endpoint_address entry, std::uint64_t run);

    // Spends a credit for a request of `account`. `isRepeated` is true when the same request has
    // waited before, so that it is not counted as new demand.
    [[nodiscard]] credit_answer take(const client_account &account, instant now,
                                     bool isRepeated = false);
    // Takes back the credit of a request that did not run.
    void giveBack(const client_account &account, instant now);

    // Sets the number of entries, among which a limit is divided while the leader does not answer.
    void setEntryCount(std::size_t entryCount) { m_entryCount = entryCount; }
    // Whether a request waits for which no message has asked yet.
    [[nodiscard]] bool isShort() const { return m_isShort; }
    // Whether to send a message now.
    [[nodiscard]] bool isRequestDue(instant now) const;
    [[nodiscard]] credit_request makeRequest(instant now);
    void applyReply(const credit_reply &reply, instant now);

private:
    struct credit_batch
    {
        std::uint32_t credits = 0;
        instant expiry;
    };

    // The entry's part of a limit while the leader does not answer.
    struct fallback_bucket
    {
        double tokens = 0;
        instant refilledAt;
    };

    struct account_record
    {
        std::deque<credit_batch> batches;
        // Requests per second at this entry, a moving average.
        double demandPerSecond = 0;
        instant lastDemand;
        // Not yet reported.
        std::uint32_t spent = 0;
        std::uint32_t returned = 0;
        std::uint32_t owed = 0;
        // Requests that wait for a credit, as far as no message has asked for them.
        std::uint32_t waiting = 0;
        // Credits asked for, by the messages that are not answered.
        std::uint32_t requested = 0;
        // Set while the leader does not answer.
        std::optional<fallback_bucket> fallback;
    };

    struct sent_request
    {
        instant sentAt;
        // The credits asked for.
        std::map<account_name, std::uint32_t> requested;
    };

    struct constrained_state
    {
        milliseconds untilRoom{0};
        instant since;
    };

    [[nodiscard]] account_record &recordOf(const account_name &account, instant now);
    [[nodiscard]] bool isReplyFresh(instant now) const;
    [[nodiscard]] credit_answer takeWithoutLeader(const client_account &account,
                                                  account_record &record, instant now) const;
    [[nodiscard]] std::uint32_t wantedCredits(const account_record &record, instant now) const;
    static void countDemand(account_record &record, instant now);
    static std::uint32_t creditsOf(const account_record &record);
    // Forgets what a message has asked for, which is answered or lost.
    void settle(const sent_request &sent);

    endpoint_address m_entry;
    std::uint64_t m_run = 0;
    std::uint64_t m_sequence = 0;
    std::map<account_name, account_record> m_accounts;
    std::map<account_name, constrained_state> m_constrained;
    // The messages that are not answered, by sequence.
    std::map<std::uint64_t, sent_request> m_sent;
    std::optional<instant> m_lastSent;
    std::optional<instant> m_lastReply;
    milliseconds m_interval;
    bool m_isShort = false;
    std::size_t m_entryCount = 1;
};

} // namespace kingcuptiller
