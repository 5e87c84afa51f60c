#include "kingcuptiller/relay/upstream_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace kingcuptiller {

namespace {

// An upstream with so many requests waiting for each slot is full. Upstreams refuse truthfully when
// their queue is full, and slots stay idle when entries, which know little of each other, stop
// sooner.
constexpr double waitingForEachSlot = 3.5;
// A share of the time left that the expected answer may take.
constexpr double usableTimeShare = 0.9;
// A request may wait in a queue for so many times its latency target. Longer queues would make all
// requests late without serving more of them, and those that run out of time cost work in vain.
constexpr double longestQueueInTargets = 0.8;
// The same for requests without an object. Any upstream serves them as well, so that a short queue
// keeps the slots busy and leaves time to requests with short limits.
constexpr double longestQueueWithoutObject = 0.5;
// A request leaves its object's upstreams for shorter queues while the upstreams of the region
// usually have fewer requests than this for each slot.
constexpr double loadToSpread = 0.3;
// A failing upstream costs a repeat, which takes about as long as another try.
constexpr double failurePenaltyMs = 1'500;
constexpr double coldFactor = 2;
// Each further upstream in an object's order costs this much, up to the second figure. It is more
// than any queue that a request may wait in, because an upstream that learns one more object
// forgets another one, whose next request then takes three times as long.
constexpr double rankMs = 1'000;
constexpr double mostRankMs = 3'000;
// Requests without an object have no order of upstreams. Entries that know the same of these would
// all use the first of equal ones, so that up to this much decides by chance.
constexpr double scatterMs = 100;
// A silent upstream is used only when nothing else is there.
constexpr double silencePenaltyMs = 2'000;
// An upstream that joined knows no objects and would get nothing while the others have room, so its
// first request is sent to it regardless.
constexpr double untriedBonusMs = 5'000;
// The cold rate of all entries together stays below the tolerated one by this factor, because an
// entry that is cut off may not know how many share it.
constexpr double coldRateShare = 0.8;

double toMs(microseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

// Where in the interval between two requests to a cold upstream this entry begins, 0 to 1.
double firstColdTokens(const upstream_id &upstream, std::uint64_t entrySeed)
{
    const std::string &name = upstream.text();
    const std::uint64_t hash = XXH3_64bits_withSeed(name.data(), name.size(), entrySeed);
    return static_cast<double>(hash)
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

// The longest time that a request may be expected to wait for others.
double longestQueueMs(const choice_request &request)
{
    return static_cast<double>(request.latencyTarget.count())
        * (request.object.empty() ? longestQueueWithoutObject : longestQueueInTargets);
}

// The longest time that an answer may be expected to take.
double usableMs(const choice_request &request)
{
    return static_cast<double>(request.timeLeft.count()) * usableTimeShare;
}

} // namespace

upstream_choice::upstream_choice(choice_settings settings)
    : m_settings(std::move(settings))
    , m_random(static_cast<std::uint32_t>(m_settings.entrySeed))
{
}

void upstream_choice::noteColdStart(upstream_record &upstream, milliseconds coldRemaining,
                                    instant now) const
{
    if (coldRemaining <= milliseconds(0))
        return;
    if (upstream.coldUntil < now) {
        upstream.coldTokens = firstColdTokens(upstream.life.id, m_settings.entrySeed);
        upstream.coldCounted = now;
        upstream.objects = {};
    }
    upstream.coldUntil = std::max(upstream.coldUntil, now + coldRemaining);
}

void upstream_choice::update(const fleet_view &view, const route_table &routes, instant now)
{
    std::map<upstream_id, upstream_record> former = std::exchange(m_upstreams, {});
    const std::set<zone_name> formerlyEvacuated = std::exchange(m_evacuated, view.evacuated);
    for (auto &[name, service] : m_services)
        service.members.clear();
    m_entries = std::max<std::size_t>(m_entries, view.entries.size());
    m_entriesByRegion.clear();
    for (const serving_entry &entry : view.entries)
        m_entriesByRegion[entry.region] += 1;
    for (const upstream_incarnation &life : view.upstreams) {
        if (life.state != upstream_state::serving)
            continue;
        upstream_record record;
        const auto known = former.find(life.id);
        const bool goesOn =
            known != former.end() && known->second.life.startTimeMs == life.startTimeMs;
        if (goesOn)
            record = std::move(known->second);
        const bool coldNews = !goesOn || record.life.sequence != life.sequence;
        record.life = life;
        const auto region = m_settings.regions.find(life.zone);
        record.region = region == m_settings.regions.end() ? region_name() : region->second;
        record.evacuated = view.evacuated.contains(life.zone);
        service_record &service =
            m_services
                .try_emplace(life.service, m_settings.shift,
                             std::minstd_rand(static_cast<std::uint32_t>(m_settings.entrySeed)))
                .first->second;
        if (const service_settings *settings = routes.service(life.service)) {
            service.coldRequestsPerSecond = settings->coldRequestsPerSecond;
            service.coldTime = settings->coldTime;
        }
        record.usualLoad = &service.usualLoads[record.region];
        record.number = service.members.size();
        service.members.push_back(life.id);
        if (coldNews)
            noteColdStart(record, life.coldRemaining, now);
        // The upstreams of a zone that is taken back may have become cold meanwhile.
        if (formerlyEvacuated.contains(life.zone) && !record.evacuated)
            noteColdStart(record, service.coldTime, now);
        m_upstreams.emplace(life.id, std::move(record));
    }
    for (auto &[name, service] : m_services) {
        std::erase_if(service.timesByRoute,
                      [&](const auto &each) { return !routes.contains(each.first); });
        std::vector<object_placement::member> members;
        for (const upstream_id &id : service.members)
            members.push_back({id, nearnessOf(m_upstreams.at(id))});
        service.placement.setMembers(std::move(members));
    }
}

double &upstream_choice::usual_times::of(object_knowledge knowledge)
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

double upstream_choice::workMs(const upstream_record &upstream, usual_times &times,
                               const choice_request &request, double slowness, instant now)
{
    const object_knowledge knowledge = knowledgeOf(upstream, request.object);
    const double work = times.of(knowledge) * slowness;
    return now < upstream.coldUntil ? work * coldFactor : work;
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
                                                       service_record &service, usual_times &times,
                                                       const choice_request &request, instant now)
{
    choice_option option;
    option.upstream = &upstream;
    const upstream_marks marks = marksOf(upstream, now);
    option.queuedMs = queueMs(upstream, service, marks.slowness, now);
    option.expectedMs = networkMs(upstream) + option.queuedMs
        + workMs(upstream, times, request, marks.slowness, now);
    option.cost = option.expectedMs + placePenaltyMs(upstream)
        + marks.failureShare * failurePenaltyMs + (upstream.life.silent ? silencePenaltyMs : 0);
    if (request.object.empty()) {
        option.cost += std::uniform_real_distribution<double>(0, scatterMs)(m_random);
    } else {
        const std::size_t rank = service.placement.ranksOf(request.object)[upstream.number];
        option.cost += std::min(static_cast<double>(rank) * rankMs, mostRankMs);
    }
    option.costInRegion = option.cost;
    if (upstream.untried && upstream.region == m_settings.region
        && option.expectedMs <= usableMs(request))
        option.costInRegion -= untriedBonusMs;
    return option;
}

upstream_choice::service_survey upstream_choice::survey(service_record &service,
                                                        const choice_request &request, instant now)
{
    const auto improve = [](choice_option &best, const choice_option &option) {
        const double cost = std::min(best.cost, option.cost);
        if (option.costInRegion < best.costInRegion)
            best = option;
        best.cost = cost;
    };
    service_survey result;
    usual_times &times = service.timesByRoute[request.route];
    for (const upstream_id &id : service.members) {
        upstream_record &upstream = m_upstreams.at(id);
        if (hasUsableSlots(upstream, now))
            result.slots[upstream.region] += upstream.life.slots;
        if (!mayUse(upstream, service, request, now))
            continue;
        const choice_option option = assess(upstream, service, times, request, now);
        improve(result.best[upstream.region], option);
        if (option.queuedMs <= longestQueueMs(request))
            improve(result.bestWithShortQueue[upstream.region], option);
    }
    return result;
}

std::map<region_name, upstream_choice::choice_option>
upstream_choice::timelyOptions(const service_survey &found, const choice_request &request,
                               instant now)
{
    std::map<region_name, choice_option> result;
    for (const auto &[region, best] : found.best) {
        const auto other = found.bestWithShortQueue.find(region);
        choice_option option = best;
        // An object that is asked for very often goes elsewhere while the region has room. When
        // the region is short, spreading only makes more upstreams forget their objects.
        const bool spreads = other != found.bestWithShortQueue.end()
            && best.upstream->usualLoad->at(now) < loadToSpread;
        if (best.queuedMs > longestQueueMs(request))
            option = spreads ? other->second : choice_option{};
        if (option.upstream != nullptr && option.expectedMs <= usableMs(request))
            result.emplace(region, option);
    }
    return result;
}

void upstream_choice::beginShares(service_record &service, const region_weights &slots,
                                  instant now) const
{
    std::map<region_name, region_capacity> regions;
    for (const auto &[region, entries] : m_entriesByRegion)
        regions[region].entries = entries;
    for (const auto &[region, count] : slots)
        regions[region].slots = count;
    service.shares.begin(initialShares(m_settings.region, regions), now);
}

bool upstream_choice::hasUsableSlots(const upstream_record &upstream, instant now)
{
    return !upstream.evacuated && now >= upstream.lostUntil && now >= upstream.coldUntil;
}

std::optional<chosen_upstream> upstream_choice::choose(const choice_request &request, instant now,
                                                       no_choice &reason)
{
    const auto found = m_services.find(request.service);
    reason.noneKnown = found == m_services.end() || found->second.members.empty();
    if (reason.noneKnown)
        return std::nullopt;
    service_record &service = found->second;
    region_shares &shares = service.shares;
    const service_survey offers = survey(service, request, now);
    if (!shares.hasBegun())
        beginShares(service, offers.slots, now);
    shares.passTime(now);
    shares.setSlots(offers.slots);
    if (request.formerRegion)
        shares.withdrawn(*request.formerRegion);
    const auto options = timelyOptions(offers, request, now);
    // A request that is bound to one region has no other to move to.
    const bool isBound = request.regions.size() == 1;
    const auto preferred =
        std::min_element(options.begin(), options.end(), [](const auto &one, const auto &other) {
            return one.second.cost < other.second.cost;
        });
    std::optional<region_name> taken;
    if (preferred != options.end()) {
        region_weights costs;
        for (const auto &[region, option] : options)
            costs.emplace(region, option.cost);
        taken = isBound ? preferred->first : shares.pick(costs, request.formerRegion.has_value());
    }
    if (!taken) {
        reason.shiftCapped = preferred != options.end();
        shares.refused();
        return std::nullopt;
    }
    if (!isBound)
        shares.decided(preferred->first, *taken);
    return described(options.at(*taken), now);
}

chosen_upstream upstream_choice::described(const choice_option &option, instant now) const
{
    const upstream_record &upstream = *option.upstream;
    std::optional<milliseconds> reportAge;
    if (upstream.reported)
        reportAge = std::chrono::duration_cast<milliseconds>(now - *upstream.reported);
    return {upstream.life,
            upstream.region,
            milliseconds(std::llround(option.expectedMs)),
            milliseconds(std::llround(option.queuedMs)),
            milliseconds(std::llround(networkMs(upstream))),
            loadOf(upstream, now),
            reportAge};
}

sending_record upstream_choice::started(const upstream_id &id, const std::string &object,
                                        instant now, const std::string &route)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return {};
    upstream_record &upstream = found->second;
    sending_record sending{knowledgeOf(upstream, object), queueRounds(upstream, now), route};
    ++upstream.inFlight;
    upstream.untried = false;
    if (now < upstream.coldUntil)
        upstream.coldTokens -= 1;
    // Requests for one object that arrive together run at one upstream.
    remember(upstream, object);
    return sending;
}

} // namespace kingcuptiller
