#pragma once

#include "kingcuptiller/fleet/fleet_view.h"
#include "kingcuptiller/fleet/traffic_configuration.h"
#include "kingcuptiller/relay/load_exchange.h"
#include "kingcuptiller/relay/object_placement.h"
#include "kingcuptiller/relay/region_shares.h"
#include "kingcuptiller/relay/route_traffic.h"
#include "kingcuptiller/relay/service_times.h"
#include "kingcuptiller/relay/upstream_load_report.h"
#include "kingcuptiller/relay/upstream_signals.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuptiller {

// The entry's estimates for an upstream at the time when an attempt was sent to it. An attempt is
// one transmission of a request to one upstream.
struct upstream_attempt_record
{
    object_cache_state cacheState = object_cache_state::no_object;
    // The expected number of requests that each slot (place for one running request) of the
    // upstream finishes before this one starts: the estimated queue length divided by the slots.
    double queueRounds = 0;
    // The key of the request's route.
    std::string route{};

    auto operator<=>(const upstream_attempt_record &) const = default;
};

// The result of one attempt, classified by what it says about the upstream.
enum class upstream_attempt_outcome {
    answered,
    // The upstream answered with an error status.
    failed,
    // No connection could be established; nothing was sent.
    unreachable,
    // Load shedding: the upstream rejected the request without running it.
    shed,
    // Another incarnation (run of an upstream process) answered at the upstream's address.
    replaced,
    // The connection failed after the request was sent, or the answer was incomplete or invalid.
    broken,
    // No answer arrived before the deadline.
    timed_out,
    // The client disconnected first, so the attempt says nothing about the upstream.
    abandoned,
};

// Settings of `upstream_choice` for one entry.
struct upstream_choice_settings
{
    // The region and availability zone of the entry.
    region_name region;
    zone_name zone;
    // The region of each availability zone.
    std::map<zone_name, region_name> regions;
    // The cost of 1 KiB of a request and its response that crosses zones of the entry's region, and
    // of 1 KiB that crosses regions instead, because such traffic is billed. Relative to the
    // service time of an uncached object.
    double crossZoneCostPerKib = 0.06;
    double crossRegionCostPerKib = 0.03;
    // The assumed round-trip time to another region until a connection to it has been measured.
    milliseconds defaultRoundTripTime{110};
    // Limits how fast requests of the entry's region may move to other regions; see
    // `region_shares`.
    region_shift_cap shift;
    // Seed of the random choices; must differ between entries. It also spreads over time the first
    // requests that entries send to a cold upstream (just started, with empty caches).
    std::uint64_t entrySeed = 0;
    // The assumed size of an upstream's cache, in objects.
    std::size_t cachedObjectsPerUpstream = 24;

    bool operator==(const upstream_choice_settings &) const = default;
};

// What an upstream must provide to serve a request.
struct upstream_choice_request
{
    service_name service;
    // The name of the object that the request refers to; empty when there is none.
    std::string object;
    // The regions that may serve the request; empty when all may.
    std::set<region_name> regions;
    // The response time to aim for. It bounds how long the request may wait in a queue.
    milliseconds latencyTarget{1000};
    // The time left until the request's deadline.
    milliseconds remainingTime{1000};
    // Upstreams that earlier attempts of this request were sent to; they are not chosen again.
    std::set<upstream_id> triedUpstreams;
    // The region of the previous attempt, when that attempt did not serve the request.
    std::optional<region_name> previousRegion = std::nullopt;
    // The key of the request's route. Service times are estimated for each route.
    std::string route{};
};

// The upstream that was chosen for a request, with the estimates behind the choice.
struct chosen_upstream
{
    upstream_incarnation incarnation;
    region_name region;
    // The expected response time.
    milliseconds expectedTime{0};
    // The part of the expected response time that the request waits in the upstream's queue.
    milliseconds queueTime{0};
    // The round-trip time between the entry and the upstream.
    milliseconds roundTripTime{0};
    // The estimated number of requests at the upstream, including those of this entry.
    double load = 0;
    // The age of the upstream's last load report; unset when it has never reported.
    std::optional<milliseconds> reportAge;
};

// Why no upstream was chosen, and when to try again.
struct choice_failure
{
    // True when no upstream of the service is known; false when all are busy or excluded.
    bool noUpstreams = false;
    // Some regions could serve the request, but `region_shift_cap` lets none of them take it.
    bool shiftCapped = false;
    // All upstreams have asked for a pause; `retryAfter` is the time until the first pause ends.
    bool allBackOff = false;
    milliseconds retryAfter{500};
};

