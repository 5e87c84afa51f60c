#pragma once

#include "kingcuptiller/values/identifiers.h"

#include <compare>
#include <ostream>

namespace kingcuptiller {

// Who votes and acknowledges in the replicated log: a control host together with its data folder. A
// host whose data folder was lost comes back under another incarnation, so that no promise of the
// lost folder is attributed to the new one.
struct replica_identity
{
    host_id host;
    incarnation_id incarnation;

    auto operator<=>(const replica_identity &) const = default;
};

inline std::ostream &operator<<(std::ostream &stream, const replica_identity &identity)
{
    return stream << identity.host << '#' << identity.incarnation;
}

} // namespace kingcuptiller
