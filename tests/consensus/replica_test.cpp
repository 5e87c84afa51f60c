#include "tests/consensus/fake_fleet.h"

#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace kingcuptiller;
using kingcuptiller::testing::fake_disk;
using kingcuptiller::testing::fake_fleet;

namespace {

const replica_identity self{host_id("control-0"), incarnation_id("i1")};
const replica_identity second{host_id("control-1"), incarnation_id("i2")};
const replica_identity third{host_id("control-2"), incarnation_id("i3")};
const replica_identity newThird{host_id("control-2"), incarnation_id("i4")};

// A single replica whose log holds a membership of three and a command of term 2. The tests inject
// the messages of its peers.
class single_replica
{
public:
    single_replica()
        : store(files.hooks(), {self.host, false, [] { return self.incarnation.text(); }})
    {
        membership members;
        store.saveVote({epoch_number(2), std::nullopt});
        store.append({record_kind::membership, epoch_number(1), log_index(1),
                      encodeMembership(members.with(self).with(second).with(third))});
        store.append({record_kind::command, epoch_number(2), log_index(2), "command"});
        replica_settings settings;
        settings.hosts = {self.host, second.host, third.host};
        node = std::make_unique<replica>(settings, replica_hooks{{}, {}, [] { return 0; }}, store,
                                         now);
    }

    void receive(const replica_identity &from, std::uint64_t term, peer_message_body body)
    {
        node->receive({from, self, epoch_number(term), std::move(body)}, now);
    }

    void advance(milliseconds duration)
    {
        now += duration;
        node->tick(now);
    }

    void becomeLeader()
    {
        advance(milliseconds(1000));
        receive(second, 3, vote_response{true, true});
        receive(second, 3, vote_response{false, true});
        static_cast<void>(node->takeOutgoing());
    }

    void acknowledge(const replica_identity &from, std::uint64_t index)
    {
        receive(from, 3, append_response{true, log_index(index), now.time_since_epoch().count()});
    }

    // Whether the replica grants a vote in `term` (not a pre-vote) to a candidate whose log is as
    // up to date as its own.
    bool grantsVote(std::uint64_t term)
    {
        receive(second, term, vote_request{false, log_index(2), epoch_number(2)});
        const std::vector<peer_message> sent = node->takeOutgoing();
        return std::any_of(sent.begin(), sent.end(), [](const peer_message &message) {
            const auto *const answer = std::get_if<vote_response>(&message.body);
            return answer != nullptr && answer->granted;
        });
    }

    fake_disk files;
    instant now{microseconds(5'000'000)};
    replica_store store;
    std::unique_ptr<replica> node;
};

} // namespace

