#include "stand_in/upstream_options.h"

#include "kingcuptiller/cli/option_set.h"
#include "kingcuptiller/settings/settings_reader.h"
#include "kingcuptiller/values/error.h"

#include <sstream>
#include <stdexcept>

namespace kingcuptiller::stand_in {

namespace {

constexpr const char *usage = R"(Usage: stand-in-upstream --id ID --region R --zone Z --class C
                         --listen IP:PORT --entries IP:PORT,... [options]

Stands in for a user's upstream in the demo and in tests. It announces itself to the first entry
that answers, runs requests in its slots and answers with their bodies. SIGTERM makes it leave.
)";

option_set declaredOptions()
{
    option_set options(usage);
    options.value("id", "ID", "id of this upstream");
    options.value("region", "NAME", "region");
    options.value("zone", "NAME", "availability zone");
    options.value("class", "NAME", "class of work that it serves");
    options.value("listen", "IP:PORT", "address for requests");
    options.value("entries", "LIST", "entries to announce to, by commas");
    options.value("slots", "N", "requests that run at once (9)");
    options.value("queue", "N", "requests that wait; more are shed (18)");
    options.value("connections", "N", "connections that it says it can hold (400)");
    options.value("service-time", "TIME", "mean service time ('20 ms')");
    options.value("spread", "SHARE", "spread of service times, 0 to 1 (0.5)");
    options.value("seed", "N", "seed of the service times (1)");
    options.value("cold-start", "TIME", "time of slow service after the start ('0 ms')");
    options.value("cold-factor", "N", "service times at the start, in multiples (4)");
    options.value("announce-every", "TIME", "time between announcements ('1 s')");
    options.value("load-lag", "TIME", "age of the load that is reported ('0 ms')");
    options.value("load-lie", "SHARE", "report this load, whatever the truth");
    options.value("drain-time", "TIME", "time after SIGTERM before work is shed ('3 s')");
    options.value("journal", "FILE", "append a line for each run");
    return options;
}

std::uint32_t count(const option_set &options, const std::string &name, std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(
        parseNumberOption(name, options.text(name, std::to_string(fallback)), 0, 100000));
}

milliseconds duration(const option_set &options, const std::string &name, milliseconds fallback)
{
    return options.has(name) ? parseDuration(options.text(name)) : fallback;
}

void readBehaviour(const option_set &options, upstream_options &result)
{
    result.slots = count(options, "slots", result.slots);
    result.queue = count(options, "queue", result.queue);
    result.connections = count(options, "connections", result.connections);
    result.serviceTime = duration(options, "service-time", result.serviceTime);
    result.spread = parseNumberOption("spread", options.text("spread", "0.5"), 0, 1);
    result.seed = count(options, "seed", 1);
    result.coldStart = duration(options, "cold-start", result.coldStart);
    result.coldFactor = parseNumberOption("cold-factor", options.text("cold-factor", "4"), 1, 1000);
    result.announceEvery = duration(options, "announce-every", result.announceEvery);
    result.loadLag = duration(options, "load-lag", result.loadLag);
    if (options.has("load-lie"))
        result.loadLie = parseNumberOption("load-lie", options.text("load-lie"), 0, 1);
    result.drainTime = duration(options, "drain-time", result.drainTime);
}

} // namespace

upstream_options parseUpstreamOptions(int argc, const char *const *argv)
{
    option_set options = declaredOptions();
    options.parse({argv + 1, argv + argc});
    upstream_options result;
    if (options.has("help")) {
        result.help = options.help();
        return result;
    }
    try {
        result.id = upstream_id(options.required("id"));
        result.region = region_name(options.required("region"));
        result.zone = zone_name(options.required("zone"));
        result.workClass = class_name(options.required("class"));
        result.listen = parseEndpoint(options.required("listen"));
        std::istringstream list(options.required("entries"));
        for (std::string each; std::getline(list, each, ',');)
            result.entries.push_back(parseEndpoint(each));
        readBehaviour(options, result);
    } catch (const std::invalid_argument &fault) {
        throw error(result_code::command_line_invalid, fault.what());
    }
    result.journal = options.text("journal");
    if (result.entries.empty() || result.slots == 0)
        throw error(result_code::command_line_invalid, "--entries and --slots must not be empty");
    return result;
}

} // namespace kingcuptiller::stand_in
