#pragma once

#include "samples.h"

#include "kingcuptiller/control/lease_table.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace kingcuptiller::samples {

// A leader and entries that lag, over a network that loses, repeats, delays and reorders syncs.
// Entries restart, leaders change, proposals get lost with their leader, and snapshots are
// restored. One seed decides everything. `step` does one random thing; `problem` tells what is
// wrong after it.
class fleet_simulation
{
public:
    explicit fleet_simulation(std::uint64_t seed);

    void step();
    // The violated invariant, or nothing: more requests in flight at an upstream than it has slots,
    // or an entry that may serve with an older configuration than one answered as accepted.
    [[nodiscard]] std::optional<std::string> problem() const;
    // Requests that entries started, so that a test can see that the run was no idle one.
    [[nodiscard]] std::size_t started() const { return m_started; }
    [[nodiscard]] revision_number accepted() const { return m_accepted; }

private:
    struct running_request
    {
        upstream_id upstream;
        instant deadline;
    };
    struct fake_entry
    {
        entry_identity identity;
        instant leaseEnd;
        revision_number revision;
        assignment_sequence applied;
        std::vector<upstream_assignment> assigned;
        std::vector<running_request> running;
    };
    struct sent_sync
    {
        entry_sync_request request;
        instant sent;
    };
    struct sent_response
    {
        incarnation_id receiver;
        entry_sync_response response;
        instant sent;
    };

    std::size_t draw(std::size_t below);
    fake_entry &anyEntry() { return m_entries[draw(m_entries.size())]; }
    void sendSync();
    void deliverSync();
    void deliverResponse();
    void startRequest();
    void finishRequest();
    void collect();
    void commit();
    void restartEntry();
    void changeLeader();
    void changeConfiguration();
    void advance();
    [[nodiscard]] std::size_t inFlightAt(const upstream_id &id) const;
    [[nodiscard]] lease_moment moment() const;

    std::mt19937_64 m_engine;
    control_state m_state = makeState();
    lease_table m_leader;
    instant m_now{microseconds{1'000'000}};
    std::vector<fake_entry> m_entries;
    // Requests of entry processes that have died; the upstreams still run them.
    std::vector<running_request> m_orphans;
    std::vector<sent_sync> m_syncs;
    std::vector<sent_response> m_responses;
    std::optional<fleet_update> m_proposal;
    std::vector<upstream_announcement> m_upstreams;
    revision_number m_accepted;
    std::size_t m_started = 0;
    std::uint64_t m_restarts = 0;
};

} // namespace kingcuptiller::samples
