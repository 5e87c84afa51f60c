#pragma once

#include "kingcuptiller/control/configuration_store.h"
#include "kingcuptiller/control/fleet_registry.h"

#include <json/value.h>

namespace kingcuptiller::internal {

// The part of a snapshot that is one JSON document: all but the request ledger.
Json::Value stateDocument(wall_time time, const configuration_store &configurations,
                          const fleet_registry &fleet);

// Throws `error` with `message_malformed`.
void readStateDocument(const std::string &text, wall_time &time,
                       configuration_store &configurations, fleet_registry &fleet);

} // namespace kingcuptiller::internal
