#include "kingcuptiller/fleet/traffic_configuration.h"

#include "kingcuptiller/values/error.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <utility>

namespace kingcuptiller {

namespace {

constexpr milliseconds maximumTimeout{600'000};
// A latency target that exceeds the timeout of its route by this much or more is rejected, as no
// response can take that long.
constexpr milliseconds rejectedTargetExcess{60'000};

[[noreturn]] void rejectConfiguration(const std::string &reason)
{
    throw error(result_code::change_malformed, reason);
}

void checkRoute(const traffic_route &route, const std::set<service_name> &services)
{
    if (route.host.empty() || route.pathPrefix.empty() || route.pathPrefix.front() != '/'
        || route.pathPrefix.back() != '/')
        rejectConfiguration("route " + route.name
                            + " needs a host and a path prefix that begins and ends with a slash");
    if (route.timeout <= milliseconds(0) || route.timeout > maximumTimeout)
        rejectConfiguration("the timeout of route " + route.name
                            + " is not between 1 and 600000 ms");
    if (route.latencyTarget >= route.timeout + rejectedTargetExcess)
        rejectConfiguration("the latency target of route " + route.name
                            + " exceeds its timeout by 60 s or more");
    double totalWeight = 0;
    for (const weighted_service &weightedService : route.weightedServices) {
        if (!services.contains(weightedService.service))
            rejectConfiguration("route " + route.name + " refers to the unknown service "
                                + weightedService.service.text());
        if (!(weightedService.weight >= 0))
            rejectConfiguration("route " + route.name
                                + " has a weight that is negative or not a number");
        totalWeight += weightedService.weight;
    }
    if (!(totalWeight > 0))
        rejectConfiguration("route " + route.name + " has no service with a positive weight");
}

// The reasons name accounts, never keys: operators and logs see them.
void checkAccounts(const std::vector<client_account> &accounts)
{
    std::set<account_name> names;
    std::map<key_digest, account_name> holders;
    for (const client_account &account : accounts) {
        if (account.name.empty())
            rejectConfiguration("an account has no name");
        if (!names.insert(account.name).second)
            rejectConfiguration("two accounts have the name " + account.name.text());
        const account_rate_limit &limit = account.limit;
        if (!std::isfinite(limit.requestsPerSecond) || limit.requestsPerSecond < 0
            || !std::isfinite(limit.burst) || limit.burst < 0)
            rejectConfiguration("account " + account.name.text()
                                + " has a rate or burst that is negative or not a number");
        for (const key_digest &key : account.keys) {
            const auto [holder, isNew] = holders.emplace(key, account.name);
            if (!isNew && holder->second != account.name)
                rejectConfiguration("accounts " + holder->second.text() + " and "
                                    + account.name.text() + " have the same key");
        }
    }
}

std::string lowerCaseHostWithoutPort(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

} // namespace

std::string traffic_route::key() const
{
    return lowerCaseHostWithoutPort(host) + pathPrefix;
}

void checkConfiguration(const traffic_configuration &configuration)
{
    if (configuration.version <= configuration.base)
        rejectConfiguration("the version is not greater than the base version");
    std::set<service_name> services;
    for (const service_settings &service : configuration.services)
        services.insert(service.name);
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const traffic_route &route : configuration.routes) {
        checkRoute(route, services);
        if (!hostsAndPrefixes.emplace(lowerCaseHostWithoutPort(route.host), route.pathPrefix)
                 .second)
            rejectConfiguration("route " + route.name
                                + " has the same host and path prefix as another route");
    }
    checkAccounts(configuration.accounts);
}

route_table::route_table(const traffic_configuration &configuration)
    : m_accounts(configuration.accounts)
{
    for (const traffic_route &route : configuration.routes) {
        m_routesByHost[lowerCaseHostWithoutPort(route.host)].push_back(route);
        m_routeKeys.insert(route.key());
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto &left, const auto &right) {
            return left.pathPrefix.size() > right.pathPrefix.size();
        });
    }
    for (const service_settings &service : configuration.services)
        m_services.emplace(service.name, service);
}

const traffic_route *route_table::find(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(lowerCaseHostWithoutPort(host));
    if (routes == m_routesByHost.end())
        return nullptr;
    const auto found =
        std::find_if(routes->second.begin(), routes->second.end(),
                     [&](const auto &route) { return path.starts_with(route.pathPrefix); });
    return found == routes->second.end() ? nullptr : &*found;
}

const service_settings *route_table::service(const service_name &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace kingcuptiller
