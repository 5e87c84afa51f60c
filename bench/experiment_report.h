#pragma once

#include "bench/model_settings.h"
#include "bench/run_result.h"

#include <iosfwd>
#include <map>

namespace kingcuptiller::bench {

// Results of one experiment by policy, in the same run with the same seed.
using policy_results = std::map<model_policy, run_result>;

// A table for readers.
void printTable(std::ostream &to, const run_settings &settings, const policy_results &results);

// One JSON object for each policy and class, one a line.
void printJson(std::ostream &to, const run_settings &settings, const policy_results &results);

} // namespace kingcuptiller::bench