// Chooses an upstream for each request of one entry, a process that forwards client requests to
// upstreams. The inputs are the list of upstreams in the fleet, their load reports, the entry's own
// requests in flight and the results of earlier attempts. An upstream that has an object in its
// cache answers several times faster, so requests for one object go to the same upstream until
// waiting in its queue would cost more.
//
//     choice_failure reason;
//     const auto chosen = choices.choose(request, now, reason);
//     const upstream_id &id = chosen->incarnation.id;
//     const auto attempt = choices.attemptStarted(id, request.object, now);
//     choices.attemptFinished(id, attempt, upstream_attempt_outcome::answered, elapsed, load, now);
//
// Not thread-safe.
class upstream_choice
{
public:
    explicit upstream_choice(upstream_choice_settings settings);

    // Replaces the known upstreams and entries by those of `view`. The statistics of upstreams that
    // are still the same incarnation are kept. What is known of a route is forgotten when it is no
    // longer configured, and what is known of a service when it is not configured and has no
    // upstreams.
    void update(const fleet_view &view, const route_table &routes, instant now);

    // Returns the upstream with the lowest cost that the shift cap permits. When there is none,
    // returns nothing and sets `reason`.
    [[nodiscard]] std::optional<chosen_upstream> choose(const upstream_choice_request &request,
                                                        instant now, choice_failure &reason);
    // Counts an attempt as in flight. Returns the estimates at this time, which the caller passes
    // to `attemptFinished`.
    [[nodiscard]] upstream_attempt_record attemptStarted(const upstream_id &id,
                                                         const std::string &object, instant now,
                                                         const std::string &route = {});
    // Records the result of an attempt. `elapsed` is the time since it was sent, `load` the load
    // report of the upstream, if it sent one.
    void attemptFinished(const upstream_id &id, const upstream_attempt_record &attempt,
                         upstream_attempt_outcome outcome, microseconds elapsed,
                         const std::optional<upstream_load_report> &load, instant now);
    // Records a round-trip time to an availability zone, measured while a connection was
    // established.
    void recordRoundTripTime(const zone_name &zone, microseconds elapsed);
    // Records the size of a request and its response together, in bytes on the wire.
    void recordBytes(const service_name &service, const std::string &route, std::size_t bytes);
    // Records that an upstream reported itself as cold (just started, with empty caches) for the
    // next `remaining` milliseconds.
    void reportColdUpstream(const upstream_id &id, milliseconds remaining, instant now);
    // Applies load reports that other entries have received.
    void applySharedReports(const std::vector<shared_load_report> &reports, instant now);
    // Applies what an upstream stated about its availability. No request is sent to an upstream
    // that drains or has asked for a pause.
    void applySignals(const upstream_id &id, const upstream_signals &signals, instant now);

private:
    // The objects of the latest requests to an upstream, in LRU order.
    struct recent_objects
    {
        // The most recently used object comes first.

        std::list<std::string> order;
        std::unordered_map<std::string, std::list<std::string>::iterator> positions;
    };

    // Moving averages of an upstream's recent answers.
    struct answer_statistics
    {
        // Its service time relative to the average of the same route and cache state; 2
        // means twice as slow.
        double slowness = 1;
        // The share of its attempts that failed, from 0 to 1.
        double failureRate = 0;
    };

    // The average load of the upstreams of one service and region, over the reports of all of them.
    struct average_load
    {
        // Running and waiting requests per slot at the time of the last report.
        double requestsPerSlot = 0;
        // The variance of the reports around the average.
        double variance = 0;
        instant lastReport;

        // The requests per slot at `now`, which decay exponentially after the last report.
        [[nodiscard]] double at(instant now) const;
        // The standard deviation of the requests per slot at `now`, which decays alike.
        [[nodiscard]] double deviationAt(instant now) const;
        void add(double load, instant now);
    };

    // The state that is kept for each upstream.
    struct upstream_record
    {
        upstream_incarnation incarnation;
        region_name region;
        bool evacuated = false;
        // This entry has sent no request to the upstream.
        bool neverUsed = true;
        // Requests of this entry that are in flight.
        std::uint32_t inFlight = 0;
        // Requests of other entries at the time of the last load report.
        double otherRequests = 0;
        // The time of the last load report; unset before the first one.
        std::optional<instant> lastReport;
        // The work time in that report, relative to the usual one.
        double reportedWorkTime = 1;
        // The average load of the upstream's service and region; owned by the service's record.
        average_load *averageLoad = nullptr;
        // The statistics at `lastObserved`, the end of the last attempt; `statisticsOf` applies the
        // decay since then.
        answer_statistics statistics;
        instant lastObserved;
        std::uint32_t consecutiveFailures = 0;
        // No request is sent to the upstream before this time, after a failure or a rejection.
        instant backoffUntil;
        // Before this time the slots of the upstream do not count as capacity of its region. Set
        // with `backoffUntil`, except after rejections and timeouts, which do not show a loss of
        // slots.
        instant capacityLostUntil;
        // The latest backoff delay, which doubles with each further failure.
        milliseconds lastBackoff{0};
        // What the upstream has stated about itself.
        upstream_availability availability;
        instant coldUntil;
        // Token bucket, at most 1, that limits this entry's requests to the upstream while it is
        // cold. Each request takes one token.
        double coldTokens = 1;
        instant coldTokensUpdated;
        recent_objects objects;
        // The index of the upstream in the members of its service and in the service's placement.
        std::size_t memberIndex = 0;
    };

