#pragma once

#include "kingcuptiller/control/control_loop.h"
#include "kingcuptiller/control/peer_link.h"
#include "kingcuptiller/control/status_pages.h"
#include "kingcuptiller/settings/control_settings.h"
#include "kingcuptiller/supervision/supervisor.h"
#include "kingcuptiller/transport/json_rpc_server.h"

#include <json/value.h>

#include <map>
#include <memory>

namespace kingcuptiller {

// A whole control host: the control thread, the links to the other control hosts and the JSON-RPC
// and HTTP servers, under one supervisor.
//
//     control_service service(settings, options.init);
//     return service.run();
//
// JSON-RPC methods: entry_sync, claim_requests {"claims"} -> {"answers"}, settle_requests
// {"settlements"} -> {"settled"}, submit_change, show_state and peer_message {"messages"} -> {}.
class control_service
{
public:
    // Opens the data folder; throws `error` like `replica_store`. `founding` is --init.
    control_service(const control_settings &settings, bool founding);

    // Serves until SIGTERM or SIGINT; returns the exit status.
    int run();

    // One JSON-RPC call. Throws `error` or `not_leader_error`.
    Json::Value handle(const std::string &method, const Json::Value &params);

private:
    Json::Value syncEntry(const Json::Value &params);
    Json::Value claimRequests(const Json::Value &params);
    Json::Value settleRequests(const Json::Value &params);
    Json::Value submitChange(const Json::Value &params);
    Json::Value showState();
    Json::Value takePeerMessages(const Json::Value &params);
    [[nodiscard]] endpoint_address leaderAddress() const;
    void requireLease() const;
    void addComponents(supervisor &root);

    control_settings m_settings;
    counter_registry m_counters;
    std::map<host_id, std::unique_ptr<peer_link>> m_links;
    control_loop m_loop;
    status_pages m_pages;
    std::unique_ptr<json_rpc_server> m_server;
    std::unique_ptr<http_server> m_httpServer;
};

} // namespace kingcuptiller
