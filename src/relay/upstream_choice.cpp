#include "kingcuptiller/relay/upstream_choice.h"

#include "durations.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace kingcuptiller {

namespace {

using internal::toMs;

// An upstream with this many waiting requests per slot counts as full. Upstreams reject requests
// themselves when their queue is full. A lower limit leaves slots idle, because entries know little
// of each other's load.
constexpr double maxWaitingPerSlot = 3.5;
// The expected response time may take at most this share of a request's remaining time.
constexpr double maxResponseTimeShare = 0.9;
// The longest expected queue time, as a share of the request's latency target. Longer queues would
// delay all requests without serving more of them, and upstreams would waste work on requests that
// time out.
constexpr double maxQueueTargetShare = 0.8;
// The longest expected queue time for requests without an object, as a share of the latency target.
// Every upstream serves these equally well, so a short queue keeps the slots busy and leaves time
// for requests with short deadlines.
constexpr double maxQueueTargetShareWithoutObject = 0.5;
// A request may leave the preferred upstreams of its object for one with a shorter queue only while
// the upstreams of the region have, on average, fewer requests per slot than this.
constexpr double spreadLoadThreshold = 0.3;
// Costs are compared in milliseconds of response time. What is no time itself is weighed by a share
// of the service time of an uncached object, which is the scale of all times of a route.
//
// The cost of a failed attempt, about the response time of the retry that follows it.
constexpr double failurePenalty = 1.7;
// The service time of a cold upstream (just started, with empty caches) relative to a warm one.
constexpr double coldSlowdown = 2;
// The cost per rank of an upstream in `object_placement` for the request's object, and the largest
// such cost. One rank costs more than the longest permitted queue: an upstream that caches one more
// object evicts another, whose next request then takes three times as long.
constexpr double rankPenalty = 4;
constexpr double maxRankPenalty = 12;
// A random cost up to this limit is added for requests without an object. Otherwise all entries
// with the same load information would choose the same upstream.
constexpr double maxRandomPenalty = 0.11;
// The cost of a silent upstream (no heartbeat within its timeout), so that it is used only when
// there is no other.
constexpr double silencePenalty = 2.2;
// Reduces the cost of an upstream that this entry has not used. A new upstream has no cached
// objects and would otherwise get no requests while the others have capacity.
constexpr double unusedBonus = 16;
// About so many entries of a region give the bonus to one upstream. If all did, most requests of a
// region with many entries would be first uses, which find no object in the cache.
constexpr double introducingEntries = 3;
// All entries together use this share of the request rate that a cold upstream tolerates. The
// margin is for an entry that is partitioned from the others and does not know how many share the
// rate.
constexpr double coldRateMargin = 0.8;

// The initial fill of this entry's token bucket for a cold upstream, from 0 to 1. The hash differs
// between entries and spreads their first requests over the time in which one token is refilled.
double initialColdTokens(const upstream_id &upstream, std::uint64_t entrySeed)
{
    const std::string &name = upstream.text();
    const std::uint64_t hash = XXH3_64bits_withSeed(name.data(), name.size(), entrySeed);
    return static_cast<double>(hash)
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

// A number from 0 to 1 that differs between entries for one upstream, and stays the same.
double introductionDraw(const upstream_id &upstream, std::uint64_t entrySeed)
{
    return initialColdTokens(upstream, ~entrySeed);
}

// The limit for the expected queue time of a request, in milliseconds.
double maxQueueMs(const upstream_choice_request &request)
{
    return static_cast<double>(request.latencyTarget.count())
        * (request.object.empty() ? maxQueueTargetShareWithoutObject : maxQueueTargetShare);
}

// The limit for the expected response time of a request, in milliseconds.
double maxResponseMs(const upstream_choice_request &request)
{
    return static_cast<double>(request.remainingTime.count()) * maxResponseTimeShare;
}

} // namespace

upstream_choice::upstream_choice(upstream_choice_settings settings)
    : m_settings(std::move(settings))
    , m_random(static_cast<std::uint32_t>(m_settings.entrySeed))
{
}

void upstream_choice::recordColdStart(upstream_record &upstream, milliseconds coldRemaining,
                                      instant now) const
{
    if (coldRemaining <= milliseconds(0))
        return;
    if (upstream.coldUntil < now) {
        upstream.coldTokens = initialColdTokens(upstream.incarnation.id, m_settings.entrySeed);
        upstream.coldTokensUpdated = now;
        upstream.objects = {};
    }
    upstream.coldUntil = std::max(upstream.coldUntil, now + coldRemaining);
}

void upstream_choice::update(const fleet_view &view, const route_table &routes, instant now)
{
    std::map<upstream_id, upstream_record> previous = std::exchange(m_upstreams, {});
    const std::set<zone_name> previouslyEvacuated = std::exchange(m_evacuatedZones, view.evacuated);
    for (auto &[name, service] : m_services)
        service.members.clear();
    m_entryCount = std::max<std::size_t>(m_entryCount, view.entries.size());
    m_upstreamsByFingerprint.clear();
    m_entriesByRegion.clear();
    m_entriesInZone = 0;
    for (const fleet_entry &entry : view.entries) {
        if (entry.state == entry_state::absent)
            continue;
        m_entriesByRegion[entry.region] += 1;
        m_entriesInZone += entry.zone == m_settings.zone ? 1 : 0;
    }
    m_entriesInZone = std::max(m_entriesInZone, 1.0);
    for (const upstream_incarnation &incarnation : view.upstreams) {
        if (incarnation.state != upstream_state::serving)
            continue;
        upstream_record record;
        const auto known = previous.find(incarnation.id);
        const bool sameIncarnation = known != previous.end()
            && known->second.incarnation.startTimeMs == incarnation.startTimeMs;
        if (sameIncarnation)
            record = std::move(known->second);
        const bool coldStateChanged =
            !sameIncarnation || record.incarnation.sequence != incarnation.sequence;
        record.incarnation = incarnation;
        const auto region = m_settings.regions.find(incarnation.zone);
        record.region = region == m_settings.regions.end() ? region_name() : region->second;
        record.evacuated = view.evacuated.contains(incarnation.zone);
        service_record &service =
            m_services
                .try_emplace(incarnation.service, m_settings.shift,
                             std::minstd_rand(static_cast<std::uint32_t>(m_settings.entrySeed)))
                .first->second;
        if (const service_settings *settings = routes.service(incarnation.service)) {
            service.coldRequestsPerSecond = settings->coldRequestsPerSecond;
            service.coldTime = settings->coldTime;
        }
        record.averageLoad = &service.averageLoads[record.region];
        record.memberIndex = service.members.size();
        service.members.push_back(incarnation.id);
        if (coldStateChanged)
            recordColdStart(record, incarnation.coldRemaining, now);
        // Upstreams may have become cold while their zone was evacuated.
        if (previouslyEvacuated.contains(incarnation.zone) && !record.evacuated)
            recordColdStart(record, service.coldTime, now);
        m_upstreamsByFingerprint.emplace(static_cast<std::uint64_t>(fingerprintOf(incarnation)),
                                         incarnation.id);
        m_upstreams.emplace(incarnation.id, std::move(record));
    }
    std::erase_if(m_services, [&](const auto &each) {
        return each.second.members.empty() && routes.service(each.first) == nullptr;
    });
    for (auto &[name, service] : m_services) {
        service.times.eraseRoutes(
            [&](const std::string &route) { return !routes.contains(route); });
        std::erase_if(service.routes,
                      [&](const auto &each) { return !routes.contains(each.first); });
        std::vector<object_placement::member> members;
        for (const upstream_id &id : service.members) {
            const upstream_record &upstream = m_upstreams.at(id);
            members.push_back({id, upstream.region, proximityOf(upstream)});
        }
        service.placement.setMembers(std::move(members));
    }
}

double upstream_choice::roundTripMs(const upstream_record &upstream) const
{
    if (upstream.region == m_settings.region)
        return 1;
    const auto measured = m_roundTripMs.find(upstream.region);
    return measured == m_roundTripMs.end()
        ? static_cast<double>(m_settings.defaultRoundTripTime.count())
        : measured->second;
}

time_estimate upstream_choice::serviceTime(const upstream_record &upstream, service_record &service,
                                           const upstream_choice_request &request, double slowness,
                                           instant now)
{
    time_estimate work = service.times.serviceTime(
        request.route, cacheStateOf(upstream, service, request.route, request.object),
        request.latencyTarget);
    work.ms *=
        slowness * relativeWorkTime(upstream, now) * (now < upstream.coldUntil ? coldSlowdown : 1);
    return work;
}

void upstream_choice::refillColdTokens(upstream_record &upstream, const service_record &service,
                                       instant now) const
{
    const double rate = service.coldRequestsPerSecond * coldRateMargin
        / static_cast<double>(std::max<std::size_t>(m_entryCount, 1));
    upstream.coldTokens =
        std::min(1.0, upstream.coldTokens + toMs(now - upstream.coldTokensUpdated) / 1'000 * rate);
    upstream.coldTokensUpdated = now;
}

bool upstream_choice::mayUse(upstream_record &upstream, const service_record &service,
                             const upstream_choice_request &request, instant now) const
{
    if (upstream.evacuated || now < upstream.backoffUntil
        || !upstream.availability.permitsRequests(now)
        || request.triedUpstreams.contains(upstream.incarnation.id)
        || (!request.regions.empty() && !request.regions.contains(upstream.region)))
        return false;
    if (estimatedLoad(upstream, now) >= upstream.incarnation.slots * (1 + maxWaitingPerSlot))
        return false;
    if (now < upstream.coldUntil && service.coldRequestsPerSecond > 0) {
        refillColdTokens(upstream, service, now);
        return upstream.coldTokens >= 1;
    }
    return true;
}

double upstream_choice::timeScaleMs(const service_record &service,
                                    const upstream_choice_request &request)
{
    return service.times
        .serviceTime(request.route, object_cache_state::uncached, request.latencyTarget)
        .ms;
}

upstream_choice::choice_option
upstream_choice::evaluateUpstream(upstream_record &upstream, service_record &service,
                                  const upstream_choice_request &request, instant now)
{
    choice_option option;
    option.upstream = &upstream;
    const answer_statistics statistics = statisticsOf(upstream, now);
    const time_estimate queueTime =
        expectedQueueTime(upstream, service, request, statistics.slowness, now);
    const time_estimate work = serviceTime(upstream, service, request, statistics.slowness, now);
    option.queueTimeMs = queueTime.ms;
    option.expectedMs = roundTripMs(upstream) + queueTime.ms + work.ms;
    option.isMeasured = queueTime.isMeasured && work.isMeasured;
    double penalty = distancePenalty(upstream, service, request.route)
        + statistics.failureRate * failurePenalty
        + (upstream.incarnation.silent ? silencePenalty : 0);
    if (request.object.empty()) {
        penalty += std::uniform_real_distribution<double>(0, maxRandomPenalty)(m_random);
    } else {
        penalty += std::min(rankOf(upstream, service, request.route, request.object) * rankPenalty,
                            maxRankPenalty);
    }
    const double scaleMs = timeScaleMs(service, request);
    option.cost = option.expectedMs + penalty * scaleMs;
    option.costInRegion = option.cost;
    if (upstream.neverUsed && introduces(upstream) && isInTime(option, request))
        option.costInRegion -= unusedBonus * scaleMs;
    return option;
}

bool upstream_choice::introduces(const upstream_record &upstream) const
{
    if (upstream.region != m_settings.region)
        return false;
    const auto entries = m_entriesByRegion.find(m_settings.region);
    const double count = entries == m_entriesByRegion.end() ? 1 : entries->second;
    return introductionDraw(upstream.incarnation.id, m_settings.entrySeed) * count
        < introducingEntries;
}

void upstream_choice::recordBackoff(const upstream_record &upstream,
                                    const upstream_choice_request &request, instant now,
                                    service_options &options)
{
    if (upstream.evacuated || upstream.availability.isLeaving()
        || (!request.regions.empty() && !request.regions.contains(upstream.region)))
        return;
    if (!upstream.availability.isBackingOff(now)) {
        options.allBackOff = false;
        return;
    }
    const instant end = upstream.availability.backoffUntil();
    if (!options.firstBackoffEnd || end < *options.firstBackoffEnd)
        options.firstBackoffEnd = end;
}

upstream_choice::service_options
upstream_choice::surveyUpstreams(service_record &service, const upstream_choice_request &request,
                                 instant now)
{
    const auto keepCheaper = [](choice_option &best, const choice_option &option) {
        const double cost = std::min(best.cost, option.cost);
        if (option.costInRegion < best.costInRegion)
            best = option;
        best.cost = cost;
    };
    service_options result;
    for (const upstream_id &id : service.members) {
        upstream_record &upstream = m_upstreams.at(id);
        if (hasUsableSlots(upstream, now))
            result.slots[upstream.region] += upstream.incarnation.slots;
        recordBackoff(upstream, request, now, result);
        if (!mayUse(upstream, service, request, now))
            continue;
        const choice_option option = evaluateUpstream(upstream, service, request, now);
        keepCheaper(result.best[upstream.region], option);
        if (option.queueTimeMs <= maxQueueMs(request))
            keepCheaper(result.bestWithShortQueue[upstream.region], option);
    }
    return result;
}

bool upstream_choice::isInTime(const choice_option &option, const upstream_choice_request &request)
{
    // An assumption would reject all requests, and then no measurement could ever correct it.
    return !option.isMeasured || option.expectedMs <= maxResponseMs(request);
}

std::map<region_name, upstream_choice::choice_option>
upstream_choice::timelyOptions(const service_options &found, const upstream_choice_request &request,
                               instant now)
{
    std::map<region_name, choice_option> result;
    for (const auto &[region, best] : found.best) {
        const auto other = found.bestWithShortQueue.find(region);
        choice_option option = best;
        // Requests for a popular object spread to other upstreams while the region has free
        // capacity. In an overloaded region, spreading would only evict objects from more caches.
        const bool maySpread = other != found.bestWithShortQueue.end()
            && best.upstream->averageLoad->at(now) < spreadLoadThreshold;
        if (best.queueTimeMs > maxQueueMs(request))
            option = maySpread ? other->second : choice_option{};
        if (option.upstream != nullptr && isInTime(option, request))
            result.emplace(region, option);
    }
    return result;
}

void upstream_choice::initializeShares(service_record &service, const region_weights &slots,
                                       instant now) const
{
    std::map<region_name, region_resources> regions;
    for (const auto &[region, entries] : m_entriesByRegion)
        regions[region].entries = entries;
    for (const auto &[region, count] : slots)
        regions[region].slots = count;
    service.shares.begin(initialShares(m_settings.region, regions), now);
}

bool upstream_choice::hasUsableSlots(const upstream_record &upstream, instant now)
{
    return !upstream.evacuated && !upstream.availability.isLeaving()
        && now >= upstream.capacityLostUntil && now >= upstream.coldUntil;
}

std::optional<chosen_upstream> upstream_choice::choose(const upstream_choice_request &request,
                                                       instant now, choice_failure &reason)
{
    const auto found = m_services.find(request.service);
    reason.noUpstreams = found == m_services.end() || found->second.members.empty();
    if (reason.noUpstreams)
        return std::nullopt;
    service_record &service = found->second;
    region_shares &shares = service.shares;
    if (!request.previousRegion)
        updatePlacementScope(service, request, now);
    const service_options available = surveyUpstreams(service, request, now);
    if (!shares.hasBegun())
        initializeShares(service, available.slots, now);
    shares.advanceTo(now);
    shares.setSlots(available.slots);
    if (request.previousRegion)
        shares.recordWithdrawal(*request.previousRegion);
    const auto options = timelyOptions(available, request, now);
    // The cap on how fast requests may move between regions does not apply to a request that only
    // one region may serve.
    const bool hasSingleRegion = request.regions.size() == 1;
    const auto preferred =
        std::min_element(options.begin(), options.end(), [](const auto &one, const auto &other) {
            return one.second.cost < other.second.cost;
        });
    std::optional<region_name> taken;
    if (preferred != options.end()) {
        taken = hasSingleRegion ? preferred->first
                                : shares.pickRegion(regionCosts(options, service, request),
                                                    request.previousRegion.has_value());
    }
    if (!taken) {
        reason.shiftCapped = preferred != options.end();
        reason.allBackOff = available.allBackOff && available.firstBackoffEnd;
        if (reason.allBackOff)
            reason.retryAfter = std::chrono::ceil<milliseconds>(*available.firstBackoffEnd - now);
        shares.recordRefusal();
        return std::nullopt;
    }
    if (!hasSingleRegion)
        shares.recordDecision(preferred->first, *taken);
    return describeChoice(options.at(*taken), now);
}

chosen_upstream upstream_choice::describeChoice(const choice_option &option, instant now) const
{
    const upstream_record &upstream = *option.upstream;
    std::optional<milliseconds> reportAge;
    if (upstream.lastReport)
        reportAge = std::chrono::duration_cast<milliseconds>(now - *upstream.lastReport);
    return {upstream.incarnation,
            upstream.region,
            milliseconds(std::llround(option.expectedMs)),
            milliseconds(std::llround(option.queueTimeMs)),
            milliseconds(std::llround(roundTripMs(upstream))),
            estimatedLoad(upstream, now),
            reportAge};
}

upstream_attempt_record upstream_choice::attemptStarted(const upstream_id &id,
                                                        const std::string &object, instant now,
                                                        const std::string &route)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return {};
    upstream_record &upstream = found->second;
    service_record &service = m_services.at(upstream.incarnation.service);
    upstream_attempt_record attempt{cacheStateOf(upstream, service, route, object),
                                    queueRounds(upstream, now), route};
    ++upstream.inFlight;
    upstream.neverUsed = false;
    if (now < upstream.coldUntil)
        upstream.coldTokens -= 1;
    // Already at the start of the attempt, so that concurrent requests for one object use one
    // upstream.
    rememberObject(upstream, object);
    return attempt;
}

} // namespace kingcuptiller
