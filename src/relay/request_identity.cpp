#include "kingcuptiller/relay/request_relay.h"

#include "header_text.h"
#include "kingcuptiller/telemetry/log.h"
#include "request_progress.h"

#include <string_view>
#include <vector>

// The client accounts of requests: keys in requests, and the account names for upstreams.

namespace kingcuptiller {

namespace http = boost::beast::http;

using internal::toStringView;

authentication_result request_relay::authenticateRequest(const route_table &routes,
                                                         const relay_request &request) const
{
    if (routes.accounts().empty())
        return {};
    std::vector<std::string_view> values;
    const auto [first, last] = request.equal_range(m_options.headers.authorization);
    for (auto each = first; each != last; ++each)
        values.push_back(toStringView(each->value()));
    return authenticate(routes.accounts(), values, m_options.headers.authorizationScheme);
}

bool request_relay::areKeysOutdated(instant now) const
{
    return m_options.revocationLimit
        && now - m_options.lastControlContact() >= *m_options.revocationLimit;
}

relay_response request_relay::rejectUnauthenticated(const relay_request &request,
                                                    authentication_failure failure)
{
    m_requestsWithoutAccount.add();
    log_line(log_level::info, "relay", "request_unauthenticated")
        .field("request", toStringView(request[m_options.headers.requestId]))
        .field("reason", name(failure))
        .field("version", m_configurationVersion.number());
    relay_response response =
        makeTextResponse(http::status::unauthorized, "the key of an account is needed\n");
    response.set(http::field::www_authenticate, m_options.headers.authorizationScheme);
    return response;
}

relay_response request_relay::refuseRevokedKey(request_progress &progress)
{
    recordRequestEnd(progress, "refused", "key_revoked");
    return makeTextResponse(http::status::unauthorized, "the key is not valid any more\n");
}

void request_relay::setAccountHeaders(const request_identity &identity,
                                      relay_request &request) const
{
    if (!identity.key && m_routes->accounts().empty())
        return;
    request.erase(m_options.headers.authorization);
    request.erase(m_options.headers.accountName);
    if (identity.account)
        request.set(m_options.headers.accountName, identity.account->name.text());
}

} // namespace kingcuptiller
