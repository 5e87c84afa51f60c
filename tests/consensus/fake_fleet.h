#pragma once

#include "kingcuptiller/consensus/replica.h"
#include "tests/storage/fake_disk.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcuptiller::testing {

// Simulates a fleet of replicas with in-memory disks and a simulated network. The simulated time
// advances in steps of 10 ms. Each host's clock has its own offset and runs up to 4% too fast or
// too slow. Every step checks the invariants of the Raft log, such as one leader per term, and
// throws std::runtime_error when one is violated.
class fake_fleet
{
public:
    // Starts `hosts` founding replicas. `settings` overrides the size limits of the log and of
    // messages; `settings.hosts` must be empty.
    fake_fleet(std::size_t hosts, std::uint64_t seed, replica_settings settings = {});

    void run(milliseconds duration);
    // Ends all network faults and freezes, restarts stopped hosts, then runs until every host holds
    // every committed entry and is a voter under its present identity. Does not restore the content
    // of erased or damaged disks. Throws std::runtime_error when recovery takes longer than 30 s of
    // simulated time.
    void waitForRecovery();
    [[nodiscard]] bool isRecovered();

    // Proposes `count` distinct commands, each with `bytes` bytes of padding, on the leader. Does
    // nothing when no replica holds a lease.
    void propose(std::size_t count, std::size_t bytes = 10);

    // Fault injection. `host` is the index of the host, from 0 to `size()` - 1.
    // Stops the host; a random part of its unsynced writes is lost.
    void crashHost(std::size_t host);
    // Starts the host's replica on its present disk. `founding` allows it to form a new fleet.
    void start(std::size_t host, bool founding = false);
    // Crashes the host and erases its disk.
    void clearDisk(std::size_t host);
    // Crashes the host and flips a random bit of its log or of its identity file.
    void flipBit(std::size_t host);
    // Crashes the host and restarts it with another disk, such as an earlier copy of its own disk.
    void replaceDisk(std::size_t host, const fake_disk &files);
    // Makes the next write or sync on the host's disk fail, which stops the replica; writes succeed
    // again after the host is restarted.
    void failDisk(std::size_t host);
    // Pauses the process for `duration`; messages that arrive meanwhile are queued.
    void freeze(std::size_t host, milliseconds duration);
    // Drops all messages in the direction from `from` to `to`.
    void blockLink(std::size_t from, std::size_t to) { m_blockedLinks.insert({from, to}); }
    // Drops all messages from and to the host.
    void isolate(std::size_t host);
    void unblockAllLinks() { m_blockedLinks.clear(); }
    // Whether the network randomly drops, duplicates and delays messages; initially true.
    void setNetworkNoise(bool noise) { m_networkNoise = noise; }

    [[nodiscard]] std::size_t size() const { return m_hosts.size(); }
    [[nodiscard]] std::optional<std::size_t> leader() const;
    [[nodiscard]] bool isRunning(std::size_t host) const { return m_hosts[host].node != nullptr; }
    [[nodiscard]] bool hasLease(std::size_t host) const;
    [[nodiscard]] bool isCurrent(std::size_t host) const;
    [[nodiscard]] replica_status status(std::size_t host) const;
    [[nodiscard]] replica_store &store(std::size_t host) { return *m_hosts[host].store; }
    [[nodiscard]] fake_disk &files(std::size_t host) { return m_hosts[host].files; }
    [[nodiscard]] const std::vector<std::string> &state(std::size_t host) const
    {
        return m_hosts[host].state;
    }
    [[nodiscard]] std::size_t committedCount() const { return m_positionByIndex.size(); }
    // Returns how many events of this kind all hosts have reported.
    [[nodiscard]] std::size_t eventCount(const std::string &kind) const;
    [[nodiscard]] milliseconds elapsed() const { return m_elapsed; }

private:
    struct fake_host
    {
        host_id id;
        fake_disk files;
        std::unique_ptr<replica_store> store;
        std::unique_ptr<replica> node;
        // The applied commands, each as "index:command".
        std::vector<std::string> state;
        // The incarnations whose disk was erased or damaged. They must not reappear.
        std::set<incarnation_id> lostIncarnations;
        milliseconds frozenUntil{0};
        std::int64_t clockOffsetMicroseconds = 0;
        // Clock time per simulated time.
        double clockRate = 1;
    };

    void step();
    void deliver(std::size_t position, std::vector<peer_message> &messages);
    void send(std::size_t from, const peer_message &message);
    void checkVote(const peer_message &message);
    void checkLeaders();
    void recordCommitted(fake_host &host, const committed_entry &entry);
    void restore(fake_host &host, const std::string &text);
    [[nodiscard]] instant clock(const fake_host &host) const;
    [[nodiscard]] std::optional<std::size_t> positionOf(const host_id &id) const;
    [[nodiscard]] bool frozen(const fake_host &host) const { return m_elapsed < host.frozenUntil; }

    replica_settings m_settings;
    std::mt19937_64 m_random;
    std::vector<fake_host> m_hosts;
    std::multimap<milliseconds, std::pair<std::size_t, peer_message>> m_network;
    std::set<std::pair<std::size_t, std::size_t>> m_blockedLinks;
    bool m_networkNoise = true;
    milliseconds m_elapsed{0};
    std::size_t m_proposals = 0;
    std::size_t m_incarnations = 0;
    // All commands that `takeCommitted` has returned on any host, in log order, and for each log
    // index the position of its command in that list.
    std::vector<std::string> m_commands;
    std::map<log_index, std::size_t> m_positionByIndex;
    std::map<epoch_number, replica_identity> m_leaders;
    std::map<std::pair<replica_identity, epoch_number>, replica_identity> m_votes;
    std::map<std::string, std::size_t> m_events;
};

} // namespace kingcuptiller::testing
