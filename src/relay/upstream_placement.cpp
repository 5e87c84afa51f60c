#include "kingcuptiller/relay/upstream_choice.h"

#include "kingcuptiller/telemetry/log.h"

#include <chrono>
#include <cmath>
#include <string>

// Where `upstream_choice` expects and places the objects of requests, and what distance costs.

namespace kingcuptiller {

namespace {

// The assumed size of a request and its response until one has been measured.
constexpr double assumedKibPerRequest = 2;
constexpr std::chrono::seconds scopeCheckInterval{1};

} // namespace

proximity upstream_choice::proximityOf(const upstream_record &upstream) const
{
    if (upstream.incarnation.zone == m_settings.zone)
        return proximity::same_zone;
    return upstream.region == m_settings.region ? proximity::same_region : proximity::other_region;
}

object_placement::rank upstream_choice::rankOf(const upstream_record &upstream,
                                               service_record &service, const std::string &route,
                                               const std::string &object)
{
    if (object.empty())
        return 0;
    const auto known = service.routes.find(route);
    const placement_scope scope =
        known == service.routes.end() ? placement_scope::region : known->second.scope;
    return service.placement.ranksOf(object, scope)[upstream.memberIndex];
}

object_cache_state upstream_choice::cacheStateOf(const upstream_record &upstream,
                                                 service_record &service, const std::string &route,
                                                 const std::string &object)
{
    if (object.empty())
        return object_cache_state::no_object;
    if (upstream.objects.positions.contains(object))
        return object_cache_state::cached;
    return rankOf(upstream, service, route, object) == 0 ? object_cache_state::preferred
                                                         : object_cache_state::uncached;
}

void upstream_choice::updatePlacementScope(service_record &service,
                                           const upstream_choice_request &request,
                                           instant now) const
{
    route_record &route = service.routes[request.route];
    route.traffic.recordRequest(request.object, now);
    if (request.object.empty() || now < route.scopeCheckTime)
        return;
    route.scopeCheckTime = now + scopeCheckInterval;
    placement_surroundings surroundings;
    surroundings.entriesInZone = m_entriesInZone;
    for (const upstream_id &id : service.members) {
        const proximity place = proximityOf(m_upstreams.at(id));
        surroundings.upstreamsInZone += place == proximity::same_zone ? 1 : 0;
        surroundings.upstreamsInRegion += place == proximity::other_region ? 0 : 1;
    }
    surroundings.cachedObjects = static_cast<double>(m_settings.cachedObjectsPerUpstream);
    surroundings.crossZoneCostPerKib = m_settings.crossZoneCostPerKib;
    const placement_scope scope =
        choosePlacementScope(route.traffic, surroundings, route.scope, now);
    if (scope == route.scope)
        return;
    route.scope = scope;
    log_line(log_level::info, "relay", "placement_changed")
        .field("route", request.route)
        .field("scope", scope == placement_scope::zone ? "zone" : "region")
        .field("objects", std::int64_t(std::llround(route.traffic.objectCount().value_or(0))))
        .field("kib", route.traffic.kibPerRequest().value_or(0));
}

double upstream_choice::distancePenalty(const upstream_record &upstream,
                                        const service_record &service,
                                        const std::string &route) const
{
    const proximity place = proximityOf(upstream);
    if (place == proximity::same_zone)
        return 0;
    const auto known = service.routes.find(route);
    const double kib = known == service.routes.end()
        ? assumedKibPerRequest
        : known->second.traffic.kibPerRequest().value_or(assumedKibPerRequest);
    return kib
        * (place == proximity::same_region ? m_settings.crossZoneCostPerKib
                                           : m_settings.crossRegionCostPerKib);
}

region_weights upstream_choice::regionCosts(const std::map<region_name, choice_option> &options,
                                            const service_record &service,
                                            const upstream_choice_request &request)
{
    const double scaleMs = timeScaleMs(service, request);
    region_weights costs;
    for (const auto &[region, option] : options)
        costs.emplace(region, option.cost / scaleMs);
    return costs;
}

} // namespace kingcuptiller
