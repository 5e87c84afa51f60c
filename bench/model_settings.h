#pragma once

#include "kingcuptiller/values/configuration.h"

#include <cstdint>
#include <string>
#include <vector>

// What the model is told: the sizes of the two users (docs/design.md, section 1.3), the experiments
// and the policies to compare.

namespace kingcuptiller::bench {

// A class of work with its upstreams and its clients' behaviour. The users state upstreams and
// slots; service times, sizes and rates are assumptions of the model.
struct class_profile
{
    work_class settings;
    std::uint32_t upstreams = 0;
    std::uint32_t slots = 0;
    // Log-normal service time.
    double serviceMedianMs = 0;
    double serviceSigma = 0;
    // Requests on an ordinary day as a share of what all slots can serve.
    double load = 0;
    std::uint64_t requestBytes = 0;
    std::uint64_t answerBytes = 0;

    [[nodiscard]] double capacityPerSecond() const;
};

struct user_profile
{
    std::string name;
    std::vector<std::string> regions;
    // Share of the clients in each region.
    std::vector<double> clients;
    microseconds zoneDelay{0};
    microseconds regionDelay{0};
    microseconds clientDelay{0};
    microseconds connectionCost{0};
    std::vector<class_profile> classes;
};

[[nodiscard]] user_profile cuenca();
[[nodiscard]] user_profile sari();

enum class loss { none, entry, zone, region };

// One experiment. What happens starts at `start` after the run's begin.
struct experiment_plan
{
    std::string name;
    // Each nth look-up upstream serves this much slower; 0 for none.
    std::uint32_t slowEach = 0;
    double slowFactor = 4;
    // The class of this rank arrives at 10 times its capacity; 0 for none.
    std::uint64_t floodRank = 0;
    loss lost = loss::none;
    bool drainZone = false;
    bool reportsStop = false;
    // Reports are wrong by this factor, up for one half of the upstreams and down for the other.
    double reportFactor = 1;
    bool cold = false;
};

[[nodiscard]] std::vector<experiment_plan> allExperiments();

enum class model_policy {
    // Round robin within a region, on slot shares that move to demand.
    round_robin,
    // (a) Least reported load of two, no slot shares, upstreams shed.
    least_loaded_shedding,
    // (b) Least expected latency on equal slot shares that never move.
    static_shares,
    // (c) Least expected latency on slot shares that move to demand.
    moved_shares,
};

[[nodiscard]] const std::vector<model_policy> &allPolicies();
[[nodiscard]] std::string policyName(model_policy policy);

struct run_settings
{
    user_profile user;
    experiment_plan plan;
    model_policy policy = model_policy::moved_shares;
    std::uint64_t seed = 1;
    // Length of the measured part. Before it, the model runs for `warmUp` without measuring.
    std::chrono::seconds length{40};
    std::chrono::seconds warmUp{15};
    // When, after the begin of the measured part, the experiment's events happen.
    std::chrono::seconds start{5};
};

} // namespace kingcuptiller::bench
