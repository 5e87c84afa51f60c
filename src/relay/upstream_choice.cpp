#include "kingcuptiller/relay/upstream_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace kingcuptiller {

namespace {

// A report of other entries' requests loses its meaning with the time that such a request takes.
constexpr double reportMemoryMs = 1'000;
// An upstream with so many requests waiting for each slot is full. Upstreams refuse truthfully when
// their queue is full, and slots stay idle when entries, which know little of each other, stop
// sooner.
constexpr double waitingForEachSlot = 3.5;
// A share of the time left that the expected answer may take.
constexpr double usableTimeShare = 0.9;
// A request may wait in a queue for so many times its latency target. Longer queues would make all
// requests late without serving more of them, and those that run out of time cost work in vain.
constexpr double longestQueueInTargets = 1.2;
// A request leaves its object's upstreams for free slots when this share of the service's upstreams
// has no queue.
constexpr double roomToSpread = 0.75;
// A failing upstream costs a repeat, which takes about as long as another try.
constexpr double failurePenaltyMs = 1'500;
constexpr double coldFactor = 2;
// Each further upstream in an object's order costs this much, up to what the first request for an
// object takes longer than the next ones: beyond, keeping objects together is worth no waiting.
constexpr double rankMs = 120;
constexpr double mostRankMs = 600;
// A silent upstream is used only when nothing else is there.
constexpr double silencePenaltyMs = 2'000;
// What a region costs that gets more than its share of the requests: much while all objects are
// new, then less, so that the return to near upstreams is slow and a burst may still spread.
constexpr double spreadPenaltyMs = 1'000;
constexpr milliseconds spreadTime{2'000};
constexpr double returnPenaltyMs = 200;
constexpr milliseconds returnTime{8'000};
// An upstream that joined knows no objects and would get nothing while the others have room, so its
// first request is sent to it regardless.
constexpr double untriedBonusMs = 5'000;
// The whole cap is open to every request.
constexpr rank_number shiftRank{1};
// The cold rate of all entries together stays below the tolerated one by this factor, because an
// entry that is cut off may not know how many share it.
constexpr double coldRateShare = 0.8;

double toMs(microseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

// The longest time that an answer may be expected to take.
double usableMs(const choice_request &request)
{
    return static_cast<double>(request.timeLeft.count()) * usableTimeShare;
}

} // namespace

upstream_choice::upstream_choice(choice_settings settings)
    : m_settings(std::move(settings))
    , m_shift(m_settings.shiftShare)
{
}

void upstream_choice::noteColdStart(upstream_record &upstream, milliseconds coldFor,
                                    instant now) const
{
    if (coldFor <= milliseconds(0))
        return;
    if (upstream.coldUntil < now) {
        upstream.coldTokens = 1;
        upstream.coldCounted = now;
        upstream.objects = {};
    }
    upstream.coldUntil = std::max(upstream.coldUntil, now + coldFor);
}

void upstream_choice::update(const fleet_view &view, const route_table &routes, instant now)
{
    std::map<upstream_id, upstream_record> former = std::exchange(m_upstreams, {});
    const std::set<zone_name> formerlyEvacuated = std::exchange(m_evacuated, view.evacuated);
    for (auto &[name, service] : m_services)
        service.members.clear();
    m_entries = std::max<std::size_t>(m_entries, view.entries.size());
    for (const upstream_life &life : view.upstreams) {
        if (life.state != upstream_state::serving)
            continue;
        upstream_record record;
        const auto known = former.find(life.id);
        const bool goesOn = known != former.end() && known->second.life.bornMs == life.bornMs;
        if (goesOn)
            record = std::move(known->second);
        const bool coldNews = !goesOn || record.life.sequence != life.sequence;
        record.life = life;
        const auto region = m_settings.regions.find(life.zone);
        record.region = region == m_settings.regions.end() ? region_name() : region->second;
        record.evacuated = view.evacuated.contains(life.zone);
        const std::size_t services = m_services.size();
        auto [place, isNew] = m_services.try_emplace(life.service);
        service_record &service = place->second;
        if (isNew)
            service.index = static_cast<class_index>(services);
        if (const service_settings *settings = routes.service(life.service)) {
            service.coldRequestsPerSecond = settings->coldRequestsPerSecond;
            service.coldTime = settings->coldTime;
        }
        record.number = service.members.size();
        service.members.push_back(life.id);
        if (coldNews)
            noteColdStart(record, life.coldFor, now);
        // The upstreams of a zone that is taken back may have become cold meanwhile.
        if (formerlyEvacuated.contains(life.zone) && !record.evacuated)
            noteColdStart(record, service.coldTime, now);
        m_upstreams.emplace(life.id, std::move(record));
    }
    for (auto &[name, service] : m_services) {
        std::vector<object_placement::member> members;
        for (const upstream_id &id : service.members)
            members.push_back({id, nearnessOf(m_upstreams.at(id))});
        service.placement.setMembers(std::move(members));
    }
}

double &upstream_choice::service_record::usualMs(object_knowledge knowledge)
{
    switch (knowledge) {
    case object_knowledge::none:
        return withoutObjectMs;
    case object_knowledge::familiar:
        return familiarMs;
    case object_knowledge::unfamiliar:
        break;
    }
    return unfamiliarMs;
}

object_knowledge upstream_choice::knowledgeOf(const upstream_record &upstream,
                                              const std::string &object)
{
    if (object.empty())
        return object_knowledge::none;
    return upstream.objects.places.contains(object) ? object_knowledge::familiar
                                                    : object_knowledge::unfamiliar;
}

double upstream_choice::loadOf(const upstream_record &upstream, instant now) const
{
    const double age = toMs(now - upstream.reported);
    return upstream.inFlight + upstream.others * std::exp(-std::max(age, 0.0) / reportMemoryMs);
}

double upstream_choice::networkMs(const upstream_record &upstream) const
{
    if (upstream.region == m_settings.region)
        return 1;
    const auto measured = m_roundTripMs.find(upstream.region);
    return measured == m_roundTripMs.end()
        ? static_cast<double>(m_settings.otherRegionRoundTrip.count())
        : measured->second;
}

nearness upstream_choice::nearnessOf(const upstream_record &upstream) const
{
    if (upstream.life.zone == m_settings.zone)
        return nearness::same_zone;
    return upstream.region == m_settings.region ? nearness::same_region : nearness::other_region;
}

double upstream_choice::placePenaltyMs(const upstream_record &upstream) const
{
    switch (nearnessOf(upstream)) {
    case nearness::same_zone:
        return 0;
    case nearness::same_region:
        return static_cast<double>(m_settings.otherZonePenalty.count());
    case nearness::other_region:
        break;
    }
    return static_cast<double>(m_settings.otherRegionPenalty.count());
}

double upstream_choice::queueRounds(const upstream_record &upstream, instant now) const
{
    const double slots = std::max<double>(upstream.life.slots, 1);
    return std::max(loadOf(upstream, now) + 1 - slots, 0.0) / slots;
}

double upstream_choice::queueMs(const upstream_record &upstream, const service_record &service,
                                instant now) const
{
    return queueRounds(upstream, now) * service.queuedMs * upstream.slowness;
}

double upstream_choice::workMs(const upstream_record &upstream, service_record &service,
                               const std::string &object, instant now) const
{
    const double work = service.usualMs(knowledgeOf(upstream, object)) * upstream.slowness;
    return now < upstream.coldUntil ? work * coldFactor : work;
}

region_index upstream_choice::indexOf(const region_name &region)
{
    return m_regionIndexes.try_emplace(region, static_cast<region_index>(m_regionIndexes.size()))
        .first->second;
}

// All upstreams are unfamiliar with their objects at first and fill up within a second. Going home
// first and leaving then would shift most of the traffic, so it begins in proportion to the slots.
void upstream_choice::beginSpread(instant now)
{
    m_firstRequest = now;
    std::map<flow_source, std::map<region_index, std::uint64_t>> slots;
    for (const auto &[id, upstream] : m_upstreams) {
        const service_record &service = m_services.at(upstream.life.service);
        slots[{service.index, indexOf(m_settings.region)}][indexOf(upstream.region)] +=
            upstream.life.slots;
    }
    std::vector<counted_flow> flows;
    for (const auto &[source, regions] : slots) {
        for (const auto &[region, count] : regions)
            flows.push_back({source, region, count});
    }
    m_shift.setBaseline(flows);
}

double upstream_choice::shiftPenaltyMs(const service_record &service, const region_name &region,
                                       bool counted, instant now)
{
    const milliseconds age = std::chrono::duration_cast<milliseconds>(now - *m_firstRequest);
    if (age >= returnTime
        || m_shift.mayForward({service.index, indexOf(m_settings.region)}, indexOf(region),
                              shiftRank, counted, now))
        return 0;
    return age < spreadTime ? spreadPenaltyMs : returnPenaltyMs;
}

void upstream_choice::refillColdTokens(upstream_record &upstream, const service_record &service,
                                       instant now) const
{
    const double rate = service.coldRequestsPerSecond * coldRateShare
        / static_cast<double>(std::max<std::size_t>(m_entries, 1));
    upstream.coldTokens =
        std::min(1.0, upstream.coldTokens + toMs(now - upstream.coldCounted) / 1'000 * rate);
    upstream.coldCounted = now;
}

bool upstream_choice::mayUse(upstream_record &upstream, const service_record &service,
                             const choice_request &request, instant now) const
{
    if (upstream.evacuated || now < upstream.avoidUntil || request.tried.contains(upstream.life.id)
        || (!request.regions.empty() && !request.regions.contains(upstream.region)))
        return false;
    if (loadOf(upstream, now) >= upstream.life.slots * (1 + waitingForEachSlot))
        return false;
    if (now < upstream.coldUntil && service.coldRequestsPerSecond > 0) {
        refillColdTokens(upstream, service, now);
        return upstream.coldTokens >= 1;
    }
    return true;
}

upstream_choice::choice_option upstream_choice::assess(upstream_record &upstream,
                                                       service_record &service,
                                                       const choice_request &request, instant now)
{
    choice_option option;
    option.upstream = &upstream;
    option.queuedMs = queueMs(upstream, service, now);
    option.expectedMs =
        networkMs(upstream) + option.queuedMs + workMs(upstream, service, request.object, now);
    option.cost = option.expectedMs + placePenaltyMs(upstream)
        + upstream.failureShare * failurePenaltyMs + (upstream.life.silent ? silencePenaltyMs : 0);
    if (!request.object.empty()) {
        const std::size_t rank = service.placement.ranksOf(request.object)[upstream.number];
        option.cost += std::min(static_cast<double>(rank) * rankMs, mostRankMs);
    }
    if (upstream.untried && upstream.region == m_settings.region
        && option.expectedMs <= usableMs(request))
        option.cost -= untriedBonusMs;
    return option;
}

std::optional<chosen_upstream> upstream_choice::choose(const choice_request &request, instant now,
                                                       no_choice &reason)
{
    const auto found = m_services.find(request.service);
    reason.noneKnown = found == m_services.end() || found->second.members.empty();
    if (reason.noneKnown)
        return std::nullopt;
    service_record &service = found->second;
    const bool counted = !request.tried.empty();
    if (!m_firstRequest)
        beginSpread(now);
    std::map<region_name, double> shiftPenalties;
    choice_option best;
    choice_option bestWithoutQueue;
    std::size_t usable = 0;
    std::size_t withoutQueue = 0;
    for (const upstream_id &id : service.members) {
        upstream_record &upstream = m_upstreams.at(id);
        if (!mayUse(upstream, service, request, now))
            continue;
        choice_option option = assess(upstream, service, request, now);
        const auto [shift, unknown] = shiftPenalties.try_emplace(upstream.region, 0);
        if (unknown)
            shift->second = shiftPenaltyMs(service, upstream.region, counted, now);
        option.cost += shift->second;
        if (option.cost < best.cost)
            best = option;
        ++usable;
        if (option.queuedMs > 0)
            continue;
        ++withoutQueue;
        if (option.cost < bestWithoutQueue.cost)
            bestWithoutQueue = option;
    }
    // An object that is asked for very often goes elsewhere while most upstreams have room. When
    // the whole service is short, spreading only makes more upstreams forget their objects.
    if (best.queuedMs
        > static_cast<double>(request.latencyTarget.count()) * longestQueueInTargets) {
        const bool mostHaveRoom =
            static_cast<double>(withoutQueue) >= static_cast<double>(usable) * roomToSpread;
        best = mostHaveRoom ? bestWithoutQueue : choice_option{};
    }
    const flow_source source{service.index, indexOf(m_settings.region)};
    if (best.upstream == nullptr || best.expectedMs > usableMs(request)) {
        if (!counted)
            m_shift.refuse(source, now);
        return std::nullopt;
    }
    const region_index destination = indexOf(best.upstream->region);
    const bool withinCap = m_shift.mayForward(source, destination, shiftRank, counted, now);
    m_shift.forward(source, destination, counted, now);
    return chosen_upstream{best.upstream->life,
                           best.upstream->region,
                           !withinCap,
                           milliseconds(std::llround(best.expectedMs)),
                           milliseconds(std::llround(best.queuedMs)),
                           milliseconds(std::llround(networkMs(*best.upstream)))};
}

sending_record upstream_choice::started(const upstream_id &id, const std::string &object,
                                        instant now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return {};
    upstream_record &upstream = found->second;
    const sending_record sending{knowledgeOf(upstream, object), queueRounds(upstream, now)};
    ++upstream.inFlight;
    upstream.untried = false;
    if (now < upstream.coldUntil)
        upstream.coldTokens -= 1;
    // Requests for one object that arrive together run at one upstream.
    remember(upstream, object);
    return sending;
}

} // namespace kingcuptiller
