#include "kingcuptiller/consensus/replica.h"
#include "tests/storage/fake_disk.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace kingcuptiller;
using namespace kingcuptiller::testing;

namespace {

// A fleet of control hosts named by letters. Only "a", "b" and "c" are listed in the settings, and
// they form the fleet; other hosts may only join it.
class admission_fleet
{
public:
    explicit admission_fleet(std::size_t maximumVoters)
        : m_maximumVoters(maximumVoters)
    {
    }

    void start(const std::string &host, bool founding)
    {
        member &each = m_members[host];
        each.store = std::make_unique<replica_store>(
            each.files.hooks(), store_options{host_id(host), founding, [this, host] {
                                                  return host + std::to_string(m_random());
                                              }});
        replica_settings settings;
        settings.hosts = {host_id("a"), host_id("b"), host_id("c")};
        settings.maximumVoters = m_maximumVoters;
        each.node = std::make_unique<replica>(settings,
                                              replica_hooks{[] { return std::string(); },
                                                            [](const std::string &) {},
                                                            [this] { return m_random(); }},
                                              *each.store, m_now);
    }

    void stop(const std::string &host)
    {
        m_members[host].node.reset();
        m_members[host].store.reset();
    }

    void run(milliseconds duration)
    {
        for (const instant end = m_now + duration; m_now < end; m_now += milliseconds(10))
            step();
    }

    [[nodiscard]] replica *leader()
    {
        for (auto &[host, each] : m_members) {
            if (each.node && each.node->hasLease(m_now))
                return each.node.get();
        }
        return nullptr;
    }

    [[nodiscard]] std::set<std::string> voters()
    {
        std::set<std::string> result;
        if (const replica *const leaderReplica = leader()) {
            for (const replica_identity &voter : leaderReplica->status().members.voters)
                result.insert(voter.host.text());
        }
        return result;
    }

    [[nodiscard]] replica &at(const std::string &host) { return *m_members.at(host).node; }
    [[nodiscard]] instant now() const { return m_now; }

private:
    struct member
    {
        fake_disk files;
        std::unique_ptr<replica_store> store;
        std::unique_ptr<replica> node;
    };

    void step()
    {
        std::vector<peer_message> messages;
        for (auto &[host, each] : m_members) {
            if (!each.node)
                continue;
            each.node->tick(m_now);
            const auto sent = each.node->takeOutgoing();
            messages.insert(messages.end(), sent.begin(), sent.end());
            static_cast<void>(each.node->takeCommitted());
        }
        for (const peer_message &message : messages) {
            const auto to = m_members.find(message.to.host.text());
            if (to != m_members.end() && to->second.node)
                to->second.node->receive(message, m_now);
        }
    }

    std::size_t m_maximumVoters;
    std::mt19937_64 m_random{42};
    instant m_now{std::chrono::seconds(10)};
    std::map<std::string, member> m_members;
};

using host_names = std::set<std::string>;

} // namespace

class admission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(unlistedHostsBecomeVoters);
    CPPUNIT_TEST(newHostReplacesSilentVoter);
    CPPUNIT_TEST(newHostIsNotAdmittedWhileAllVotersRespond);
    CPPUNIT_TEST(unlistedHostsAreIgnoredWithoutMaximumVoters);
    CPPUNIT_TEST(restartedReplicaIsNotCurrentBeforeItsLeaderCommits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a fleet that keeps only its three founding voters. With five voters, it
    // tolerates the loss of two, for example of all voters in one region.
    void unlistedHostsBecomeVoters()
    {
        admission_fleet fleet(5);
        startFounders(fleet);
        fleet.start("d", false);
        fleet.start("e", false);
        fleet.run(std::chrono::seconds(5));
        CPPUNIT_ASSERT((fleet.voters() == host_names{"a", "b", "c", "d", "e"}));
    }

    // Guards against a fleet that loses a voter each time a host is replaced by one with a new
    // address: the silent host must be removed from the membership and the new host added.
    void newHostReplacesSilentVoter()
    {
        admission_fleet fleet(3);
        startFounders(fleet);
        fleet.stop("b");
        fleet.start("d", false);
        fleet.run(std::chrono::seconds(8));
        CPPUNIT_ASSERT((fleet.voters() == host_names{"a", "c", "d"}));
        fleet.start("b", false);
        fleet.run(std::chrono::seconds(5));
        CPPUNIT_ASSERT((fleet.voters() == host_names{"a", "c", "d"}));
    }

    void newHostIsNotAdmittedWhileAllVotersRespond()
    {
        admission_fleet fleet(3);
        startFounders(fleet);
        fleet.start("d", false);
        fleet.run(std::chrono::seconds(5));
        CPPUNIT_ASSERT((fleet.voters() == host_names{"a", "b", "c"}));
    }

    void unlistedHostsAreIgnoredWithoutMaximumVoters()
    {
        admission_fleet fleet(0);
        startFounders(fleet);
        fleet.start("d", false);
        fleet.run(std::chrono::seconds(5));
        CPPUNIT_ASSERT((fleet.voters() == host_names{"a", "b", "c"}));
    }

    // Guards against a restarted replica that reports an outdated state as current: after a restart
    // it hears from a leader before it learns which log entries are committed.
    void restartedReplicaIsNotCurrentBeforeItsLeaderCommits()
    {
        admission_fleet fleet(3);
        startFounders(fleet);
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(fleet.leader()->propose("command", fleet.now()));
            fleet.run(milliseconds(100));
        }
        const log_index committed = fleet.leader()->status().committed;
        for (const char *host : {"a", "b", "c"})
            fleet.stop(host);
        for (const char *host : {"a", "b", "c"})
            fleet.start(host, false);
        bool anyCurrent = false;
        for (int i = 0; i < 400; ++i) {
            fleet.run(milliseconds(10));
            for (const char *host : {"a", "b", "c"}) {
                if (!fleet.at(host).isCurrent(fleet.now()))
                    continue;
                anyCurrent = true;
                CPPUNIT_ASSERT(fleet.at(host).status().committed >= committed);
            }
        }
        CPPUNIT_ASSERT(anyCurrent);
    }

private:
    static void startFounders(admission_fleet &fleet)
    {
        for (const char *host : {"a", "b", "c"})
            fleet.start(host, true);
        fleet.run(std::chrono::seconds(4));
        CPPUNIT_ASSERT((fleet.voters() == host_names{"a", "b", "c"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);
