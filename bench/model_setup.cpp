#include "bench/steering_model.h"

namespace kingcuptiller::bench {

namespace {

constexpr std::size_t zonesOfRegion = 2;

// The seven entries by region and zone.
struct entry_place
{
    std::size_t region;
    std::size_t zone;
};
constexpr entry_place entryPlaces[] = {{0, 0}, {0, 0}, {0, 1}, {1, 0}, {1, 1}, {2, 0}, {2, 1}};

zone_name zoneNumber(std::size_t zone)
{
    return zone_name(std::to_string(zone + 1));
}

configuration configurationOf(const user_profile &user)
{
    configuration result;
    for (const class_profile &each : user.classes)
        result.classes.push_back(each.settings);
    return result;
}

} // namespace

steering_model::steering_model(const run_settings &settings)
    : m_settings(settings)
    , m_engine(settings.seed)
    , m_measureFrom(m_events.now() + settings.warmUp)
    , m_end(m_measureFrom + settings.length)
    , m_experimentAt(m_measureFrom + settings.start)
    , m_configuration(configurationOf(settings.user))
    , m_control(m_configuration, settings.policy)
{
    for (const class_profile &each : settings.user.classes) {
        m_result.classes.emplace_back();
        m_result.classes.back().workClass = each.settings.name;
    }
    for (const std::string &each : settings.user.regions)
        m_result.regions.push_back({each, 0});
    addUpstreams();
    addEntries();
    scheduleExperiment();
}

void steering_model::addUpstreams()
{
    const auto &regions = m_settings.user.regions;
    for (const class_profile &profile : m_settings.user.classes) {
        for (std::uint32_t number = 0; number < profile.upstreams; ++number) {
            upstream_announcement announced;
            announced.id = upstream_id(profile.settings.name.text() + "-" + std::to_string(number));
            announced.incarnation = incarnation_id("1");
            announced.region = region_name(regions[number % regions.size()]);
            announced.zone = zoneNumber(number / regions.size() % zonesOfRegion);
            announced.workClass = profile.settings.name;
            announced.slots = profile.slots;
            announced.connections = 400;
            const std::uint32_t each = m_settings.plan.slowEach;
            const bool slow = each > 0 && profile.settings.idempotent && number % each == 1;
            m_upstreamByName[announced.id] = m_upstreams.size();
            m_upstreams.push_back(std::make_unique<model_upstream>(
                m_events, announced, slow ? m_settings.plan.slowFactor : 1));
            // Registered an hour ago, so that it is warm.
            m_control.announce(announced, m_events.now() - std::chrono::hours(1));
            m_control.announce(announced, m_events.now());
        }
    }
}

dispatcher_settings steering_model::dispatcherSettings(const model_entry &entry) const
{
    dispatcher_settings settings;
    settings.region = entry.identity.region;
    settings.zone = entry.identity.zone;
    settings.seed = m_settings.seed * 100 + m_entries.size();
    if (m_settings.policy == model_policy::round_robin)
        settings.policy = roundRobin();
    if (m_settings.policy == model_policy::least_loaded_shedding)
        settings.policy = leastLoaded();
    return settings;
}

void steering_model::addEntries()
{
    for (const entry_place &place : entryPlaces) {
        model_entry entry;
        entry.identity.host = host_id("entry-" + std::to_string(m_entries.size()));
        entry.identity.incarnation = incarnation_id("1");
        entry.identity.region = region_name(m_settings.user.regions[place.region]);
        entry.identity.zone = zoneNumber(place.zone);
        entry.region = place.region;
        entry.dispatcher = std::make_unique<entry_dispatcher>(dispatcherSettings(entry));
        entry.dispatcher->applyConfiguration(m_configuration, m_events.now());
        m_control.addEntry(entry.identity, m_events.now());
        m_entryByName[entry.identity.host] = m_entries.size();
        m_entries.push_back(std::move(entry));
    }
    m_list = entry_list(m_control.listings());
}

void steering_model::scheduleExperiment()
{
    m_events.after(m_experimentAt - m_events.now(), [this] {
        const experiment_plan &plan = m_settings.plan;
        const region_name first(m_settings.user.regions.front());
        m_flooding = plan.floodRank > 0;
        m_reportsStopped = plan.reportsStop;
        const auto isLost = [&](const region_name &region, const zone_name &zone) {
            return (plan.lost == loss::region || plan.lost == loss::zone) && region == first
                && (plan.lost == loss::region || zone == zoneNumber(0));
        };
        for (model_entry &each : m_entries) {
            if (!isLost(each.identity.region, each.identity.zone)
                && (plan.lost != loss::entry || &each != &m_entries.front()))
                continue;
            each.alive = false;
            for (const auto &[ticket, request] : each.requests)
                resultOf(request).lost += request->over || !request->measured ? 0 : 1;
        }
        for (const auto &each : m_upstreams) {
            if (isLost(each->announcement().region, each->announcement().zone))
                each->die();
            if (plan.cold)
                each->restartCold();
        }
        if (plan.drainZone) {
            m_draining = true;
            m_result.drainSeconds = 0;
            const wall_time now(m_events.now().time_since_epoch());
            m_control.addStop({stop_id("drain"), stop_scope::zone, first.text() + "/1", now,
                               now + std::chrono::hours(1)});
        }
    });
}

} // namespace kingcuptiller::bench
