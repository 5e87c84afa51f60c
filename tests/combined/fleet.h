#pragma once

#include "control_hosts.h"
#include "fact_checker.h"
#include "simulated_network.h"

#include "kingcuptiller/entry/announcement_book.h"
#include "kingcuptiller/entry/work_coordinator.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuptiller::testing {

// What one entry process decided on and where it sent it in one interval of the shift cap, as seen
// from outside.
struct interval_record
{
    using source = std::pair<class_name, region_name>;

    std::map<source, std::uint64_t> decided;
    std::map<source, std::map<region_name, std::uint64_t>> sent;
    // The former interval's flows, from which the cap's shares are computed.
    std::vector<region_flow> before;
};

// One process of an entry host. A killed one is kept, because messages to it are still under way.
struct entry_process
{
    std::string name;
    entry_identity identity;
    bool alive = true;
    milliseconds clock{0};
    std::shared_ptr<const entry_snapshot> snapshot = std::make_shared<entry_snapshot>();
    std::shared_ptr<work_coordinator> coordinator;
    announcement_book announcements;
    // The control host that is called next.
    std::size_t control = 0;
    instant nextSync{};
    bool syncing = false;
    std::uint64_t drawn = 0;
    // For the shift cap; by number of the interval on this process's clock.
    std::map<std::int64_t, interval_record> intervals;
    // The fleet's flows that the first sync brought.
    std::vector<region_flow> baseline;
    std::set<region_name> regions;
    std::map<std::string, region_name> originOf;
    // Requests by key that were handed to the coordinator and not decided on yet.
    std::map<std::string, int> undecided;
    // The interval in which an attempt that needs a claim was decided on.
    std::map<std::string, std::int64_t> intervalOf;
    // Keys and regions that count in `sent` already.
    std::set<std::pair<std::string, region_name>> sentTo;
};

// A process of an upstream. The address is that of the process, so a request to a former process is
// refused.
struct upstream_process
{
    upstream_announcement facts;
    bool alive = true;
    bool sheds = false;
    bool crosses = false;
    milliseconds late{0};
    std::uint32_t running = 0;
    instant nextAnnouncement{};
    // When the announcement of leaving was committed, and when it withdrew.
    std::optional<instant> left;
    bool withdrawn = false;
};

// One request on its way to an upstream and back.
struct exchange
{
    entry_process *entry = nullptr;
    std::string address;
    std::string key;
    std::string attempt;
    std::string payload;
    instant deadline{};
    bool onceOnly = false;
    bool ended = false;
    std::function<void(forward_result)> done;
};

// The fleet of the test: control hosts, entries, upstreams, clients and operators, on one network.
// Everything is driven by `step`; faults are set from outside through the public members.
class fleet
{
public:
    static constexpr std::size_t entryCount = 4;
    static constexpr std::size_t upstreamCount = 8;
    static constexpr std::size_t operatorCount = 2;

    explicit fleet(std::uint64_t seed);
    ~fleet();
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    void run(milliseconds time);

    [[nodiscard]] static std::string entryName(std::size_t number);
    [[nodiscard]] static std::string upstreamName(std::size_t number);
    void killEntry(std::size_t number);
    void startEntry(std::size_t number);
    [[nodiscard]] bool isUp(std::size_t entry) const { return m_entries.at(entry)->alive; }

    void killUpstream(std::size_t number);
    void startUpstream(std::size_t number);
    void leaveUpstream(std::size_t number);
    void withdrawUpstream(std::size_t number);
    upstream_process &upstream(std::size_t number) { return *m_upstreams.at(number); }

    // Sends one request with a new key to this entry.
    void probe(std::size_t entry, const std::string &workClass,
               const std::function<void(result_code)> &told);
    // Compares what the leader knows with everything that was accepted or completed.
    void checkMemory();

