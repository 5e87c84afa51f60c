#include "fleet_simulation.h"

#include <algorithm>
#include <map>

namespace kingcuptiller::samples {

namespace {

// Older messages are lost, so that those in the network do not grow ever staler.
constexpr std::size_t networkSize = 10;

template <typename Item>
void putInto(std::vector<Item> &network, Item item)
{
    network.push_back(std::move(item));
    if (network.size() > networkSize)
        network.erase(network.begin());
}

template <typename Item>
Item takeFrom(std::vector<Item> &items, std::size_t which, bool keep)
{
    Item item = items[which];
    if (!keep)
        items.erase(items.begin() + static_cast<std::ptrdiff_t>(which));
    return item;
}

} // namespace

fleet_simulation::fleet_simulation(std::uint64_t seed)
    : m_engine(seed)
    , m_upstreams{makeUpstream("u1", 3, "north"), makeUpstream("u2", 2, "south"),
                  makeUpstream("u3", 4, "south")}
{
    m_leader.startLeading(m_state, m_now);
    for (const auto *host : {"e1", "e2", "e3"})
        m_entries.push_back(
            {makeEntry(host, std::string("i") + host, draw(2) == 0 ? "north" : "south"),
             {},
             {},
             {},
             {},
             {}});
}

std::size_t fleet_simulation::draw(std::size_t below)
{
    return static_cast<std::size_t>(m_engine() % below);
}

lease_moment fleet_simulation::moment() const
{
    return {m_now, start + m_now.time_since_epoch()};
}

void fleet_simulation::step()
{
    switch (draw(40)) {
    case 0:
    case 1:
    case 2:
    case 3:
        return sendSync();
    case 4:
    case 5:
    case 6:
    case 7:
        return deliverSync();
    case 8:
    case 9:
    case 10:
    case 11:
        return deliverResponse();
    case 12:
    case 13:
    case 14:
    case 15:
        return startRequest();
    case 16:
    case 17:
        return finishRequest();
    case 18:
    case 19:
    case 20:
    case 21:
        return collect();
    case 22:
    case 23:
    case 24:
        return commit();
    case 25:
    case 26:
    case 27:
    case 28:
    case 29:
    case 30:
        return startRequest();
    case 31:
        return draw(6) == 0 ? restartEntry() : sendSync();
    case 32:
        return draw(6) == 0 ? changeLeader() : sendSync();
    case 33:
        return changeConfiguration();
    default:
        return advance();
    }
}

void fleet_simulation::sendSync()
{
    const auto &entry = anyEntry();
    entry_sync_request request;
    request.entry = entry.identity;
    request.appliedRevision = entry.revision;
    request.appliedAssignment = entry.applied;
    std::map<upstream_id, std::uint32_t> usage;
    for (const auto &each : entry.running)
        ++usage[each.upstream];
    for (const auto &[id, number] : usage)
        request.usage.push_back({id, incarnation_id("u1"), number});
    request.demand = {{class_name("postings"), static_cast<double>(draw(8)), 1.0}};
    for (const auto &each : m_upstreams) {
        if (draw(4) != 0)
            request.announcements.push_back(each);
    }
    if (draw(60) == 0)
        request.withdrawals = {m_upstreams[draw(m_upstreams.size())].id};
    putInto(m_syncs, {request, m_now});
}

void fleet_simulation::deliverSync()
{
    if (m_syncs.empty())
        return;
    const auto fate = draw(5);
    const auto sync = takeFrom(m_syncs, draw(m_syncs.size()), fate == 0);
    if (fate == 1)
        return;
    putInto(m_responses,
            {sync.request.entry.incarnation, m_leader.sync(sync.request, m_state, moment()),
             sync.sent});
}

void fleet_simulation::deliverResponse()
{
    if (m_responses.empty())
        return;
    const auto fate = draw(5);
    const auto sent = takeFrom(m_responses, draw(m_responses.size()), fate == 0);
    const auto receiver =
        std::find_if(m_entries.begin(), m_entries.end(), [&sent](const auto &each) {
            return each.identity.incarnation == sent.receiver;
        });
    if (fate == 1 || receiver == m_entries.end())
        return;
    const auto &response = sent.response;
    receiver->revision = std::max(receiver->revision, response.revision);
    if (response.newAssignments && response.assignment > receiver->applied) {
        receiver->applied = response.assignment;
        receiver->assigned = *response.newAssignments;
    }
    if (response.lease > milliseconds{0})
        receiver->leaseEnd = std::max(receiver->leaseEnd, sent.sent + response.lease);
}

void fleet_simulation::startRequest()
{
    auto &entry = anyEntry();
    if (entry.leaseEnd <= m_now || entry.assigned.empty())
        return;
    const auto &upstream = entry.assigned[draw(entry.assigned.size())];
    const auto used =
        std::count_if(entry.running.begin(), entry.running.end(),
                      [&upstream](const auto &each) { return each.upstream == upstream.id; });
    if (used >= static_cast<std::ptrdiff_t>(upstream.limit))
        return;
    entry.running.push_back({upstream.id, m_now + milliseconds{5000}});
    ++m_started;
}

void fleet_simulation::finishRequest()
{
    auto &entry = anyEntry();
    if (!entry.running.empty())
        takeFrom(entry.running, draw(entry.running.size()), false);
}

void fleet_simulation::collect()
{
    if (m_proposal)
        return;
    fleet_update update = m_leader.collect(m_state, moment());
    if (draw(2) == 0)
        update.limits = m_leader.planLimits(m_state, moment());
    if (!update.empty())
        m_proposal = update;
}

void fleet_simulation::commit()
{
    if (!m_proposal)
        return;
    const command value{moment().wall, std::move(*m_proposal)};
    m_proposal.reset();
    applyEncoded(m_state, value);
    if (draw(4) == 0)
        m_state = control_state::fromSnapshot(m_state.snapshot());
}

void fleet_simulation::restartEntry()
{
    auto &entry = anyEntry();
    m_orphans.insert(m_orphans.end(), entry.running.begin(), entry.running.end());
    auto identity = entry.identity;
    identity.incarnation = incarnation_id("r" + std::to_string(++m_restarts));
    entry = {identity, {}, {}, {}, {}, {}};
}

void fleet_simulation::changeLeader()
{
    // What the former leader proposed is committed before the new one starts, or never.
    if (draw(2) == 0)
        commit();
    m_proposal.reset();
    m_leader = lease_table();
    m_leader.startLeading(m_state, m_now);
}

void fleet_simulation::changeConfiguration()
{
    const auto revision = m_state.currentConfiguration().revision;
    if (m_leader.isInForce(revision, m_now))
        m_accepted = std::max(m_accepted, revision);
    auto changed = makeClass("postings");
    changed.target.worth = static_cast<std::uint32_t>(1 + draw(1000));
    const command value{moment().wall,
                        change_command{makeChange("c" + std::to_string(revision.number()),
                                                  revision.number(), {changed}),
                                       result_code::ok, ""}};
    applyEncoded(m_state, value);
}

void fleet_simulation::advance()
{
    m_now += milliseconds{draw(40) == 0 ? draw(6000) : draw(150)};
    const auto ended = [this](const auto &each) { return each.deadline <= m_now; };
    for (auto &entry : m_entries)
        std::erase_if(entry.running, ended);
    std::erase_if(m_orphans, ended);
}

std::size_t fleet_simulation::inFlightAt(const upstream_id &id) const
{
    const auto here = [&id](const auto &each) { return each.upstream == id; };
    auto total = std::count_if(m_orphans.begin(), m_orphans.end(), here);
    for (const auto &entry : m_entries)
        total += std::count_if(entry.running.begin(), entry.running.end(), here);
    return static_cast<std::size_t>(total);
}

std::optional<std::string> fleet_simulation::problem() const
{
    for (const auto &upstream : m_upstreams) {
        if (inFlightAt(upstream.id) > upstream.slots)
            return "more requests in flight than slots at " + upstream.id.text();
    }
    for (const auto &[id, record] : m_state.fleet().upstreams()) {
        if (record.counted() > record.announcement.slots)
            return "more slots counted than there are at " + id.text();
    }
    for (const auto &entry : m_entries) {
        if (entry.leaseEnd > m_now && entry.revision < m_accepted)
            return entry.identity.host.text() + " serves with revision "
                + std::to_string(entry.revision.number()) + " after "
                + std::to_string(m_accepted.number()) + " was accepted";
    }
    return std::nullopt;
}

} // namespace kingcuptiller::samples
