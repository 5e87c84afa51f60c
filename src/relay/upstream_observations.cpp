#include "kingcuptiller/relay/upstream_choice.h"

#include <algorithm>
#include <chrono>
#include <cmath>

// What the choice of upstreams learns from how sendings end.

namespace kingcuptiller {

namespace {

// How fast an estimate follows observations: the weight of the newest one.
constexpr double durationWeight = 0.05;
constexpr double slownessWeight = 0.15;
constexpr double failureWeight = 0.1;
constexpr double lowestSlowness = 0.7;
constexpr double highestSlowness = 12;
constexpr milliseconds firstAvoidance{500};
constexpr milliseconds longestAvoidance{8'000};
constexpr milliseconds shedAvoidance{100};
constexpr std::uint32_t failuresToAvoid = 3;
// What an upstream did counts half after this time without news.
constexpr milliseconds observationHalfLife{4'000};

double toMs(microseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

void upstream_choice::remember(upstream_record &upstream, const std::string &object) const
{
    if (object.empty())
        return;
    auto &[order, places] = upstream.objects;
    const auto known = places.find(object);
    if (known != places.end()) {
        order.splice(order.begin(), order, known->second);
        return;
    }
    order.push_front(object);
    places[object] = order.begin();
    if (order.size() > m_settings.rememberedObjects) {
        places.erase(order.back());
        order.pop_back();
    }
}

upstream_choice::upstream_marks upstream_choice::marksOf(const upstream_record &upstream,
                                                         instant now)
{
    const double ageMs = std::max(toMs(now - upstream.observed), 0.0);
    const double weight = std::exp2(-ageMs / static_cast<double>(observationHalfLife.count()));
    return {1 + (upstream.marks.slowness - 1) * weight, upstream.marks.failureShare * weight};
}

void upstream_choice::noteObserved(upstream_record &upstream, instant now)
{
    upstream.marks = marksOf(upstream, now);
    upstream.observed = now;
}

void upstream_choice::noteFailure(upstream_record &upstream, sending_outcome outcome, instant now)
{
    if (outcome == sending_outcome::shed) {
        upstream.avoidUntil = std::max(upstream.avoidUntil, now + shedAvoidance);
        return;
    }
    if (outcome == sending_outcome::replaced) {
        // Only a new announcement tells which lifetime is there now.
        upstream.avoidUntil = now + longestAvoidance;
        upstream.lostUntil = upstream.avoidUntil;
        return;
    }
    upstream.marks.failureShare += (1 - upstream.marks.failureShare) * failureWeight;
    ++upstream.failuresInRow;
    if (outcome != sending_outcome::unreachable && upstream.failuresInRow < failuresToAvoid)
        return;
    upstream.lastAvoidance =
        std::clamp(upstream.lastAvoidance * 2, firstAvoidance, longestAvoidance);
    upstream.avoidUntil = now + upstream.lastAvoidance;
    // An upstream that answers late is short of time; that is no loss of room.
    if (outcome != sending_outcome::timed_out)
        upstream.lostUntil = upstream.avoidUntil;
}

void upstream_choice::noteQueue(const upstream_record &upstream, const sending_record &sending,
                                microseconds elapsed, instant now)
{
    if (now < upstream.coldUntil)
        return;
    service_record &service = m_services.at(upstream.life.service);
    const double each = (toMs(elapsed) - networkMs(upstream)) / (1 + sending.queueRounds);
    service.queuedMs += (std::max(each, 1.0) - service.queuedMs) * durationWeight;
}

void upstream_choice::noteDuration(upstream_record &upstream, const sending_record &sending,
                                   microseconds elapsed, instant now)
{
    service_record &service = m_services.at(upstream.life.service);
    // Time in the upstream's queue says nothing about its work.
    if (loadOf(upstream, now) + 1 > upstream.life.slots || now < upstream.coldUntil)
        return;
    const double work = std::max(toMs(elapsed) - networkMs(upstream), 1.0);
    double &usual = service.timesByRoute[sending.route].of(sending.knowledge);
    upstream.marks.slowness +=
        (std::clamp(work / usual, lowestSlowness, highestSlowness) - upstream.marks.slowness)
        * slownessWeight;
    upstream.marks.slowness = std::clamp(upstream.marks.slowness, lowestSlowness, highestSlowness);
    usual += (work - usual) * durationWeight / std::max(upstream.marks.slowness, 1.0);
}

void upstream_choice::finished(const upstream_id &id, const sending_record &sending,
                               sending_outcome outcome, microseconds elapsed,
                               const std::optional<upstream_load> &load, instant now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    upstream_record &upstream = found->second;
    if (upstream.inFlight > 0)
        --upstream.inFlight;
    if (load)
        noteReport(upstream, *load, now);
    if (outcome == sending_outcome::abandoned)
        return;
    noteObserved(upstream, now);
    if (outcome == sending_outcome::answered || outcome == sending_outcome::timed_out)
        noteQueue(upstream, sending, elapsed, now);
    if (outcome != sending_outcome::answered) {
        noteFailure(upstream, outcome, now);
        return;
    }
    upstream.failuresInRow = 0;
    upstream.lastAvoidance = milliseconds(0);
    upstream.marks.failureShare *= 1 - failureWeight;
    noteDuration(upstream, sending, elapsed, now);
}

void upstream_choice::noteRoundTrip(const zone_name &zone, microseconds elapsed)
{
    const auto region = m_settings.regions.find(zone);
    if (region == m_settings.regions.end())
        return;
    const auto known = m_roundTripMs.find(region->second);
    if (known == m_roundTripMs.end())
        m_roundTripMs[region->second] = toMs(elapsed);
    else
        known->second = std::min(known->second * 1.05, std::max(toMs(elapsed), 0.1));
}

void upstream_choice::noteCold(const upstream_id &id, milliseconds remaining, instant now)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end())
        noteColdStart(found->second, remaining, now);
}

} // namespace kingcuptiller