class replica_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_test);
    CPPUNIT_TEST(followerThatGetsOnlyHeartbeatsIsNotCurrent);
    CPPUNIT_TEST(refusesToVoteRightAfterStart);
    CPPUNIT_TEST(refusesToVoteRightAfterLeaderContact);
    CPPUNIT_TEST(votesAndAcknowledgementsOfAnotherIncarnationDoNotCount);
    CPPUNIT_TEST(entryOfPreviousTermIsNotCommittedByReplicationAlone);
    CPPUNIT_TEST(membershipChangesOneReplicaAtATime);
    CPPUNIT_TEST(pausedLeaderHasNoLeaseWhenItResumes);
    CPPUNIT_TEST(invalidProposalsAreRejectedWithErrorCode);
    CPPUNIT_TEST(batchOfProposalsNeedsOneSync);
    CPPUNIT_TEST(noFleetIsFormedWithoutAllFoundingHosts);
    CPPUNIT_TEST(secondDiskLossAfterRepairLosesNoCommittedEntry);
    CPPUNIT_TEST(isolatedLeaderIsReplacedAndBecomesFollower);
    CPPUNIT_TEST(logSizeAndRestartCostStayBounded);
    CPPUNIT_TEST(restoredOldDataFolderIsSuperseded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a follower that reports an outdated state as current. When its responses are
    // lost, its leader considers it unreachable and sends it heartbeats but no entries.
    void followerThatGetsOnlyHeartbeatsIsNotCurrent()
    {
        fake_fleet fleet(3, 11);
        fleet.setNetworkNoise(false);
        fleet.run(std::chrono::seconds(3));
        const std::size_t leader = fleet.leader().value();
        const std::size_t follower = (leader + 1) % 3;
        CPPUNIT_ASSERT_MESSAGE("the follower is current before its responses are lost",
                               fleet.isCurrent(follower));
        fleet.blockLink(follower, leader);
        fleet.run(std::chrono::seconds(2));
        fleet.propose(1);
        fleet.run(milliseconds(500));
        CPPUNIT_ASSERT_MESSAGE("the other replicas commit without the follower",
                               fleet.status(follower).committed < fleet.status(leader).committed);
        CPPUNIT_ASSERT_MESSAGE("a follower that lacks a committed entry is not current",
                               !fleet.isCurrent(follower));
        fleet.unblockAllLinks();
        fleet.run(std::chrono::seconds(1));
        CPPUNIT_ASSERT_MESSAGE("the follower is current after the link is restored",
                               fleet.isCurrent(follower));
    }

    // Guards against two leaders: a replica that acknowledged a heartbeat and then restarts must
    // not vote for another candidate while the lease of the first leader is still valid.
    void refusesToVoteRightAfterStart()
    {
        single_replica fixture;
        fixture.advance(milliseconds(10));
        CPPUNIT_ASSERT(!fixture.grantsVote(3));
        CPPUNIT_ASSERT_EQUAL(epoch_number(2), fixture.node->status().term);
        fixture.now += milliseconds(491);
        CPPUNIT_ASSERT(fixture.grantsVote(3));
    }

    // Guards against two leaders with valid leases, and against a replica that raises the term when
    // it returns from a network partition.
    void refusesToVoteRightAfterLeaderContact()
    {
        single_replica fixture;
        fixture.now += milliseconds(1000);
        fixture.receive(third, 2, append_request{log_index(2), epoch_number(2), {}, {}, 0});
        static_cast<void>(fixture.node->takeOutgoing());
        fixture.now += milliseconds(499);
        CPPUNIT_ASSERT(!fixture.grantsVote(3));
        CPPUNIT_ASSERT_EQUAL(epoch_number(2), fixture.node->status().term);
        fixture.now += milliseconds(2);
        CPPUNIT_ASSERT(fixture.grantsVote(3));
    }

    // Guards against mistaking a replica that restarted with an empty disk for its previous
    // incarnation: the leader must not count its votes and acknowledgements.
    void votesAndAcknowledgementsOfAnotherIncarnationDoNotCount()
    {
        single_replica fixture;
        fixture.advance(milliseconds(1000));
        fixture.receive(newThird, 3, vote_response{true, true});
        fixture.receive(newThird, 3, vote_response{false, true});
        CPPUNIT_ASSERT(fixture.node->status().role == replica_role::candidate);
        fixture.becomeLeader();
        CPPUNIT_ASSERT(fixture.node->status().role == replica_role::leader);
        fixture.acknowledge(newThird, 3);
        CPPUNIT_ASSERT_EQUAL(log_index(0), fixture.node->status().committed);
        CPPUNIT_ASSERT(!fixture.node->hasLease(fixture.now));
        fixture.acknowledge(third, 3);
        CPPUNIT_ASSERT_EQUAL(log_index(3), fixture.node->status().committed);
    }

    // Guards against committing an entry of a previous term that a new leader, whose last log entry
    // has a higher term, may still replace (section 5.4.2 of the Raft paper).
    void entryOfPreviousTermIsNotCommittedByReplicationAlone()
    {
        single_replica fixture;
        fixture.becomeLeader();
        fixture.acknowledge(second, 2);
        CPPUNIT_ASSERT(fixture.node->takeCommitted().empty());
        CPPUNIT_ASSERT(!fixture.node->hasLease(fixture.now));
        fixture.acknowledge(second, 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.node->takeCommitted().size());
        CPPUNIT_ASSERT(fixture.node->hasLease(fixture.now));
    }

    // Guards against two majorities without a common replica: a membership change must be committed
    // before the next one starts, and the first one requires that an entry of the leader's own term
    // is committed.
    void membershipChangesOneReplicaAtATime()
    {
        single_replica fixture;
        fixture.becomeLeader();
        fixture.receive(newThird, 0, join_request{false, {}});
        const auto acknowledgeFor = [&](milliseconds duration, std::uint64_t index) {
            for (milliseconds passed(0); passed < duration; passed += milliseconds(100)) {
                fixture.acknowledge(second, index);
                fixture.acknowledge(newThird, 2);
                fixture.acknowledge(newThird, 3);
                fixture.advance(milliseconds(100));
                static_cast<void>(fixture.node->takeOutgoing());
            }
        };
        acknowledgeFor(milliseconds(3000), 2);
        CPPUNIT_ASSERT_EQUAL(log_index(3), fixture.store.lastIndex());
        acknowledgeFor(milliseconds(3000), 3);
        CPPUNIT_ASSERT_EQUAL(log_index(4), fixture.store.lastIndex());
        CPPUNIT_ASSERT(fixture.node->status().members == membership().with(self).with(second));
        acknowledgeFor(milliseconds(3000), 4);
        CPPUNIT_ASSERT_EQUAL(log_index(5), fixture.store.lastIndex());
        CPPUNIT_ASSERT(fixture.node->status().members
                       == membership().with(self).with(second).with(newThird));
    }

    // Guards against a leader whose process was paused and that still trusts its expired lease when
    // it resumes.
    void pausedLeaderHasNoLeaseWhenItResumes()
    {
        single_replica fixture;
        fixture.becomeLeader();
        fixture.acknowledge(second, 3);
        static_cast<void>(fixture.node->takeCommitted());
        CPPUNIT_ASSERT(fixture.node->hasLease(fixture.now + milliseconds(449)));
        CPPUNIT_ASSERT(!fixture.node->hasLease(fixture.now + milliseconds(450)));
        fixture.advance(milliseconds(10000));
        CPPUNIT_ASSERT(fixture.node->status().role == replica_role::follower);
    }

    // Guards against accepting a command that JSON messages cannot carry to the followers
    // unchanged.
    void invalidProposalsAreRejectedWithErrorCode()
    {
        struct row
        {
            std::string command;
            result_code code;
        };
        single_replica fixture;
        CPPUNIT_ASSERT(!fixture.node->propose("{}", fixture.now));
        fixture.becomeLeader();
        for (const row &row :
             {row{"\xc3\x28", result_code::message_malformed},
              row{"\xed\xa0\x80", result_code::message_malformed},
              row{std::string(maximumAppendJsonBytes, 'x'), result_code::message_too_large},
              row{std::string(maximumAppendJsonBytes / 2, '"'), result_code::message_too_large}}) {
            try {
                static_cast<void>(fixture.node->propose(row.command, fixture.now));
                CPPUNIT_FAIL("accepted an invalid command; size in bytes: "
                             + std::to_string(row.command.size()));
            } catch (const error &refusal) {
                CPPUNIT_ASSERT(row.code == refusal.code());
            }
        }
        std::size_t accepted = 0;
        while (fixture.node->propose(std::string(500'000, 'x'), fixture.now))
            ++accepted;
        CPPUNIT_ASSERT_EQUAL(std::size_t{68}, accepted);
    }

    // Guards against one disk sync per command, which would limit the number of commits per second.
    void batchOfProposalsNeedsOneSync()
    {
        fake_fleet fleet(3, 1);
        fleet.waitForRecovery();
        const std::size_t before = fleet.files(*fleet.leader()).syncs;
        fleet.propose(100);
        fleet.waitForRecovery();
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, fleet.committedCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.files(*fleet.leader()).syncs - before);
    }

    // Guards against the formation of a second fleet while one already exists.
    void noFleetIsFormedWithoutAllFoundingHosts()
    {
        fake_fleet fleet(3, 1);
        fleet.clearDisk(2);
        fleet.run(milliseconds(5000));
        CPPUNIT_ASSERT(!fleet.leader());
        fleet.start(2, false);
        fleet.run(milliseconds(5000));
        CPPUNIT_ASSERT(!fleet.leader());
        fleet.clearDisk(2);
        fleet.start(2, true);
        fleet.waitForRecovery();
    }

    // Guards against reporting a repair as complete before the new replica holds all committed
    // entries: losing another disk right after the report would then lose committed entries.
    void secondDiskLossAfterRepairLosesNoCommittedEntry()
    {
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            fake_fleet fleet(3, seed);
            fleet.waitForRecovery();
            fleet.propose(300);
            fleet.waitForRecovery();
            const std::size_t lost = (*fleet.leader() + 1) % 3;
            fleet.clearDisk(lost);
            fleet.start(lost);
            for (int turn = 0; turn < 1000 && fleet.eventCount("replica_repaired") == 0; ++turn) {
                fleet.propose(1);
                fleet.run(milliseconds(10));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.eventCount("replica_repaired"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.eventCount("replica_learning"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.eventCount("replica_removed"));
            fleet.clearDisk((lost + 1 + seed % 2) % 3);
            fleet.waitForRecovery();
            CPPUNIT_ASSERT(fleet.committedCount() > 300);
        }
    }

    // Guards against a leader that still acts as leader after the network drops all its messages.
    void isolatedLeaderIsReplacedAndBecomesFollower()
    {
        fake_fleet fleet(3, 1);
        fleet.waitForRecovery();
        const std::size_t old = *fleet.leader();
        fleet.propose(1);
        fleet.isolate(old);
        fleet.run(milliseconds(2000));
        CPPUNIT_ASSERT(fleet.leader() && *fleet.leader() != old);
        CPPUNIT_ASSERT(fleet.status(old).role != replica_role::leader);
        fleet.propose(2000, 200);
        fleet.run(milliseconds(60000));
        const epoch_number term = fleet.status(*fleet.leader()).term;
        fleet.waitForRecovery();
        // Pre-votes prevent the returning host from raising the term.
        CPPUNIT_ASSERT_EQUAL(term, fleet.status(*fleet.leader()).term);
    }

    // Guards against a log that grows with the age of the fleet, and with it the start-up time.
    void logSizeAndRestartCostStayBounded()
    {
        fake_fleet fleet(3, 1);
        fleet.waitForRecovery();
        for (int round = 0; round < 50; ++round) {
            fleet.propose(200);
            fleet.run(milliseconds(100));
        }
        fleet.waitForRecovery();
        CPPUNIT_ASSERT_EQUAL(std::size_t{10000}, fleet.committedCount());
        for (std::size_t host = 0; host < fleet.size(); ++host) {
            const std::size_t snapshot = fleet.files(host).content("snapshot").size();
            fleet.crashHost(host);
            fleet.start(host);
            const replica_store &store = fleet.store(host);
            const std::size_t kept = store.lastIndex().number() - store.baseIndex().number();
            CPPUNIT_ASSERT(store.bytesSinceSnapshot() < 2 * snapshot);
            CPPUNIT_ASSERT_MESSAGE("the log still holds " + std::to_string(kept)
                                       + " entries after compaction",
                                   kept < 8000);
            fleet.waitForRecovery();
        }
    }

    // Guards against a replica that restarts from an old copy of its data folder and votes although
    // a new incarnation of its host has replaced it.
    void restoredOldDataFolderIsSuperseded()
    {
        fake_fleet fleet(3, 1);
        fleet.waitForRecovery();
        const std::size_t host = (*fleet.leader() + 1) % 3;
        const fake_disk copy = fleet.files(host).clone();
        fleet.clearDisk(host);
        fleet.waitForRecovery();
        fleet.replaceDisk(host, copy);
        fleet.run(milliseconds(5000));
        CPPUNIT_ASSERT(fleet.status(host).superseded);
        fleet.store(host).abandon();
        fleet.crashHost(host);
        fleet.waitForRecovery();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_test);
