#pragma once

#include "bench/event_queue.h"
#include "bench/model_control.h"
#include "bench/model_settings.h"
#include "bench/model_upstream.h"
#include "bench/run_result.h"
#include "bench/shift_audit.h"
#include "kingcuptiller/steering/entry_dispatcher.h"
#include "kingcuptiller/steering/entry_list.h"

#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace kingcuptiller::bench {

// A client's request on its way through the model.
struct model_request
{
    std::uint64_t number = 0;
    std::size_t workClass = 0;
    std::size_t origin = 0;
    instant sent;
    instant deadline;
    microseconds service{0};
    bool measured = false;
    bool over = false;
    // Entries in the client's order, and the next one to try.
    std::vector<std::size_t> entries;
    std::size_t tried = 0;
    std::set<std::size_t> regions;
};

using request_pointer = std::shared_ptr<model_request>;

// An entry host: the project's dispatcher, and the attempts that it has open.
struct model_entry
{
    struct attempt
    {
        std::uint32_t number = 1;
        std::size_t upstream = 0;
        std::uint64_t job = 0;
        instant sent;
    };

    entry_identity identity;
    std::size_t region = 0;
    bool alive = true;
    std::unique_ptr<entry_dispatcher> dispatcher;
    assignment_sequence applied;
    shift_audit audit;
    std::unordered_map<std::uint64_t, request_pointer> requests;
    std::unordered_map<std::uint64_t, std::vector<attempt>> attempts;
};

// An event-driven model of both users' systems: clients, seven entries with the project's own
// entry_dispatcher, control with its share planner, and upstreams. Times of services are drawn from
// the request's number and the seed, so that all policies serve the same requests.
//
// Use: `steering_model(settings).run()`, once.
class steering_model
{
public:
    explicit steering_model(const run_settings &settings);

    [[nodiscard]] run_result run();

private:
    // Set-up (model_setup.cpp).
    void addEntries();
    void addUpstreams();
    void scheduleExperiment();
    [[nodiscard]] dispatcher_settings dispatcherSettings(const model_entry &entry) const;

    // Clients.
    void scheduleArrival(std::size_t workClass, std::size_t origin);
    void newRequest(std::size_t workClass, std::size_t origin);
    void tryNextEntry(const request_pointer &request);
    [[nodiscard]] double arrivalRate(std::size_t workClass, std::size_t origin) const;

    // Entries (model_entries.cpp).
    void reach(std::size_t entry, const request_pointer &request);
    void handle(std::size_t entry, const request_pointer &request, const decision &made);
    void send(std::size_t entry, const request_pointer &request, const forward_decision &forward);
    void answered(std::size_t entry, const request_pointer &request, std::uint32_t number,
                  attempt_outcome outcome);
    void endAttempt(std::size_t entry, const request_pointer &request, std::uint32_t number,
                    attempt_outcome outcome);
    void giveUp(std::size_t entry, const request_pointer &request, attempt_outcome outcome);
    void hedgeLater(std::size_t entry, const request_pointer &request);
    void timeOut(std::size_t entry, const request_pointer &request);
    void takeReady(std::size_t entry);
    void tick(std::size_t entry);

    // Control and measurements (model_rounds.cpp).
    void syncRound(std::size_t entry);
    void announceRound();
    void reviewRound();
    void sampleRound();
    void reportLoads();

    // The client has its answer, or a refusal.
    void answerClient(const request_pointer &request, std::size_t entry);
    void refuseClient(const request_pointer &request, result_code code);
    class_result &resultOf(const request_pointer &request);

    [[nodiscard]] microseconds delay(const region_name &from, const zone_name &fromZone,
                                     const region_name &to, const zone_name &toZone) const;
    [[nodiscard]] microseconds upstreamDelay(std::size_t entry, std::size_t upstream) const;
    [[nodiscard]] bool measuring() const;
    [[nodiscard]] bool inDrain(const upstream_announcement &upstream) const;

    run_settings m_settings;
    event_queue m_events;
    random_engine m_engine;
    instant m_measureFrom;
    instant m_end;
    instant m_experimentAt;
    bool m_flooding = false;
    bool m_reportsStopped = false;
    bool m_draining = false;
    configuration m_configuration;
    model_control m_control;
    std::vector<model_entry> m_entries;
    std::vector<std::unique_ptr<model_upstream>> m_upstreams;
    std::unordered_map<upstream_id, std::size_t> m_upstreamByName;
    std::unordered_map<host_id, std::size_t> m_entryByName;
    entry_list m_list;
    std::uint64_t m_requests = 0;
    std::uint64_t m_jobs = 0;
    std::set<std::int64_t> m_secondsOverSlots;
    run_result m_result;
};

} // namespace kingcuptiller::bench