    // What is known of the requests of one route to one service.
    struct route_record
    {
        route_traffic traffic;
        placement_scope scope = placement_scope::region;
        instant scopeCheckTime;
    };

    // The state that is kept for each service.
    struct service_record
    {
        service_record(region_shift_cap cap, std::minstd_rand random)
            : shares(cap, random)
        {
        }

        std::vector<upstream_id> members;
        object_placement placement;
        region_shares shares;
        std::map<region_name, average_load> averageLoads;
        service_times times;
        std::map<std::string, route_record> routes;
        // The configured rate of requests that a cold upstream tolerates, from all entries
        // together; 0 means no limit.
        double coldRequestsPerSecond = 0;
        // How long an upstream counts as cold once the evacuation of its availability zone ends.
        milliseconds coldTime{0};
    };

    // An upstream that may take a request, with its estimated cost.
    struct choice_option
    {
        upstream_record *upstream = nullptr;
        // The total cost, in equivalent milliseconds of response time; the lowest wins.
        double cost = std::numeric_limits<double>::max();
        // The cost for comparison with other upstreams of the same region: `cost`, reduced while
        // this entry has not used the upstream, so that a new upstream gets a request.
        double costInRegion = std::numeric_limits<double>::max();
        double expectedMs = 0;
        double queueTimeMs = 0;
        // Whether `expectedMs` rests on measurements.
        bool isMeasured = false;
    };

    // The options that the upstreams of a service offer to one request.
    struct service_options
    {
        // The best option of each region.
        std::map<region_name, choice_option> best;
        // The best option of each region among the upstreams whose expected queue time is within
        // the limit for the request.
        std::map<region_name, choice_option> bestWithShortQueue;
        // The usable slots of each region, including those that this request may not use.
        region_weights slots;
        // Whether the upstreams that the request may use have all asked for a pause, and the time
        // at which the first pause ends.
        bool allBackOff = true;
        std::optional<instant> firstBackoffEnd;
    };

