#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/values/error.h"
#include "stand_in/load_generator.h"
#include "stand_in/load_report.h"

#include <fmt/format.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <csignal>
#include <exception>
#include <fstream>

using namespace kingcuptiller;

namespace {

int generate(const stand_in::load_options &options)
{
    crossplat::threadpool::initialize_with_threads(4);
    stand_in::load_generator generator(options);
    const std::vector<stand_in::request_outcome> outcomes = generator.run();
    if (!options.record.empty()) {
        std::ofstream file(options.record);
        for (const stand_in::request_outcome &each : outcomes)
            file << stand_in::writeOutcome(each) << '\n';
        file.close();
        if (!file)
            throw error(result_code::command_line_invalid, options.record + " cannot be written");
    }
    const stand_in::load_tally tally = stand_in::addUp(outcomes);
    fmt::print("{}\n",
               options.json ? writeJson(stand_in::toJson(tally)) : stand_in::asTable(tally));
    const bool mismatched = std::any_of(outcomes.begin(), outcomes.end(),
                                        [](const auto &each) { return each.mismatched; });
    return mismatched ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
        const stand_in::load_options options = stand_in::parseLoadOptions(argc, argv);
        if (!options.help.empty()) {
            fmt::print("{}", options.help);
            return 0;
        }
        return generate(options);
    } catch (const error &fault) {
        fmt::print(stderr, "load-generator: {}\n", fault.what());
        return exitStatus(fault.code());
    } catch (const std::exception &fault) {
        fmt::print(stderr, "load-generator: {}\n", fault.what());
        return exitStatus(result_code::internal_fault);
    }
}
