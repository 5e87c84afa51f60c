#include "bench/experiment_report.h"
#include "bench/steering_model.h"

#include <popt.h>

#include <algorithm>
#include <iostream>
#include <memory>

// Runs the steering decisions in the model at a user's sizes and prints what each policy did.

using namespace kingcuptiller;
using namespace kingcuptiller::bench;

namespace {

struct options
{
    std::string user = "cuenca";
    std::string experiment = "all";
    std::string policy = "all";
    int seed = 1;
    int seconds = 40;
    bool json = false;
};

std::string taken(char *text, const std::string &fallback)
{
    const std::unique_ptr<char, decltype(&std::free)> owned(text, &std::free);
    return owned ? owned.get() : fallback;
}

// Returns false, with a message, when the command line is not understood.
bool parse(int argc, const char **argv, options &to)
{
    char *user = nullptr;
    char *experiment = nullptr;
    char *policy = nullptr;
    int json = 0;
    const poptOption table[] = {
        {"user", 'u', POPT_ARG_STRING, &user, 0, "Whose sizes to use", "cuenca|sari"},
        {"experiment", 'e', POPT_ARG_STRING, &experiment, 0, "Experiment, or all", "NAME"},
        {"policy", 'p', POPT_ARG_STRING, &policy, 0, "Only policies that contain this", "TEXT"},
        {"seed", 's', POPT_ARG_INT, &to.seed, 0, "Seed of the run", "NUMBER"},
        {"seconds", 't', POPT_ARG_INT, &to.seconds, 0, "Length of the measured part", "NUMBER"},
        {"json", 'j', POPT_ARG_NONE, &json, 0, "Print JSON lines", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("steering-experiments", argc, argv, table, 0);
    const int status = poptGetNextOpt(context);
    if (status < -1 || to.seconds < 1 || to.seconds > 3600 || to.seed < 0)
        std::cerr << "steering-experiments: " << poptBadOption(context, 0) << ": "
                  << (status < -1 ? poptStrerror(status) : "a number is out of range") << '\n';
    poptFreeContext(context);
    to.user = taken(user, to.user);
    to.experiment = taken(experiment, to.experiment);
    to.policy = taken(policy, to.policy);
    to.json = json != 0;
    return status == -1 && to.seconds >= 1 && to.seconds <= 3600 && to.seed >= 0;
}

bool selected(const std::string &wanted, const std::string &name)
{
    return wanted == "all" || name.find(wanted) != std::string::npos;
}

int runAll(const options &chosen)
{
    run_settings settings;
    settings.user = chosen.user == "sari" ? sari() : cuenca();
    settings.seed = static_cast<std::uint64_t>(chosen.seed);
    settings.length = std::chrono::seconds(chosen.seconds);
    int runs = 0;
    for (const experiment_plan &plan : allExperiments()) {
        if (chosen.experiment != "all" && chosen.experiment != plan.name)
            continue;
        settings.plan = plan;
        policy_results results;
        for (const model_policy policy : allPolicies()) {
            if (!selected(chosen.policy, policyName(policy)))
                continue;
            settings.policy = policy;
            results[policy] = steering_model(settings).run();
            ++runs;
        }
        (chosen.json ? printJson : printTable)(std::cout, settings, results);
        std::cout << std::flush;
    }
    return runs;
}

} // namespace

int main(int argc, const char **argv)
{
    try {
        options chosen;
        if (!parse(argc, argv, chosen))
            return exitStatus(result_code::command_line_invalid);
        const bool known = chosen.user == "cuenca" || chosen.user == "sari";
        if (known && runAll(chosen) > 0)
            return 0;
        std::cerr << "steering-experiments: no such user, experiment or policy; users: cuenca, "
                     "sari; experiments:";
        for (const experiment_plan &plan : allExperiments())
            std::cerr << ' ' << plan.name;
        std::cerr << '\n';
        return exitStatus(result_code::command_line_invalid);
    } catch (const std::exception &fault) {
        std::cerr << "steering-experiments: " << fault.what() << '\n';
        return exitStatus(result_code::internal_fault);
    }
}
