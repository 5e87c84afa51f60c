#include "bench/model_settings.h"

#include <cmath>

namespace kingcuptiller::bench {

namespace {

// Half of the capacity is used on an ordinary day, which leaves room for the loss of a region.
constexpr double ordinaryLoad = 0.5;

class_profile profile(const std::string &name, std::uint64_t rank, bool idempotent,
                      service_target target, milliseconds deadline, std::uint32_t upstreams,
                      std::uint32_t slots, double serviceMedianMs, double sigma)
{
    class_profile result;
    result.settings = {class_name(name), rank_number(rank), idempotent, target, deadline};
    result.upstreams = upstreams;
    result.slots = slots;
    result.serviceMedianMs = serviceMedianMs;
    result.serviceSigma = sigma;
    result.load = ordinaryLoad;
    result.requestBytes = 800;
    result.answerBytes = 6000;
    return result;
}

} // namespace

double class_profile::capacityPerSecond() const
{
    const double meanMs = serviceMedianMs * std::exp(serviceSigma * serviceSigma / 2);
    return upstreams * slots * 1000.0 / meanMs;
}

user_profile cuenca()
{
    user_profile user;
    user.name = "cuenca";
    user.regions = {"austro", "sierra-norte", "litoral"};
    user.clients = {0.4, 0.3, 0.3};
    user.zoneDelay = microseconds(1000);
    user.regionDelay = microseconds(55'000);
    user.clientDelay = microseconds(8000);
    user.connectionCost = microseconds(1000);
    user.classes = {profile("lookups", 2, true, {milliseconds(250), 990, 3}, milliseconds(2000), 20,
                            9, 40, 0.5),
                    profile("postings", 1, false, {milliseconds(600), 999, 10}, milliseconds(3000),
                            12, 3, 60, 0.4),
                    profile("revisions", 3, false, {milliseconds(3000), 950, 1}, milliseconds(5000),
                            12, 9, 150, 0.6)};
    return user;
}

user_profile sari()
{
    user_profile user;
    user.name = "sari";
    user.regions = {"luzon", "visayas", "mindanao"};
    user.clients = {0.4, 0.3, 0.3};
    user.zoneDelay = microseconds(1500);
    user.regionDelay = microseconds(20'000);
    user.clientDelay = microseconds(1000);
    user.connectionCost = microseconds(1000);
    user.classes = {profile("lookups", 2, true, {milliseconds(200), 990, 3}, milliseconds(2000), 20,
                            9, 40, 0.5),
                    profile("payments", 1, false, {milliseconds(500), 999, 10}, milliseconds(3000),
                            12, 3, 60, 0.4),
                    profile("ledger", 3, false, {milliseconds(3000), 950, 1}, milliseconds(5000),
                            12, 8, 150, 0.6)};
    return user;
}

std::vector<experiment_plan> allExperiments()
{
    std::vector<experiment_plan> plans(12);
    plans[0].name = "calm";
    plans[1].name = "slow";
    plans[1].slowEach = 4;
    plans[2].name = "flood-least-urgent";
    plans[2].floodRank = 3;
    plans[3].name = "flood-most-urgent";
    plans[3].floodRank = 1;
    plans[4].name = "entry-loss";
    plans[4].lost = loss::entry;
    plans[5].name = "zone-loss";
    plans[5].lost = loss::zone;
    plans[6].name = "region-loss";
    plans[6].lost = loss::region;
    plans[7].name = "zone-drain";
    plans[7].drainZone = true;
    plans[8].name = "reports-stop";
    plans[8].slowEach = 4;
    plans[8].reportsStop = true;
    plans[9].name = "reports-wrong";
    plans[9].slowEach = 4;
    plans[9].reportFactor = 5;
    plans[10].name = "cold";
    plans[10].cold = true;
    plans[11].name = "flood-and-region-loss";
    plans[11].floodRank = 3;
    plans[11].lost = loss::region;
    return plans;
}

const std::vector<model_policy> &allPolicies()
{
    static const std::vector<model_policy> policies{
        model_policy::round_robin, model_policy::least_loaded_shedding, model_policy::static_shares,
        model_policy::moved_shares};
    return policies;
}

std::string policyName(model_policy policy)
{
    switch (policy) {
    case model_policy::round_robin:
        return "round robin";
    case model_policy::least_loaded_shedding:
        return "(a) least loaded";
    case model_policy::static_shares:
        return "(b) static shares";
    case model_policy::moved_shares:
        break;
    }
    return "(c) moved shares";
}

} // namespace kingcuptiller::bench
