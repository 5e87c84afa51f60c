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

// Three or five replicas on fake disks, joined by a fake network, on one true time that advances in
// steps of 10 ms. Each host's clock starts elsewhere and drifts by up to 4%. Every step checks the
// promises of the replicated log and throws std::runtime_error when one is broken.
class fake_fleet
{
public:
    // `sizes` may lower the sizes of the log and of messages; its hosts are ignored.
    fake_fleet(std::size_t hosts, std::uint64_t seed, replica_settings sizes = {});

    void run(milliseconds duration);
    // Ends all faults except lost disks, then runs until every host holds every committed entry
    // and is a voter under its present identity. Throws when that takes longer than 30 s.
    void waitForRecovery();
    [[nodiscard]] bool isRecovered();

    // Proposes on the leader, if there is one that holds a lease.
    void propose(std::size_t count, std::size_t bytes = 10);

    // Faults; a host is named by its position.
    void crashHost(std::size_t host);
    void start(std::size_t host, bool founding = false);
    void clearDisk(std::size_t host);
    void flipBit(std::size_t host);
    // Starts the host with another disk, which may be one that it had before.
    void replaceDisk(std::size_t host, const fake_disk &files);
    // The disk refuses writes until the host, which then stops, is started again.
    void failDisk(std::size_t host);
    void freeze(std::size_t host, milliseconds duration);
    void blockLink(std::size_t from, std::size_t to) { m_blockedLinks.insert({from, to}); }
    void isolate(std::size_t host);
    void unblockAllLinks() { m_blockedLinks.clear(); }
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
    [[nodiscard]] std::size_t committedCount() const { return m_committed.size(); }
    // How often an event of this kind was reported by any host.
    [[nodiscard]] std::size_t eventCount(const std::string &kind) const;
    [[nodiscard]] milliseconds elapsed() const { return m_elapsed; }

private:
    struct fake_host
    {
        host_id id;
        fake_disk files;
        std::unique_ptr<replica_store> store;
        std::unique_ptr<replica> node;
        // Applied commands as "index:command".
        std::vector<std::string> state;
        std::set<incarnation_id> lostIncarnations;
        milliseconds frozenUntil{0};
        std::int64_t clockStart = 0;
        double clockSpeed = 1;
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
    // What any host has handed out as committed, in order, and the position of each index in it.
    std::vector<std::string> m_commands;
    std::map<log_index, std::size_t> m_committed;
    std::map<epoch_number, replica_identity> m_leaders;
    std::map<std::pair<replica_identity, epoch_number>, replica_identity> m_votes;
    std::map<std::string, std::size_t> m_events;
};

} // namespace kingcuptiller::testing
