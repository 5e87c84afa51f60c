// Facts that are checked on the fleet as a whole.

#include "fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace kingcuptiller::testing {

namespace {

constexpr milliseconds leavingLimit{4000};
// A claim is usable for 2 s, so that a request is sent up to this many intervals after the
// decision.
constexpr std::int64_t openIntervals = 4;
// Section 7 of docs/design.md.
constexpr double capShare = 0.2;
constexpr double rounding = 1e-6;

} // namespace

// Nothing may be sent without a lease: control may already have given the slots to others.
void fleet::checkSending(const entry_process &entry, const std::string &key) const
{
    // Not by `refusal`, which is a part of what is tested.
    const bool live = entry.snapshot->synced && clockOf(entry) < entry.snapshot->leaseUntil;
    facts.require(live, fmt::format("entry {} sends {} without a lease", entry.name, key));
}

void fleet::checkDecision(const entry_process &entry) const
{
    const bool live = entry.snapshot->synced && clockOf(entry) < entry.snapshot->leaseUntil;
    facts.require(!live || entry.snapshot->revision >= facts.inForce(),
                  fmt::format("entry {} decides on revision {} while {} is in force", entry.name,
                              entry.snapshot->revision.number(), facts.inForce().number()));
}

void fleet::checkRevisions() const
{
    for (const auto &each : m_entries) {
        if (each->alive && !network.isFrozen(each->name))
            checkDecision(*each);
    }
}

void fleet::checkSlots(const std::string &address) const
{
    const auto inFlight = std::count_if(
        m_exchanges.begin(), m_exchanges.end(), [&](const std::shared_ptr<exchange> &each) {
            // Without a lease, control counts a request until the longest deadline has passed.
            const bool live =
                each->entry->alive && clockOf(*each->entry) < each->entry->snapshot->leaseUntil;
            return each->address == address && !each->ended
                && (live || network.now() < each->deadline);
        });
    const upstream_process *target = findUpstream(address);
    facts.require(target == nullptr || inFlight <= std::int64_t(target->facts.slots),
                  fmt::format("{} requests are in flight at {}", inFlight, address));
}

void fleet::checkLeaving(const std::string &address) const
{
    const upstream_process *target = findUpstream(address);
    facts.require(target == nullptr || !target->left
                      || network.now() <= *target->left + leavingLimit,
                  fmt::format("a request is sent to {}, which has left", address));
}

// The time counts from the commit, because a leader that dies loses what it has only heard.
void fleet::noteLeaving()
{
    control_loop *leader = control.leader();
    if (leader == nullptr)
        return;
    for (const auto &each : m_upstreams) {
        if (each->left || (!each->facts.leaving && !each->withdrawn))
            continue;
        leader->post([this, each](control_core &core, lease_moment) {
            const auto *record = core.state().fleet().find(each->facts.id);
            if (!each->left && record != nullptr && record->state != upstream_state::serving
                && record->announcement.incarnation == each->facts.incarnation)
                each->left = network.now();
        });
    }
}

interval_record &fleet::followInterval(entry_process &entry)
{
    const std::int64_t present = clockOf(entry).time_since_epoch() / microseconds(1'000'000);
    const auto [found, fresh] = entry.intervals.try_emplace(present);
    if (fresh) {
        found->second.before = entry.coordinator->report().flows;
        while (entry.intervals.begin()->first < present - openIntervals) {
            checkShift(entry, entry.intervals.begin()->second);
            entry.intervals.erase(entry.intervals.begin());
        }
    }
    return entry.intervals.at(present);
}

void fleet::noteDecided(entry_process &entry, const std::string &key, const std::string &workClass)
{
    if (entry.undecided[key] == 0)
        return;
    --entry.undecided[key];
    ++followInterval(entry).decided[{class_name(workClass), entry.originOf[key]}];
}

void fleet::noteSent(entry_process &entry, const exchange &sent)
{
    const class_name &workClass = m_classOfKey.at(sent.key);
    if (!sent.onceOnly)
        noteDecided(entry, sent.key, workClass.text());
    const region_name region = findUpstream(sent.address)->facts.region;
    if (!entry.sentTo.emplace(sent.key, region).second)
        return;
    interval_record &present = followInterval(entry);
    interval_record &interval =
        sent.onceOnly ? entry.intervals.at(entry.intervalOf.at(sent.attempt)) : present;
    ++interval.sent[{workClass, entry.originOf[sent.key]}][region];
}

void fleet::checkShift(const entry_process &entry, const interval_record &interval) const
{
    const auto share = [&](const interval_record::source &source, const region_name &to) {
        const auto sum = [&](const std::vector<region_flow> &flows, bool all) {
            double total = 0;
            for (const region_flow &flow : flows) {
                if (flow.workClass == source.first && flow.origin == source.second
                    && (all || flow.destination == to))
                    total += static_cast<double>(flow.forwarded);
            }
            return total;
        };
        for (const auto *flows : {&interval.before, &entry.baseline}) {
            if (sum(*flows, true) > 0)
                return sum(*flows, false) / sum(*flows, true);
        }
        return to == source.second ? 1.0 : 0.0;
    };
    std::map<region_name, std::pair<double, double>> origins;
    for (const auto &[source, number] : interval.decided)
        origins[source.second].second += static_cast<double>(number);
    for (const auto &[source, destinations] : interval.sent) {
        const auto decided = interval.decided.find(source);
        const double arrivals =
            decided == interval.decided.end() ? 0 : static_cast<double>(decided->second);
        for (const auto &[to, number] : destinations)
            origins[source.second].first +=
                std::max(0.0, static_cast<double>(number) - share(source, to) * arrivals);
    }
    for (const auto &[origin, sums] : origins)
        facts.require(sums.first <= std::max(1.0, capShare * sums.second) + rounding,
                      fmt::format("entry {} moved {} of {} requests from {} in one interval",
                                  entry.name, sums.first, sums.second, origin.text()));
}

void fleet::checkMemory()
{
    control_loop *leader = control.leader();
    facts.require(leader != nullptr, "there is no leader after the faults");
    bool checked = false;
    leader->post([&](control_core &core, lease_moment) {
        checked = true;
        for (const auto &[id, answer] : facts.answers()) {
            const change_answer *known = core.state().configurations().findAnswer(id);
            facts.require(known != nullptr && known->code == answer.code
                              && known->revision == answer.revision,
                          fmt::format("the answer to change {} is not known", id.text()));
        }
        for (const std::string &key : facts.completed()) {
            const ledger_record *record = core.state().ledger().find(request_key(key));
            facts.require(record != nullptr && record->state != record_state::released,
                          fmt::format("the ledger forgot {}, which was answered", key));
        }
        // A claim that arrives after its release must not hold the key for an attempt that nobody
        // sends.
        for (const auto &[attempt, key] : m_releasedAttempts) {
            const ledger_record *record = core.state().ledger().find(key);
            facts.require(
                record == nullptr || record->attempt != attempt
                    || record->state == record_state::released,
                fmt::format("{} is held by the released attempt {}", key.text(), attempt.text()));
        }
        for (const std::string &key : m_committedKeys) {
            const ledger_record *record = core.state().ledger().find(request_key(key));
            facts.require(record != nullptr && record->state == record_state::completed
                              && record->answer
                              && record->answer->body
                                  == fact_checker::answerTo(key, fact_checker::payloadOf(key)),
                          fmt::format("the ledger lost the answer to {}", key));
        }
    });
    step();
    facts.require(checked, "the leader does not run");
}

} // namespace kingcuptiller::testing
