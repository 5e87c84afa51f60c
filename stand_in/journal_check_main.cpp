#include "kingcuptiller/cli/option_set.h"
#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/values/error.h"
#include "stand_in/journal_check.h"
#include "stand_in/load_report.h"

#include <fmt/format.h>
#include <json/value.h>

#include <exception>
#include <fstream>
#include <iterator>

using namespace kingcuptiller;

namespace {

constexpr const char *usage = R"(Usage: journal-check --record FILE... JOURNAL...

Holds the journals of all upstreams against the records of all load generators. Ends with status 1
when a non-idempotent request ran twice, when a refused request ran, when an answered request never
ran, or when an answer was not the request's own.
)";

Json::Value toDocument(const stand_in::journal_verdict &verdict, std::size_t runs,
                       const std::vector<stand_in::request_outcome> &outcomes)
{
    Json::Value document(Json::objectValue);
    document["requests"] = Json::UInt64(outcomes.size());
    document["runs"] = Json::UInt64(runs);
    document["doubled"] = Json::UInt64(verdict.doubled);
    document["ranAfterRefusal"] = Json::UInt64(verdict.ranAfterRefusal);
    document["answeredWithoutRun"] = Json::UInt64(verdict.answeredWithoutRun);
    document["mismatched"] = Json::UInt64(verdict.mismatched);
    document["examples"] = Json::Value(Json::arrayValue);
    for (const std::string &example : verdict.examples)
        document["examples"].append(example);
    document["classes"] = stand_in::toJson(stand_in::addUp(outcomes));
    for (const std::string &workClass : document["classes"].getMemberNames()) {
        const auto found = verdict.doubledByClass.find(class_name(workClass));
        document["classes"][workClass]["doubled"] =
            Json::UInt64(found == verdict.doubledByClass.end() ? 0 : found->second);
    }
    return document;
}

int check(const option_set &options)
{
    std::vector<stand_in::run_record> runs;
    for (const std::string &path : options.arguments()) {
        const std::vector<stand_in::run_record> more = stand_in::readJournal(path);
        runs.insert(runs.end(), more.begin(), more.end());
    }
    std::vector<stand_in::request_outcome> outcomes;
    for (const std::string &path : options.all("record")) {
        std::ifstream file(path);
        if (!file)
            throw error(result_code::command_line_invalid, path + " cannot be read");
        for (std::string line; std::getline(file, line);)
            outcomes.push_back(stand_in::readOutcome(line));
    }
    const stand_in::journal_verdict verdict = stand_in::checkJournals(runs, outcomes);
    if (options.has("json")) {
        fmt::print("{}\n", writeJson(toDocument(verdict, runs.size(), outcomes)));
        return verdict.holds() ? 0 : 1;
    }
    fmt::print("requests {}  runs {}  doubled {}  ran after refusal {}  answered without run {}  "
               "mismatched {}\n",
               outcomes.size(), runs.size(), verdict.doubled, verdict.ranAfterRefusal,
               verdict.answeredWithoutRun, verdict.mismatched);
    for (const std::string &example : verdict.examples)
        fmt::print("  {}\n", example);
    return verdict.holds() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        option_set options(usage);
        options.value("record", "FILE", "outcomes of a load generator; may be given several times");
        options.flag("json", "print JSON, with the outcomes by class");
        options.parse({argv + 1, argv + argc});
        if (options.has("help")) {
            fmt::print("{}", options.help());
            return 0;
        }
        return check(options);
    } catch (const error &fault) {
        fmt::print(stderr, "journal-check: {}\n", fault.what());
        return exitStatus(fault.code());
    } catch (const std::exception &fault) {
        fmt::print(stderr, "journal-check: {}\n", fault.what());
        return exitStatus(result_code::internal_fault);
    }
}
