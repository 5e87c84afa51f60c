#pragma once

#include "kingcuptiller/fleet/fleet_view.h"
#include "kingcuptiller/fleet/traffic_configuration.h"
#include "kingcuptiller/relay/object_placement.h"
#include "kingcuptiller/relay/region_shares.h"
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

// The work of an upstream as it reports it beside an answer.
struct upstream_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    auto operator<=>(const upstream_load &) const = default;
};

// Whether an upstream has handled the object of a request recently.
enum class object_knowledge {
    // The request concerns no object.
    none,
    familiar,
    unfamiliar,
};

// What was known of an upstream when a request was sent to it.
struct sending_record
{
    object_knowledge knowledge = object_knowledge::none;
    // Requests that each of its slots had to finish first.
    double queueRounds = 0;
    // The route of the request.
    std::string route{};

    auto operator<=>(const sending_record &) const = default;
};

// How one sending of a request ended, as far as the choice of upstreams is concerned.
enum class sending_outcome {
    answered,
    // The upstream answered with a failure of its own.
    failed,
    // No connection; nothing was sent.
    unreachable,
    // The upstream refused truthfully: nothing ran.
    shed,
    // Another lifetime answers at the address.
    replaced,
    // No complete answer came, or none in time.
    broken,
    // The time for the answer was over.
    timed_out,
    // The client left; says nothing about the upstream.
    abandoned,
};

struct choice_settings
{
    region_name region;
    zone_name zone;
    std::map<zone_name, region_name> regions;
    // An upstream in another zone must be faster by this much, because bytes between zones cost.
    milliseconds otherZonePenalty{120};
    // The same for another region, beside the way there.
    milliseconds otherRegionPenalty{60};
    // Assumed way to another region and back until a connection there has been measured.
    milliseconds otherRegionRoundTrip{110};
    // How fast this region's requests may move to other regions.
    shift_cap shift;
    // Differs between entries, so that they do not all take their part of a shared rate at once.
    std::uint64_t entrySeed = 0;
    // Objects that an upstream is taken to remember.
    std::size_t rememberedObjects = 24;

    bool operator==(const choice_settings &) const = default;
};

// What a request needs from an upstream.
struct choice_request
{
    service_name service;
    // The object that the request concerns; empty when there is none.
    std::string object;
    std::set<region_name> regions;
    milliseconds latencyTarget{1000};
    // The time that is left for an answer.
    milliseconds timeLeft{1000};
    // Where this request has been sent before.
    std::set<upstream_id> tried;
    // The region to which it was sent last, when that did not serve it.
    std::optional<region_name> formerRegion = std::nullopt;
    // The route that it came by: requests of one route take about the same time.
    std::string route{};
};

struct chosen_upstream
{
    upstream_incarnation life;
    region_name region;
    milliseconds expected{0};
    // The part of it that the request waits for others.
    milliseconds queued{0};
    // The way there and back.
    milliseconds roundTrip{0};
    // Requests that it is taken to have, those of this entry among them.
    double load = 0;
    // How old its last report is; nothing when it has never reported.
    std::optional<milliseconds> reportAge;
};

// Why no upstream was chosen, and when one may be free.
struct no_choice
{
    // There is no usable upstream at all, or all are busy for too long.
    bool noneKnown = false;
    // Only regions that may take no more of this region's requests have room.
    bool shiftCapped = false;
    milliseconds retryAfter{500};
};

// Chooses the upstream of a request from what this entry knows: announcements, load reports beside
// answers, its own requests in flight and how these ended. An upstream that handled an object
// recently answers much faster, so requests for it return there until waiting would cost more.
//
//     const auto choice = choices.choose(request, now);
//     const auto sending = choices.started(choice->life.id, request.object, now);
//     choices.finished(choice->life.id, sending, sending_outcome::answered, elapsed, load, now);
//
// One thread owns it.
class upstream_choice
{
public:
    explicit upstream_choice(choice_settings settings);

    // Takes over a view of the fleet. What is known of lifetimes that go on is kept.
    void update(const fleet_view &view, const route_table &routes, instant now);

    // The best upstream, or nothing; then `reason` tells why.
    [[nodiscard]] std::optional<chosen_upstream> choose(const choice_request &request, instant now,
                                                        no_choice &reason);
    // Returns what was known when the request was sent; `finished` takes it back.
    [[nodiscard]] sending_record started(const upstream_id &id, const std::string &object,
                                         instant now, const std::string &route = {});
    void finished(const upstream_id &id, const sending_record &sending, sending_outcome outcome,
                  microseconds elapsed, const std::optional<upstream_load> &load, instant now);
    // The way to a zone and back as a new connection showed it.
    void noteRoundTrip(const zone_name &zone, microseconds elapsed);
    // An upstream said that it is cold for so long.
    void noteCold(const upstream_id &id, milliseconds remaining, instant now);

private:
    struct remembered_object
    {
        std::list<std::string> order;
        std::unordered_map<std::string, std::list<std::string>::iterator> places;
    };

    // How an upstream answered lately.
    struct upstream_marks
    {
        // How many times slower than its service's usual time.
        double slowness = 1;
        // The share of its answers that failed.
        double failureShare = 0;
    };

    // What the upstreams of one service and region usually have to do, by the reports of all of
    // them.
    struct usual_load
    {
        // Requests for each slot, waiting ones among them, at the newest report.
        double forEachSlot = 0;
        instant reported;

        [[nodiscard]] double at(instant now) const;
        void note(double load, instant now);
    };

