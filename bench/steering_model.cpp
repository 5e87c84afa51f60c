#include "bench/steering_model.h"

#include <algorithm>
#include <cmath>

namespace kingcuptiller::bench {

namespace {

constexpr double floodFactor = 10;
constexpr std::uint64_t clientsOfZone = 1000;

// A claim must be committed before non-idempotent work is sent: to the leader and back, and from
// the leader to the nearest other replica and back, which is in another region.
microseconds claimDelay(const user_profile &user, std::size_t entryRegion)
{
    return 2 * user.regionDelay + (entryRegion == 0 ? 0 : 2) * user.regionDelay;
}

} // namespace

double class_result::latencyMs(double quantile) const
{
    if (latencies.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(quantile * double(latencies.size()));
    return double(latencies[std::min(rank, latencies.size() - 1)].count()) / 1000;
}

double class_result::inTimeShare() const
{
    return sent == 0 ? 1 : double(inTime) / double(sent);
}

run_result steering_model::run()
{
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        // Syncs of the entries are spread over the interval.
        m_events.after(milliseconds(20 * index), [this, index] { syncRound(index); });
        m_events.after(milliseconds(index), [this, index] { tick(index); });
    }
    announceRound();
    reviewRound();
    sampleRound();
    for (std::size_t workClass = 0; workClass < m_settings.user.classes.size(); ++workClass) {
        for (std::size_t origin = 0; origin < m_settings.user.regions.size(); ++origin)
            m_events.after(milliseconds(1500),
                           [this, workClass, origin] { scheduleArrival(workClass, origin); });
    }
    // Requests sent at the end still get their answers.
    m_events.runUntil(m_end + std::chrono::seconds(5));
    for (class_result &each : m_result.classes)
        std::sort(each.latencies.begin(), each.latencies.end());
    for (const model_entry &each : m_entries) {
        m_result.peakShift = std::max(m_result.peakShift, each.audit.peakShare());
        m_result.shiftViolations += each.audit.violations();
    }
    m_result.secondsOverSlots = m_secondsOverSlots.size();
    return m_result;
}

double steering_model::arrivalRate(std::size_t workClass, std::size_t origin) const
{
    const class_profile &profile = m_settings.user.classes[workClass];
    const bool flooded = m_flooding && profile.settings.rank.number() == m_settings.plan.floodRank;
    return profile.capacityPerSecond() * (flooded ? floodFactor : profile.load)
        * m_settings.user.clients[origin];
}

void steering_model::scheduleArrival(std::size_t workClass, std::size_t origin)
{
    std::exponential_distribution<double> gap(arrivalRate(workClass, origin));
    const auto wait = static_cast<std::int64_t>(gap(m_engine) * 1e6);
    m_events.after(microseconds(wait), [this, workClass, origin] {
        if (m_events.now() >= m_end)
            return;
        newRequest(workClass, origin);
        scheduleArrival(workClass, origin);
    });
}

void steering_model::newRequest(std::size_t workClass, std::size_t origin)
{
    const class_profile &profile = m_settings.user.classes[workClass];
    auto request = std::make_shared<model_request>();
    request->number = ++m_requests;
    request->workClass = workClass;
    request->origin = origin;
    request->sent = m_events.now();
    request->deadline = m_events.now() + profile.settings.maximumDeadline;
    request->measured = measuring();
    // Each request has an engine of its own, so that all policies see the same service times.
    std::mt19937 engine(
        static_cast<std::uint32_t>(request->number * 2654435761U + m_settings.seed));
    std::lognormal_distribution<double> service(std::log(profile.serviceMedianMs * 1000),
                                                profile.serviceSigma);
    request->service = microseconds(static_cast<std::int64_t>(service(engine)));
    const std::uint64_t client = engine() % clientsOfZone;
    const zone_name zone(client % 2 == 0 ? "1" : "2");
    const auto listed =
        m_list.answer({region_name(m_settings.user.regions[origin]), zone}, std::to_string(client));
    for (const entry_identity *each : listed)
        request->entries.push_back(m_entryByName.at(each->host));
    if (request->measured)
        ++m_result.classes[workClass].sent;
    tryNextEntry(request);
}

void steering_model::tryNextEntry(const request_pointer &request)
{
    const user_profile &user = m_settings.user;
    if (request->tried >= request->entries.size() || m_events.now() >= request->deadline) {
        refuseClient(request, result_code::entry_without_lease);
        return;
    }
    const std::size_t entry = request->entries[request->tried++];
    microseconds way = user.clientDelay;
    if (m_entries[entry].region != request->origin)
        way += user.regionDelay;
    if (!user.classes[request->workClass].settings.idempotent && m_entries[entry].alive)
        way += claimDelay(user, m_entries[entry].region);
    m_events.after(way, [this, entry, request] { reach(entry, request); });
}

class_result &steering_model::resultOf(const request_pointer &request)
{
    return m_result.classes[request->workClass];
}

void steering_model::answerClient(const request_pointer &request, std::size_t entry)
{
    request->over = true;
    if (!request->measured)
        return;
    microseconds way = m_settings.user.clientDelay;
    if (m_entries[entry].region != request->origin)
        way += m_settings.user.regionDelay;
    const microseconds latency = m_events.now() + way - request->sent;
    class_result &result = resultOf(request);
    result.latencies.push_back(latency);
    const milliseconds target = m_settings.user.classes[request->workClass].settings.target.latency;
    ++(latency <= target ? result.inTime : result.late);
}

void steering_model::refuseClient(const request_pointer &request, result_code code)
{
    request->over = true;
    if (request->measured)
        ++resultOf(request).refused[code];
}

microseconds steering_model::delay(const region_name &from, const zone_name &fromZone,
                                   const region_name &to, const zone_name &toZone) const
{
    if (from != to)
        return m_settings.user.regionDelay;
    constexpr microseconds withinZone{200};
    return fromZone == toZone ? withinZone : m_settings.user.zoneDelay;
}

microseconds steering_model::upstreamDelay(std::size_t entry, std::size_t upstream) const
{
    const entry_identity &from = m_entries[entry].identity;
    const upstream_announcement &to = m_upstreams[upstream]->announcement();
    return delay(from.region, from.zone, to.region, to.zone);
}

bool steering_model::measuring() const
{
    return m_events.now() >= m_measureFrom && m_events.now() < m_end;
}

bool steering_model::inDrain(const upstream_announcement &upstream) const
{
    return m_draining && upstream.region.text() == m_settings.user.regions.front()
        && upstream.zone == zone_name("1");
}

} // namespace kingcuptiller::bench
