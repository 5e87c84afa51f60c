#pragma once

#include "kingcuptiller/accounts/client_account.h"
#include "kingcuptiller/values/identifiers.h"
#include "kingcuptiller/values/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// Configuration that operators set for client requests: to which service they are routed, within
// what time they must be answered, and which of them may be retried.

namespace kingcuptiller {

// One of the services among which a route splits its requests. The share of a service is its weight
// divided by the sum of the weights.
struct weighted_service
{
    service_name service;
    double weight = 1;

    bool operator==(const weighted_service &) const = default;
};

struct traffic_route
{
    std::string name;
    // Name in the request's Host header, without a port; matched without regard to case.
    std::string host;
    // Prefix of the request's path. Begins and ends with a slash.
    std::string pathPrefix;
    // Whether a request may be executed more than once, so that it is safe to retry.
    bool idempotent = false;
    // Time limit for a request, including all its attempts.
    milliseconds timeout{10'000};
    // Latency objective: responses should take no longer than this. A later response, up to
    // `timeout`, is less valuable to the client.
    milliseconds latencyTarget{1'000};
    // Lower values are more urgent; 0 is the most urgent.
    std::uint32_t priority = 0;
    std::vector<weighted_service> weightedServices;
    // Maximum number of attempts for one request. An attempt is one transmission of the request to
    // one upstream.
    std::uint32_t maximumAttempts = 1;
    // Whether requests for the same object are sent to the same upstreams if possible, because
    // upstreams respond faster for an object that they handled recently. A request names its object
    // in a header field.
    bool affinity = false;
    // Regions whose upstreams may receive the requests; empty for all regions.
    std::set<region_name> regions;
    // Whether requests are served without the key of a client account.
    bool isPublic = false;
    // Whether requests have large bodies, which are sent to the upstream while they are received.
    bool streamsBodies = false;

    // Identifies the requests of the route in all configurations. Two routes never share it, and it
    // is not used again for other requests, as a name may be.
    [[nodiscard]] std::string key() const;

    bool operator==(const traffic_route &) const = default;
};

struct service_settings
{
    service_name name;
    // Maximum number of connections that one upstream accepts, from all entries together; 0 if the
    // configuration names none. Informational only: the relay does not enforce this limit.
    std::uint32_t connectionLimit = 0;
    // How long an upstream stays cold (with empty caches) after its start.
    milliseconds coldTime{0};
    // Request rate that one cold upstream can handle, from all entries together; 0 for no limit.
    double coldRequestsPerSecond = 0;

    bool operator==(const service_settings &) const = default;
};

// Limits on the size and the duration of client requests.
struct client_limits
{
    // Maximum size of the header section of a request.
    std::size_t headerBytes = 16 * std::size_t{1024};
    // Maximum size of a request's body.
    std::uint64_t bodyBytes = std::uint64_t{64} * 1024 * 1024;
    // Time limit for receiving the header section of a request.
    milliseconds headerTimeout{3'000};
    // Time after which an idle client connection is closed.
    milliseconds idleTimeout{15'000};

    bool operator==(const client_limits &) const = default;
};

// One version of the operators' configuration. Each accepted version has a higher number than the
// previous one.
struct traffic_configuration
{
    revision_number version;
    // The version that the operator changed to obtain this one. The change is rejected unless it is
    // the current version.
    revision_number base;
    std::vector<traffic_route> routes;
    std::vector<service_settings> services;
    // Client accounts. If there are any, a request needs the key of one, unless its route is
    // public.
    std::vector<client_account> accounts;
    client_limits limits;

    bool operator==(const traffic_configuration &) const = default;
};

// Throws `error` with `change_malformed` when the configuration is invalid: a route without a host
// or with a malformed prefix, an unknown service, a negative weight or no positive one, two routes
// with the same host and prefix, a version that is not above its base, times out of range, two
// accounts with the same name or key, or an account with a rate or burst that is no number from 0
// on.
void checkConfiguration(const traffic_configuration &configuration);

// Finds the route of a request: among the routes of the request's host, the one whose `pathPrefix`
// is the longest with which the request's path begins.
class route_table
{
public:
    route_table() = default;
    explicit route_table(const traffic_configuration &configuration);

    // Returns nullptr when no route matches. `host` is the value of the Host header: it may include
    // a port, and its case is ignored. The pointer is valid for the lifetime of this table.
    [[nodiscard]] const traffic_route *find(std::string_view host, std::string_view path) const;
    // Returns nullptr for an unknown service. The pointer is valid for the lifetime of this table.
    [[nodiscard]] const service_settings *service(const service_name &name) const;
    [[nodiscard]] const account_table &accounts() const { return m_accounts; }
    // Whether a route with this key exists.
    [[nodiscard]] bool contains(const std::string &routeKey) const
    {
        return m_routeKeys.contains(routeKey);
    }

private:
    // Routes by lower-case host; those of one host are sorted by length of the prefix, the longest
    // first.
    std::map<std::string, std::vector<traffic_route>, std::less<>> m_routesByHost;
    std::set<std::string> m_routeKeys;
    std::map<service_name, service_settings> m_services;
    account_table m_accounts;
};

} // namespace kingcuptiller
