#include "kingcuptiller/consensus/membership.h"

#include "peer_json.h"

#include <algorithm>

namespace kingcuptiller {

bool membership::contains(const replica_identity &replica) const
{
    return std::find(voters.begin(), voters.end(), replica) != voters.end();
}

const replica_identity *membership::findVoterOnHost(const host_id &host) const
{
    const auto found = std::find_if(voters.begin(), voters.end(),
                                    [&](const auto &voter) { return voter.host == host; });
    return found == voters.end() ? nullptr : &*found;
}

membership membership::with(const replica_identity &replica) const
{
    membership result = without(replica);
    result.voters.insert(std::upper_bound(result.voters.begin(), result.voters.end(), replica),
                         replica);
    return result;
}

membership membership::without(const replica_identity &replica) const
{
    membership result = *this;
    std::erase(result.voters, replica);
    return result;
}

std::string encodeMembership(const membership &value)
{
    Json::Value voters(Json::arrayValue);
    for (const replica_identity &voter : value.voters)
        voters.append(internal::toJson(voter));
    Json::Value object;
    object["voters"] = voters;
    return internal::writeCompactJson(object);
}

membership decodeMembership(std::string_view text)
{
    const Json::Value object = internal::parseJsonObject(text);
    membership result;
    for (const Json::Value &voter : internal::arrayField(object, "voters"))
        result.voters.push_back(internal::replicaIdentityFromJson(voter));
    if (!std::is_sorted(result.voters.begin(), result.voters.end()))
        internal::reportMalformed("the voters of the membership are not sorted by host");
    return result;
}

} // namespace kingcuptiller