    struct upstream_record
    {
        upstream_incarnation life;
        region_name region;
        bool evacuated = false;
        // This entry has sent it nothing yet.
        bool untried = true;
        std::uint32_t inFlight = 0;
        // Requests of other entries at the last report.
        double others = 0;
        // When it was; nothing before the first one.
        std::optional<instant> reported;
        // That of its service and region.
        usual_load *usualLoad = nullptr;
        // When it was observed last. The marks fade; see `marksOf`.
        upstream_marks marks;
        instant observed;
        std::uint32_t failuresInRow = 0;
        instant avoidUntil;
        // Nothing is served there until then, as far as it is known.
        instant lostUntil;
        milliseconds lastAvoidance{0};
        instant coldUntil;
        double coldTokens = 1;
        instant coldCounted;
        remembered_object objects;
        // Its number in its service's placement.
        std::size_t number = 0;
    };

    // What requests of one route usually take at an idle upstream, in milliseconds.
    struct usual_times
    {
        double familiarMs = 300;
        double unfamiliarMs = 900;
        double withoutObjectMs = 300;

        [[nodiscard]] double &of(object_knowledge knowledge);
    };

    struct service_record
    {
        service_record(shift_cap cap, std::minstd_rand random)
            : shares(cap, random)
        {
        }

        std::vector<upstream_id> members;
        object_placement placement;
        region_shares shares;
        std::map<region_name, usual_load> usualLoads;
        std::map<std::string, usual_times> timesByRoute;
        // What a request takes on average when others wait: how fast a queue moves.
        double queuedMs = 300;

        double coldRequestsPerSecond = 0;
        milliseconds coldTime{0};
    };

    // An upstream that may take a request.
    struct choice_option
    {
        upstream_record *upstream = nullptr;
        // In milliseconds of waiting that it is worth.
        double cost = std::numeric_limits<double>::max();
        // The cost to which upstreams of its region are compared; lower while it is untried.
        double costInRegion = std::numeric_limits<double>::max();
        double expectedMs = 0;
        double queuedMs = 0;
    };

    // What a service's upstreams offer to one request.
    struct service_survey
    {
        std::map<region_name, choice_option> best;
        std::map<region_name, choice_option> bestWithShortQueue;
        // Usable slots, whether this request may use them or not.
        region_weights slots;
    };

    [[nodiscard]] chosen_upstream described(const choice_option &option, instant now) const;
    [[nodiscard]] service_survey survey(service_record &service, const choice_request &request,
                                        instant now);
    [[nodiscard]] choice_option assess(upstream_record &upstream, service_record &service,
                                       usual_times &times, const choice_request &request,
                                       instant now);
    // The options that serve the request in time, by region.
    [[nodiscard]] static std::map<region_name, choice_option>
    timelyOptions(const service_survey &found, const choice_request &request, instant now);
    void beginShares(service_record &service, const region_weights &slots, instant now) const;
    // Neither evacuated, nor cold, nor lost.
    [[nodiscard]] static bool hasUsableSlots(const upstream_record &upstream, instant now);
    [[nodiscard]] static object_knowledge knowledgeOf(const upstream_record &upstream,
                                                      const std::string &object);
    // Requests that it is taken to have: those of this entry, and of others what it reported. With
    // time its report says less than what the service's upstreams in its region report by now.
    [[nodiscard]] static double loadOf(const upstream_record &upstream, instant now);
    static void noteReport(upstream_record &upstream, const upstream_load &load, instant now);
    [[nodiscard]] double networkMs(const upstream_record &upstream) const;
    [[nodiscard]] nearness nearnessOf(const upstream_record &upstream) const;
    [[nodiscard]] double placePenaltyMs(const upstream_record &upstream) const;
    // Requests that each slot has to finish before it takes a further one.
    [[nodiscard]] static double queueRounds(const upstream_record &upstream, instant now);
    // Time in the upstream's queue.
    [[nodiscard]] static double queueMs(const upstream_record &upstream,
                                        const service_record &service, double slowness,
                                        instant now);
    // The work itself, given whether the upstream knows the object.
    [[nodiscard]] static double workMs(const upstream_record &upstream, usual_times &times,
                                       const choice_request &request, double slowness, instant now);
    [[nodiscard]] bool mayUse(upstream_record &upstream, const service_record &service,
                              const choice_request &request, instant now) const;
    void noteColdStart(upstream_record &upstream, milliseconds coldRemaining, instant now) const;
    void refillColdTokens(upstream_record &upstream, const service_record &service,
                          instant now) const;
    // The marks of the last observation, as far as they still count: if they did not fade, an
    // upstream that did badly would get no requests that could show that it is well again.
    [[nodiscard]] static upstream_marks marksOf(const upstream_record &upstream, instant now);
    static void noteObserved(upstream_record &upstream, instant now);
    void noteFailure(upstream_record &upstream, sending_outcome outcome, instant now);
    void noteDuration(upstream_record &upstream, const sending_record &sending,
                      microseconds elapsed, instant now);
    void noteQueue(const upstream_record &upstream, const sending_record &sending,
                   microseconds elapsed, instant now);
    void remember(upstream_record &upstream, const std::string &object) const;

    choice_settings m_settings;
    std::map<upstream_id, upstream_record> m_upstreams;
    std::map<service_name, service_record> m_services;
    std::map<region_name, double> m_roundTripMs;
    std::set<zone_name> m_evacuated;
    std::map<region_name, double> m_entriesByRegion;
    // Entries that share the rate of a cold upstream.
    std::size_t m_entries = 1;
    std::minstd_rand m_random;
};

} // namespace kingcuptiller
