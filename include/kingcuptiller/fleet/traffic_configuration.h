#pragma once

#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// What operators decide about requests: which service takes them, how fast they must be answered,
// and what may be repeated.

namespace kingcuptiller {

// A service that takes a part of a route's requests, in proportion to the weights of all parts.
struct weighted_service
{
    service_name service;
    double weight = 1;

    bool operator==(const weighted_service &) const = default;
};

struct traffic_route
{
    std::string name;
    // Lower case, without a port.
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    // The request may run more than once.
    bool idempotent = false;
    // How long a request may be kept waiting for its answer.
    milliseconds timeout{10'000};
    // An answer within this time earns its full worth.
    milliseconds latencyTarget{1'000};
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    std::vector<weighted_service> weightedServices;
    // The most upstreams to which one request may be sent.
    std::uint32_t maximumAttempts = 1;
    // Upstreams answer faster when they have handled the same object recently.
    bool affinity = false;
    // Where requests may be served; empty when everywhere.
    std::set<region_name> regions;

    bool operator==(const traffic_route &) const = default;
};

struct service_settings
{
    service_name name;
    // Connections that one upstream accepts from all callers together.
    std::uint32_t connectionLimit = 0;
    // How long an upstream stays cold after its start, and how many requests a second it tolerates
    // meanwhile, from all entries together.
    milliseconds coldTime{0};
    double coldRequestsPerSecond = 0;

    bool operator==(const service_settings &) const = default;
};

// What a client may send and how long it may take or stay idle.
struct client_limits
{
    std::size_t headerBytes = 16 * std::size_t{1024};
    std::uint64_t bodyBytes = std::uint64_t{64} * 1024 * 1024;
    milliseconds headerTimeout{3'000};
    milliseconds idleTimeout{15'000};

    bool operator==(const client_limits &) const = default;
};

// One version of the operators' configuration. Versions only grow.
struct traffic_configuration
{
    revision_number version;
    // The version on which this one was built.
    revision_number base;
    std::vector<traffic_route> routes;
    std::vector<service_settings> services;
    client_limits limits;

    bool operator==(const traffic_configuration &) const = default;
};

// Throws `error` with `change_malformed` when the configuration contradicts itself: an unknown
// service, two routes at one place, a version that is not above its base, or times out of range.
void checkConfiguration(const traffic_configuration &configuration);

// Finds the route of a request: among the routes of its host, the one with the longest prefix that
// begins the path.
class route_table
{
public:
    route_table() = default;
    explicit route_table(const traffic_configuration &configuration);

    // nullptr when no route matches. `host` may hold a port and any case. The pointer is valid as
    // long as this table.
    [[nodiscard]] const traffic_route *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const service_settings *service(const service_name &name) const;
    // Whether there is a route of this name.
    [[nodiscard]] bool contains(const std::string &route) const { return m_names.contains(route); }

private:
    // Routes of one host, longest prefix first.
    std::map<std::string, std::vector<traffic_route>, std::less<>> m_hosts;
    std::set<std::string> m_names;
    std::map<service_name, service_settings> m_services;
};

} // namespace kingcuptiller
