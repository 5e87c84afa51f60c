#include "stand_in/load_options.h"

#include "kingcuptiller/cli/option_set.h"
#include "kingcuptiller/settings/settings_reader.h"
#include "kingcuptiller/values/error.h"

#include <sstream>
#include <stdexcept>

namespace kingcuptiller::stand_in {

namespace {

constexpr const char *usage = R"(Usage: load-generator --entries IP:PORT,... --region R --zone Z
                      --class NAME,rate=N,... [--class ...] [options]

Sends requests as clients do: looks the entries up, keeps the answer for its lifetime, sends each
request with a key of its own, and asks again with the same key when an answer is lost. Prints for
each class what became of the requests. Ends with status 1 when an answer was not the request's own.

A class is NAME followed by any of rate=REQUESTS-A-SECOND, deadline=TIME, bytes=BODY-SIZE,
answer=ANSWER-SIZE and idempotent, by commas:
  --class index-lookups,rate=200,deadline=500ms,answer=2000,idempotent
)";

option_set declaredOptions()
{
    option_set options(usage);
    options.value("entries", "LIST", "entries for the first look-up, by commas");
    options.value("region", "NAME", "region of the clients");
    options.value("zone", "NAME", "availability zone of the clients");
    options.value("client", "NAME", "who asks ('load-generator')");
    options.value("class", "PLAN", "requests of one class; may be given several times");
    options.value("duration", "TIME", "time in which requests are sent ('10 s')");
    options.value("settle-time", "TIME", "longest wait for the last answers ('12 s')");
    options.value("seed", "N", "seed of keys and times (1)");
    options.value("record", "FILE", "write each request's outcome, for journal-check");
    options.flag("json", "print JSON instead of a table");
    return options;
}

void readOptions(const option_set &options, load_options &result)
{
    std::istringstream list(options.required("entries"));
    for (std::string each; std::getline(list, each, ',');)
        result.entries.push_back(parseEndpoint(each));
    result.region = region_name(options.required("region"));
    result.zone = zone_name(options.required("zone"));
    result.client = options.text("client", result.client);
    static_cast<void>(options.required("class"));
    for (const std::string &each : options.all("class"))
        result.classes.push_back(parseClassPlan(each));
    result.duration = parseDuration(options.text("duration", "10 s"));
    result.settleTime = parseDuration(options.text("settle-time", "12 s"));
    result.seed =
        static_cast<std::uint64_t>(parseNumberOption("seed", options.text("seed", "1"), 0, 1e9));
    result.record = options.text("record");
    result.json = options.has("json");
    if (result.entries.empty())
        throw std::invalid_argument("--entries is empty");
}

} // namespace

class_plan parseClassPlan(const std::string &text)
{
    class_plan plan;
    std::istringstream parts(text);
    std::string part;
    std::getline(parts, part, ',');
    plan.workClass = class_name(part);
    try {
        if (part.empty())
            throw std::invalid_argument("the name of the class is missing");
        while (std::getline(parts, part, ',')) {
            const std::string name = part.substr(0, part.find('='));
            const std::string value = part.substr(std::min(name.size() + 1, part.size()));
            if (name == "idempotent" && part == name)
                plan.idempotent = true;
            else if (name == "rate")
                plan.rate = parseNumberOption("class rate", value, 0.001, 100000);
            else if (name == "deadline")
                plan.deadline = parseDuration(value);
            else if (name == "bytes")
                plan.bodyBytes =
                    static_cast<std::size_t>(parseNumberOption("class bytes", value, 0, 4e6));
            else if (name == "answer")
                plan.answerBytes =
                    static_cast<std::size_t>(parseNumberOption("class answer", value, 0, 4e6));
            else
                throw std::invalid_argument("unknown part '" + part + "'");
        }
    } catch (const std::invalid_argument &fault) {
        throw error(result_code::command_line_invalid,
                    "--class " + text + ": " + std::string(fault.what()));
    }
    return plan;
}

load_options parseLoadOptions(int argc, const char *const *argv)
{
    option_set options = declaredOptions();
    options.parse({argv + 1, argv + argc});
    load_options result;
    if (options.has("help")) {
        result.help = options.help();
        return result;
    }
    try {
        readOptions(options, result);
    } catch (const std::invalid_argument &fault) {
        throw error(result_code::command_line_invalid, fault.what());
    }
    return result;
}

} // namespace kingcuptiller::stand_in