    [[nodiscard]] chosen_upstream describeChoice(const choice_option &option, instant now) const;
    [[nodiscard]] service_options
    surveyUpstreams(service_record &service, const upstream_choice_request &request, instant now);
    // Notes in `options` whether an upstream that the request may use has asked for a pause.
    static void recordBackoff(const upstream_record &upstream,
                              const upstream_choice_request &request, instant now,
                              service_options &options);
    [[nodiscard]] choice_option evaluateUpstream(upstream_record &upstream, service_record &service,
                                                 const upstream_choice_request &request,
                                                 instant now);
    // Whether the upstream may be expected to answer within the request's remaining time.
    [[nodiscard]] static bool isInTime(const choice_option &option,
                                       const upstream_choice_request &request);
    // The options that are expected to answer within the request's remaining time, by region.
    [[nodiscard]] static std::map<region_name, choice_option>
    timelyOptions(const service_options &found, const upstream_choice_request &request,
                  instant now);
    // The cost of each region, relative to `timeScaleMs`.
    [[nodiscard]] static region_weights
    regionCosts(const std::map<region_name, choice_option> &options, const service_record &service,
                const upstream_choice_request &request);
    // The expected service time of an uncached object: the scale of all times of a route, in
    // milliseconds.
    [[nodiscard]] static double timeScaleMs(const service_record &service,
                                            const upstream_choice_request &request);
    void initializeShares(service_record &service, const region_weights &slots, instant now) const;
    // Whether the slots of the upstream count as capacity: it is not cold, not failing and not in
    // an evacuated zone, from which an operator removes all traffic.
    [[nodiscard]] static bool hasUsableSlots(const upstream_record &upstream, instant now);
    // The rank of the upstream for the request's object, 0 without an object.
    [[nodiscard]] static object_placement::rank rankOf(const upstream_record &upstream,
                                                       service_record &service,
                                                       const std::string &route,
                                                       const std::string &object);
    [[nodiscard]] static object_cache_state cacheStateOf(const upstream_record &upstream,
                                                         service_record &service,
                                                         const std::string &route,
                                                         const std::string &object);
    // Counts the request in its route's traffic and decides anew, at most once a second, where the
    // objects of the route are placed.
    void updatePlacementScope(service_record &service, const upstream_choice_request &request,
                              instant now) const;
    // The estimated number of requests at an upstream: those of this entry in flight, plus those of
    // other entries. The latter move from the upstream's last report to the average of its service
    // and region as the report ages.
    [[nodiscard]] static double estimatedLoad(const upstream_record &upstream, instant now);
    // `receivedAt` is when an entry received the report, this one or another.
    static void recordLoadReport(upstream_record &upstream, const upstream_load_report &load,
                                 instant receivedAt);
    // The expected work time relative to the usual one: the reported one, which loses its weight
    // within a fraction of a second.
    [[nodiscard]] static double relativeWorkTime(const upstream_record &upstream, instant now);
    // Whether this entry is one of the few of its region that send a first request to the upstream
    // without regard to its cost.
    [[nodiscard]] bool introduces(const upstream_record &upstream) const;
    [[nodiscard]] double roundTripMs(const upstream_record &upstream) const;
    [[nodiscard]] proximity proximityOf(const upstream_record &upstream) const;
    // The cost of the bytes that a request of the route sends to the upstream and back, relative to
    // the service time of an uncached object.
    [[nodiscard]] double distancePenalty(const upstream_record &upstream,
                                         const service_record &service,
                                         const std::string &route) const;
    // The standard deviation of `estimatedLoad`: 0 right after a report, and the deviation of the
    // loads in the region when the last report is old.
    [[nodiscard]] static double loadDeviation(const upstream_record &upstream, instant now);
    // The expected number of requests that each slot finishes before it can start a new one. While
    // the load is uncertain, it is the mean over the loads that are likely: a queue that may be
    // there is not made up for by slots that may be free.
    [[nodiscard]] static double queueRounds(const upstream_record &upstream, instant now);
    // The expected time in the upstream's queue.
    [[nodiscard]] static time_estimate expectedQueueTime(const upstream_record &upstream,
                                                         const service_record &service,
                                                         const upstream_choice_request &request,
                                                         double slowness, instant now);
    // The expected service time for the cache state of the request's object.
    [[nodiscard]] static time_estimate serviceTime(const upstream_record &upstream,
                                                   service_record &service,
                                                   const upstream_choice_request &request,
                                                   double slowness, instant now);
    // Whether the request may be sent to the upstream. Refills the upstream's cold token bucket.
    [[nodiscard]] bool mayUse(upstream_record &upstream, const service_record &service,
                              const upstream_choice_request &request, instant now) const;
    void recordColdStart(upstream_record &upstream, milliseconds coldRemaining, instant now) const;
    void refillColdTokens(upstream_record &upstream, const service_record &service,
                          instant now) const;
    // The statistics of an upstream at `now`, decayed since the last observation. Without the
    // decay, an upstream that did badly would get no requests that could show its recovery.
    [[nodiscard]] static answer_statistics statisticsOf(const upstream_record &upstream,
                                                        instant now);
    // Applies the decay up to `now`, before a new observation is added.
    static void decayStatistics(upstream_record &upstream, instant now);
    void recordFailure(upstream_record &upstream, upstream_attempt_outcome outcome, instant now);
    void recordServiceTime(upstream_record &upstream, const upstream_attempt_record &attempt,
                           microseconds elapsed, instant now);
    void recordQueueTime(const upstream_record &upstream, const upstream_attempt_record &attempt,
                         microseconds elapsed, instant now);
    void rememberObject(upstream_record &upstream, const std::string &object) const;

    upstream_choice_settings m_settings;
    std::map<upstream_id, upstream_record> m_upstreams;
    std::map<service_name, service_record> m_services;
    std::unordered_map<std::uint64_t, upstream_id> m_upstreamsByFingerprint;
    // Measured round-trip times to other regions.
    std::map<region_name, double> m_roundTripMs;
    std::set<zone_name> m_evacuatedZones;
    // The number of entries in each region and in the zone of this entry.
    std::map<region_name, double> m_entriesByRegion;
    double m_entriesInZone = 1;
    // The number of entries that share the request rate of a cold upstream. It only grows, so that
    // an entry that sees few others does not exceed the rate.
    std::size_t m_entryCount = 1;
    std::minstd_rand m_random;
};

} // namespace kingcuptiller
