#include "bench/steering_model.h"

#include <algorithm>

namespace kingcuptiller::bench {

namespace {

constexpr milliseconds syncInterval{200};
constexpr milliseconds reviewInterval{200};
constexpr milliseconds announceInterval{1000};
constexpr milliseconds sampleInterval{20};
// From an upstream's announcement to the entries: the way to control and the next syncs.
constexpr milliseconds reportDelay{400};

// Control's leader runs in the first region.
constexpr std::size_t leaderRegion = 0;

} // namespace

void steering_model::syncRound(std::size_t index)
{
    model_entry &entry = m_entries[index];
    if (!entry.alive)
        return;
    const microseconds way =
        entry.region == leaderRegion ? m_settings.user.zoneDelay : m_settings.user.regionDelay;
    m_events.after(way,
                   [this, index, way, applied = entry.applied, usage = entry.dispatcher->usage(),
                    demand = entry.dispatcher->demand(m_events.now())] {
                       const auto answer = m_control.sync(m_entries[index].identity, applied, usage,
                                                          demand, m_events.now());
                       m_events.after(way, [this, index, answer] {
                           model_entry &to = m_entries[index];
                           to.applied = answer.sequence;
                           to.dispatcher->applyAssignments(answer.assignments, m_events.now());
                           to.dispatcher->setEntriesInRegion(answer.entriesInRegion);
                           if (to.alive)
                               takeReady(index);
                       });
                   });
    m_events.after(syncInterval, [this, index] { syncRound(index); });
}

void steering_model::announceRound()
{
    for (const auto &each : m_upstreams) {
        if (each->alive())
            m_control.announce(each->announcement(), m_events.now());
    }
    if (!m_reportsStopped)
        reportLoads();
    m_events.after(announceInterval, [this] { announceRound(); });
}

void steering_model::reportLoads()
{
    std::vector<upstream_load> loads;
    const double factor = m_settings.plan.reportFactor;
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        const double load = m_upstreams[index]->load();
        loads.push_back({m_upstreams[index]->announcement().id,
                         std::min(1.0, index % 2 == 0 ? load * factor : load / factor),
                         reportDelay});
    }
    m_events.after(reportDelay, [this, loads] {
        for (model_entry &each : m_entries)
            each.dispatcher->applyLoads(loads, m_events.now());
    });
}

void steering_model::reviewRound()
{
    m_control.review(m_events.now());
    // Clients keep a look-up answer for its lifetime; half of it on average.
    m_events.after(entryListLifetime / 2,
                   [this, listings = m_control.listings()] { m_list = entry_list(listings); });
    m_events.after(reviewInterval, [this] { reviewRound(); });
}

void steering_model::sampleRound()
{
    for (std::size_t region = 0; region < m_settings.user.regions.size(); ++region) {
        for (const class_profile &profile : m_settings.user.classes) {
            double present = 0;
            double slots = 0;
            for (const auto &each : m_upstreams) {
                const upstream_announcement &of = each->announcement();
                if (!each->alive() || of.workClass != profile.settings.name
                    || of.region.text() != m_settings.user.regions[region])
                    continue;
                present += double(each->present());
                slots += of.slots;
                const double use = double(each->present()) / of.slots;
                if (measuring()) {
                    m_result.peakAtUpstream = std::max(m_result.peakAtUpstream, use);
                    if (use > 1)
                        m_secondsOverSlots.insert(m_events.now().time_since_epoch()
                                                  / std::chrono::seconds(1));
                }
            }
            double &peak = m_result.regions[region].peakUse;
            if (measuring() && slots > 0)
                peak = std::max(peak, present / slots);
        }
    }
    m_events.after(sampleInterval, [this] { sampleRound(); });
}

} // namespace kingcuptiller::bench