    simulated_network network;
    fact_checker facts;
    control_hosts control;
    // Requests of clients in a second.
    unsigned requestsPerSecond = 80;
    bool operatorsWork = true;

private:
    struct client_request
    {
        std::string key;
        std::string workClass;
        region_name origin;
        wall_time issued;
        int resends = 0;
        bool settled = false;
    };
    struct operator_state
    {
        std::optional<change_request> open;
        std::size_t control = 0;
        instant next{};
        bool waiting = false;
        std::uint64_t asked = 0;
    };
    template <typename Value>
    using core_action = std::function<void(control_core &, lease_moment, const reply<Value> &)>;

    void step();
    // fleet_control.cpp: calls to control hosts.
    template <typename Value>
    void callControl(const std::string &caller, std::size_t target, milliseconds limit,
                     const core_action<Value> &action,
                     std::function<void(const std::variant<Value, error> &)> done);
    template <typename Value>
    void callFrom(entry_process &entry, milliseconds limit, const core_action<Value> &action,
                  const std::function<void(std::optional<Value>)> &done);
    void sync(entry_process &entry);
    void requestClaim(entry_process &entry, const claim &wanted, instant giveUpAt,
                      const std::function<void(std::optional<claim_answer>)> &done);
    void settle(entry_process &entry, const settlement &settled, instant giveUpAt,
                const std::function<void(bool)> &done);
    void stepOperator(std::size_t number);
    void askOperator(std::size_t number);

    // fleet_work.cpp: clients, entries and upstreams.
    coordinator_hooks makeHooks(entry_process &entry);
    cancel_function forward(entry_process &entry, const forward_request &request,
                            std::function<void(forward_result)> done);
    void endExchange(const std::shared_ptr<exchange> &open, const forward_result &result);
    void answerExchange(const std::shared_ptr<exchange> &open, const forward_result &result);
    void reachUpstream(const std::shared_ptr<exchange> &open);
    void announce(upstream_process &upstream);
    void sendRequest(const std::shared_ptr<client_request> &request, std::size_t entry,
                     const std::function<void(result_code)> &told);
    void newRequest();
    void handle(entry_process &entry, const std::shared_ptr<client_request> &request,
                const std::function<void(work_answer)> &reply);
    [[nodiscard]] upstream_process *findUpstream(const std::string &address) const;

    // fleet_checks.cpp
    void checkSlots(const std::string &address) const;
    void checkDecision(const entry_process &entry) const;
    void checkSending(const entry_process &entry, const std::string &key) const;
    void checkLeaving(const std::string &address) const;
    void noteLeaving();
    void checkRevisions() const;
    void noteDecided(entry_process &entry, const std::string &key, const std::string &workClass);
    void noteSent(entry_process &entry, const exchange &sent);
    interval_record &followInterval(entry_process &entry);
    void checkShift(const entry_process &entry, const interval_record &interval) const;

    [[nodiscard]] instant clockOf(const entry_process &entry) const
    {
        return network.now() + entry.clock;
    }
    [[nodiscard]] wall_time wallNow() const;

    std::array<std::shared_ptr<entry_process>, entryCount> m_entries;
    std::array<std::shared_ptr<upstream_process>, upstreamCount> m_upstreams;
    // Former processes, which messages may still name.
    std::vector<std::shared_ptr<entry_process>> m_formerEntries;
    std::vector<std::shared_ptr<upstream_process>> m_formerUpstreams;
    std::vector<std::shared_ptr<exchange>> m_exchanges;
    std::array<operator_state, operatorCount> m_operators;
    std::map<std::string, class_name> m_classOfKey;
    // Settlements that an entry was told to be committed.
    std::set<std::string> m_committedKeys;
    // Attempts whose release an entry was told to be committed.
    std::map<attempt_id, request_key> m_releasedAttempts;
    // The newest revision that operators were told of.
    revision_number m_seenRevision;
    std::uint64_t m_drawn = 0;
    std::pair<std::string, std::string> m_lastRun;
};

} // namespace kingcuptiller::testing
