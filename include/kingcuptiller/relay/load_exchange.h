#pragma once

#include "kingcuptiller/fleet/fleet_state.h"
#include "kingcuptiller/relay/upstream_load_report.h"
#include "kingcuptiller/values/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Entries of one availability zone tell each other which loads upstreams have reported. With many
// entries, each of them meets an upstream rarely, and would choose by reports that are seconds old.

namespace kingcuptiller {

// Names one incarnation of an upstream in few bytes: a hash of its id and start time.
enum class upstream_fingerprint : std::uint64_t {};

[[nodiscard]] upstream_fingerprint fingerprintOf(const upstream_incarnation &incarnation);

// A load report that another entry has received.
struct shared_load_report
{
    upstream_fingerprint upstream{};
    upstream_load_report load;
    // Time since the entry received the report, when it sent the message.
    milliseconds age{0};

    auto operator<=>(const shared_load_report &) const = default;
};

// Binary encoding for one datagram. `decodeLoadReports` returns nothing for anything else than a
// complete message of this version; datagrams may come from any sender on the network.
[[nodiscard]] std::string encodeLoadReports(const std::vector<shared_load_report> &reports);
[[nodiscard]] std::optional<std::vector<shared_load_report>>
decodeLoadReports(std::string_view message);

// The reports that one entry has received and not yet shared. Of several reports of one upstream,
// only the newest is shared. Not thread-safe.
class load_report_queue
{
public:
    void add(const upstream_incarnation &upstream, const upstream_load_report &load, instant now);
    // Returns the reports since the last call, the newest first, as many as fit into one message.
    [[nodiscard]] std::vector<shared_load_report> take(instant now);

private:
    struct received_report
    {
        upstream_load_report load;
        instant receivedAt;
    };

    std::map<upstream_fingerprint, received_report> m_reports;
};

} // namespace kingcuptiller
