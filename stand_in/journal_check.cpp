#include "stand_in/journal_check.h"

#include <fmt/format.h>

#include <set>
#include <unordered_map>

namespace kingcuptiller::stand_in {

namespace {

constexpr std::size_t largestExampleCount = 10;

void note(journal_verdict &verdict, const request_key &key, const char *reason)
{
    if (verdict.examples.size() < largestExampleCount)
        verdict.examples.push_back(fmt::format("{}: {}", key.text(), reason));
}

struct key_runs
{
    class_name workClass;
    std::uint64_t count = 0;
};

} // namespace

journal_verdict checkJournals(const std::vector<run_record> &runs,
                              const std::vector<request_outcome> &outcomes)
{
    journal_verdict verdict;
    std::set<class_name> idempotentClasses;
    for (const request_outcome &each : outcomes) {
        if (each.idempotent)
            idempotentClasses.insert(each.workClass);
    }
    std::unordered_map<request_key, key_runs> runsByKey;
    for (const run_record &each : runs) {
        key_runs &entry = runsByKey[each.key];
        entry.workClass = each.workClass;
        ++entry.count;
    }
    for (const auto &[key, entry] : runsByKey) {
        if (entry.count > 1 && !idempotentClasses.contains(entry.workClass)) {
            ++verdict.doubled;
            ++verdict.doubledByClass[entry.workClass];
            note(verdict, key, "ran more than once");
        }
    }
    for (const request_outcome &each : outcomes) {
        const bool ran = runsByKey.contains(each.key);
        if (ran && each.kind == outcome_kind::refused && each.uncertain == 0) {
            ++verdict.ranAfterRefusal;
            note(verdict, each.key, "ran although it was refused as not run");
        }
        if (!ran && each.kind == outcome_kind::answered) {
            ++verdict.answeredWithoutRun;
            note(verdict, each.key, "was answered and never ran");
        }
        if (each.mismatched) {
            ++verdict.mismatched;
            note(verdict, each.key, "received another or an incomplete answer");
        }
    }
    return verdict;
}

} // namespace kingcuptiller::stand_in
