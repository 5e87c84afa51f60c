#include "kingcuptiller/fleet/fleet_control.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <vector>

using namespace kingcuptiller;

namespace {

// A leading `fleet_control` whose log commits commands only when the test calls `commitAll`.
struct leader_harness
{
    leader_harness()
        : control({},
                  {[this](const std::string &text) -> std::optional<fleet_log_position> {
                       if (!acceptsProposals)
                           return std::nullopt;
                       log.push_back(text);
                       return fleet_log_position{log_index(log.size()), epoch_number(1)};
                   },
                   [this] { return hasLease; }})
    {
        control.startLeading(now);
    }

    void commitAll()
    {
        for (; committedCount < log.size(); ++committedCount)
            control.apply({log_index(committedCount + 1), epoch_number(1)}, log[committedCount],
                          now);
    }

    command_result_callback storeResult()
    {
        lastResult.reset();
        return [this](result_code code) { lastResult = code; };
    }

    void announce(const upstream_incarnation &incarnation)
    {
        control.announce(incarnation, now, storeResult());
    }

    instant now{std::chrono::seconds(100)};
    bool hasLease = true;
    // False while the log rejects commands, as an overloaded host does.
    bool acceptsProposals = true;
    std::vector<std::string> log;
    std::size_t committedCount = 0;
    std::optional<result_code> lastResult;
    fleet_control control;
};

upstream_incarnation makeIncarnation(const std::string &id, std::int64_t startTimeMs,
                                     std::uint64_t sequence)
{
    upstream_incarnation incarnation;
    incarnation.id = upstream_id(id);
    incarnation.startTimeMs = startTimeMs;
    incarnation.sequence = sequence;
    incarnation.address = endpoint_address("10.0.0.1:80");
    incarnation.service = service_name("lookups");
    incarnation.zone = zone_name("a");
    return incarnation;
}

fleet_entry makeEntry(entry_state state = entry_state::serving)
{
    return {endpoint_address("10.0.0.9:80"), region_name("r"), zone_name("a"), state};
}

} // namespace

class fleet_control_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_control_test);
    CPPUNIT_TEST(stateChangeIsReportedAfterCommit);
    CPPUNIT_TEST(unchangedHeartbeatProposesNoCommand);
    CPPUNIT_TEST(heartbeatClearsSilentFlag);
    CPPUNIT_TEST(heartbeatsAnsweredByOtherHostsKeepAnUpstreamAlive);
    CPPUNIT_TEST(repeatedHeartbeatDoesNotKeepAnUpstreamAlive);
    CPPUNIT_TEST(delayedHeartbeatFromReassignedAddressIsIgnored);
    CPPUNIT_TEST(claimOfAnAddressDoesNotHideItsUpstream);
    CPPUNIT_TEST(heartbeatThatContradictsTheStateIsNotAcknowledged);
    CPPUNIT_TEST(delayedWithdrawalDoesNotEndLaterIncarnation);
    CPPUNIT_TEST(renewedColdTimeIsReplicated);
    CPPUNIT_TEST(commandsAreRejectedWithoutLeaderLease);
    CPPUNIT_TEST(pendingCommandIsUnknownAfterLossOfLeadership);
    CPPUNIT_TEST(silentEntryIsAbsentAndLaterRemoved);
    CPPUNIT_TEST(entryIsKnownBeforeItServes);
    CPPUNIT_TEST(entriesPresentAtOtherHostsAreKept);
    CPPUNIT_TEST(entryReturningBeforeItsAbsenceIsCommittedServes);
    CPPUNIT_TEST(rejectedEntryRegistrationIsProposedAgain);
    CPPUNIT_TEST(rejectedTimeoutIsProposedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reporting that an upstream is draining before the command is committed: the
    // next leader would not know of it.
    void stateChangeIsReportedAfterCommit()
    {
        leader_harness leader;
        leader.announce(makeIncarnation("u", 1, 1));
        leader.commitAll();
        upstream_incarnation draining = makeIncarnation("u", 1, 2);
        draining.state = upstream_state::draining;
        leader.announce(draining);
        CPPUNIT_ASSERT(!leader.lastResult);
        leader.commitAll();
        CPPUNIT_ASSERT(leader.lastResult == result_code::ok);
        leader.control.withdraw(upstream_id("u"), 1, leader.now, leader.storeResult());
        CPPUNIT_ASSERT(!leader.lastResult);
        leader.commitAll();
        CPPUNIT_ASSERT(leader.lastResult == result_code::ok);
    }

    // Guards against a log that grows with each heartbeat.
    void unchangedHeartbeatProposesNoCommand()
    {
        leader_harness leader;
        leader.announce(makeIncarnation("u", 1, 1));
        leader.commitAll();
        for (std::uint64_t sequence = 2; sequence < 50; ++sequence) {
            leader.announce(makeIncarnation("u", 1, sequence));
            CPPUNIT_ASSERT(leader.lastResult == result_code::ok);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), leader.log.size());
    }

    // Guards against an upstream that counts as silent although other hosts get its heartbeats, and
    // against a host that answers a heartbeat which changes something.
    void heartbeatsAnsweredByOtherHostsKeepAnUpstreamAlive()
    {
        leader_harness leader;
        leader.announce(makeIncarnation("u", 100, 1));
        leader.commitAll();
        const upstream_id id("u");
        std::uint64_t sequence = 1;
        for (int i = 0; i < 40; ++i) {
            leader.now += milliseconds(1'000);
            const upstream_incarnation same = makeIncarnation("u", 100, ++sequence);
            CPPUNIT_ASSERT(leader.control.isUnchanged(same, leader.now));
            leader.control.recordUnchangedHeartbeats(
                {{id, 100, sequence}, {upstream_id("unknown"), 100, sequence}}, {}, leader.now);
            leader.control.tick(leader.now);
            leader.commitAll();
        }
        CPPUNIT_ASSERT(!leader.control.state().upstreams().at(id).silent);

        upstream_incarnation draining = makeIncarnation("u", 100, ++sequence);
        draining.state = upstream_state::draining;
        const auto isUnchanged = [&leader](const upstream_incarnation &incarnation) {
            return leader.control.isUnchanged(incarnation, leader.now);
        };
        CPPUNIT_ASSERT(!isUnchanged(draining));
        CPPUNIT_ASSERT(!isUnchanged(makeIncarnation("u", 200, 1)));
        CPPUNIT_ASSERT(!isUnchanged(makeIncarnation("u", 50, 99)));
        CPPUNIT_ASSERT(!isUnchanged(makeIncarnation("other", 100, 1)));

        leader.now += milliseconds(20'000);
        leader.control.tick(leader.now);
        leader.commitAll();
        CPPUNIT_ASSERT(leader.control.state().upstreams().at(id).silent);
        CPPUNIT_ASSERT(!isUnchanged(makeIncarnation("u", 100, ++sequence)));
    }

    // Guards against an upstream that seems alive because copies of its last heartbeats arrive,
    // directly or reported by other hosts.
    void repeatedHeartbeatDoesNotKeepAnUpstreamAlive()
    {
        leader_harness leader;
        leader.announce(makeIncarnation("u", 100, 1));
        leader.commitAll();
        for (int i = 0; i < 20; ++i) {
            leader.now += milliseconds(1'000);
            leader.announce(makeIncarnation("u", 100, 3));
            leader.control.recordUnchangedHeartbeats({{upstream_id("u"), 100, 2}}, {}, leader.now);
            leader.control.tick(leader.now);
            leader.commitAll();
        }
        CPPUNIT_ASSERT(leader.control.state().upstreams().at(upstream_id("u")).silent);
    }

    // Guards against an upstream that stays marked as silent after a network partition has ended.
    void heartbeatClearsSilentFlag()
    {
        leader_harness leader;
        leader.announce(makeIncarnation("u", 1, 1));
        leader.commitAll();
        leader.now += std::chrono::seconds(20);
        leader.control.tick(leader.now);
        leader.commitAll();
        CPPUNIT_ASSERT(leader.control.state().upstreams().at(upstream_id("u")).silent);
        leader.announce(makeIncarnation("u", 1, 2));
        leader.commitAll();
        CPPUNIT_ASSERT(!leader.control.state().upstreams().at(upstream_id("u")).silent);
    }

    // Guards against registering an upstream by a heartbeat that a network partition delayed until
    // a newer upstream with another id had taken over the address.
    void delayedHeartbeatFromReassignedAddressIsIgnored()
    {
        leader_harness leader;
        leader.announce(makeIncarnation("new", 200, 1));
        leader.commitAll();
        // A partition may hold up several heartbeats, which arrive together.
        for (std::uint64_t sequence = 9; sequence < 13; ++sequence) {
            leader.announce(makeIncarnation("old", 100, sequence));
            CPPUNIT_ASSERT(leader.lastResult == result_code::announcement_superseded);
            leader.commitAll();
            leader.now += milliseconds(50);
        }
        leader.now += milliseconds(3'000);
        leader.announce(makeIncarnation("old", 100, 9));
        leader.commitAll();
        CPPUNIT_ASSERT(!leader.control.state().upstreams().contains(upstream_id("old")));
    }

    // Guards against an upstream whose heartbeats are dropped, or never taken, because another
    // writer announces a later start at its address.
    void claimOfAnAddressDoesNotHideItsUpstream()
    {
        struct claim_case
        {
            std::string name;
            bool isRegisteredFirst;
        };
        const std::vector<claim_case> cases = {
            {"the upstream is registered before the claim", true},
            {"the claim comes first", false}};
        for (const claim_case &each : cases) {
            leader_harness leader;
            const upstream_id id("u");
            std::uint64_t sequence = 1;
            const auto beat = [&](upstream_state state) {
                leader.now += milliseconds(1'500);
                upstream_incarnation incarnation = makeIncarnation("u", 100, sequence++);
                incarnation.state = state;
                leader.announce(incarnation);
                leader.commitAll();
            };
            if (each.isRegisteredFirst)
                beat(upstream_state::serving);
            for (int i = 0; i < 3; ++i) {
                upstream_incarnation claim = makeIncarnation("elsewhere", 200, sequence);
                claim.service = service_name("unknown");
                leader.announce(claim);
                leader.commitAll();
                beat(upstream_state::serving);
            }
            CPPUNIT_ASSERT_MESSAGE(each.name, leader.control.state().upstreams().contains(id));
            beat(upstream_state::draining);
            CPPUNIT_ASSERT_MESSAGE(each.name, leader.lastResult == result_code::ok);
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   leader.control.state().upstreams().at(id).state
                                       == upstream_state::draining);
            leader.control.withdraw(id, 100, leader.now, leader.storeResult());
            leader.commitAll();
            CPPUNIT_ASSERT_MESSAGE(each.name, leader.lastResult == result_code::ok);
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   leader.control.state().upstreams().at(id).state
                                       == upstream_state::terminated);
        }
    }

    // Guards against acknowledging that an upstream drains while the state says that it serves.
    void heartbeatThatContradictsTheStateIsNotAcknowledged()
    {
        leader_harness leader;
        leader.announce(makeIncarnation("u", 200, 1));
        leader.commitAll();
        upstream_incarnation draining = makeIncarnation("u", 100, 9);
        draining.state = upstream_state::draining;
        leader.announce(draining);
        leader.commitAll();
        CPPUNIT_ASSERT(leader.lastResult == result_code::announcement_superseded);
        CPPUNIT_ASSERT(leader.control.state().upstreams().at(upstream_id("u")).state
                       == upstream_state::serving);
    }

    // Guards against a delayed message that an upstream ends, which ends the incarnation that was
    // started under the same id meanwhile.
    void delayedWithdrawalDoesNotEndLaterIncarnation()
    {
        struct withdrawal_case
        {
            std::string name;
            std::optional<std::int64_t> startTimeMs;
            result_code result;
        };
        const std::vector<withdrawal_case> cases = {
            {"the earlier incarnation", 100, result_code::revision_conflict},
            {"an incarnation that was not known", std::nullopt, result_code::revision_conflict},
            {"the present incarnation", 200, result_code::ok},
        };
        for (const withdrawal_case &each : cases) {
            leader_harness leader;
            const upstream_id id("u");
            leader.announce(makeIncarnation("u", 100, 7));
            leader.commitAll();
            leader.announce(makeIncarnation("u", 200, 1));
            leader.commitAll();
            leader.control.withdraw(id, each.startTimeMs, leader.now, leader.storeResult());
            leader.commitAll();
            CPPUNIT_ASSERT_MESSAGE(each.name, leader.lastResult == each.result);
            const bool hasEnded =
                leader.control.state().upstreams().at(id).state == upstream_state::terminated;
            CPPUNIT_ASSERT_MESSAGE(each.name, hasEnded == (each.result == result_code::ok));
        }
    }

    // Guards against overloading an upstream that becomes cold again before it was warm: its
    // remaining time is less than at its last report, but more than what is left of that.
    void renewedColdTimeIsReplicated()
    {
        struct cold_case
        {
            std::string name;
            milliseconds elapsed;
            milliseconds reported;
            bool isReplicated;
        };
        const std::vector<cold_case> cases = {
            {"the time runs down", milliseconds(1'500), milliseconds(1'500), false},
            {"a heartbeat with a longer way", milliseconds(1'500), milliseconds(1'700), false},
            {"cold again, less than reported first", milliseconds(3'000), milliseconds(2'000),
             true},
            {"cold again, before the first time is over", milliseconds(2'000), milliseconds(2'900),
             true},
            {"warm", milliseconds(3'000), milliseconds(0), true},
        };
        for (const cold_case &each : cases) {
            leader_harness leader;
            upstream_incarnation cold = makeIncarnation("u", 100, 1);
            cold.coldRemaining = milliseconds(3'000);
            leader.announce(cold);
            leader.commitAll();
            leader.now += each.elapsed;
            cold.sequence = 2;
            cold.coldRemaining = each.reported;
            CPPUNIT_ASSERT_MESSAGE(
                each.name, leader.control.isUnchanged(cold, leader.now) == !each.isReplicated);
            leader.announce(cold);
            leader.commitAll();
            const upstream_incarnation &stored =
                leader.control.state().upstreams().at(upstream_id("u"));
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   (stored.coldRemaining == each.reported) == each.isReplicated);
        }
    }

    // Guards against a partitioned leader that accepts commands after its lease has expired.
    void commandsAreRejectedWithoutLeaderLease()
    {
        leader_harness leader;
        leader.hasLease = false;
        leader.announce(makeIncarnation("u", 1, 1));
        CPPUNIT_ASSERT(leader.lastResult == result_code::not_leader);
        leader.control.submitCommand(evacuate_command{zone_name("a"), true}, leader.now,
                                     leader.storeResult());
        CPPUNIT_ASSERT(leader.lastResult == result_code::not_leader);
        CPPUNIT_ASSERT(leader.log.empty());
    }

    // Guards against reporting a definite result for a pending command when leadership is lost: the
    // next leader may or may not commit it.
    void pendingCommandIsUnknownAfterLossOfLeadership()
    {
        leader_harness leader;
        leader.control.submitCommand(evacuate_command{zone_name("a"), true}, leader.now,
                                     leader.storeResult());
        leader.control.stopLeading();
        CPPUNIT_ASSERT(leader.lastResult == result_code::change_outcome_unknown);
    }

    // Guards against sending clients to an entry that has stopped without reporting it, and against
    // others that take over its part of the rate of a cold upstream while it is started again.
    void silentEntryIsAbsentAndLaterRemoved()
    {
        leader_harness leader;
        leader.control.recordEntryHeartbeat(makeEntry(), leader.now);
        leader.commitAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), leader.control.state().entries().size());
        for (int second = 1; second < 100; ++second) {
            leader.now += std::chrono::seconds(1);
            leader.control.tick(leader.now);
            leader.commitAll();
            const auto &entries = leader.control.state().entries();
            const auto found = entries.find(makeEntry().address);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(second), second < 60,
                                         found != entries.end());
            if (found != entries.end())
                CPPUNIT_ASSERT_MESSAGE(std::to_string(second),
                                       (found->second.state == entry_state::serving)
                                           == (second < 3));
        }
        // Its state, its absence and its removal.
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), leader.log.size());
    }

    // Guards against entries that begin to serve at the same moment and each take themselves for
    // one of few: together they send a cold upstream several times the rate that it tolerates.
    void entryIsKnownBeforeItServes()
    {
        leader_harness leader;
        for (const entry_state state : {entry_state::joining, entry_state::serving}) {
            leader.control.recordEntryHeartbeat(makeEntry(state), leader.now);
            leader.commitAll();
            CPPUNIT_ASSERT(leader.control.state().entries().at(makeEntry().address).state == state);
        }
    }

    // Guards against removing an entry whose heartbeats other hosts have answered, and against
    // adding one that has left because such a report was delayed.
    void entriesPresentAtOtherHostsAreKept()
    {
        leader_harness leader;
        const fleet_entry entry = makeEntry();
        leader.control.recordEntryHeartbeat(entry, leader.now);
        leader.commitAll();
        for (int i = 0; i < 10; ++i) {
            leader.now += std::chrono::seconds(1);
            leader.control.recordUnchangedHeartbeats({}, {entry.address}, leader.now);
            leader.control.tick(leader.now);
            leader.commitAll();
        }
        CPPUNIT_ASSERT(leader.control.state().entries().at(entry.address) == entry);
        leader.control.recordEntryHeartbeat(makeEntry(entry_state::absent), leader.now);
        leader.control.recordUnchangedHeartbeats({}, {entry.address}, leader.now);
        leader.commitAll();
        CPPUNIT_ASSERT(leader.control.state().entries().at(entry.address).state
                       == entry_state::absent);
    }

    // Guards against ignoring the heartbeat of an entry whose absence is proposed but not yet
    // committed. The entry would then send heartbeats but stay absent in the state.
    void entryReturningBeforeItsAbsenceIsCommittedServes()
    {
        const fleet_entry entry = makeEntry();
        leader_harness leader;
        leader.control.recordEntryHeartbeat(entry, leader.now);
        leader.commitAll();
        leader.control.recordEntryHeartbeat(makeEntry(entry_state::absent), leader.now);
        leader.control.recordEntryHeartbeat(entry, leader.now);
        leader.commitAll();
        CPPUNIT_ASSERT(leader.control.state().entries().at(entry.address) == entry);
    }

    // Guards against an entry or an upstream that stays in the state for good although it is
    // silent, because the log was overloaded when its timeout passed.
    void rejectedTimeoutIsProposedAgain()
    {
        leader_harness leader;
        leader.announce(makeIncarnation("u", 100, 1));
        leader.control.recordEntryHeartbeat(makeEntry(), leader.now);
        leader.commitAll();
        leader.acceptsProposals = false;
        leader.now += milliseconds(20'000);
        leader.control.tick(leader.now);
        leader.acceptsProposals = true;
        leader.now += milliseconds(50);
        leader.control.tick(leader.now);
        leader.commitAll();
        CPPUNIT_ASSERT(leader.control.state().entries().at(makeEntry().address).state
                       == entry_state::absent);
        CPPUNIT_ASSERT(leader.control.state().upstreams().at(upstream_id("u")).silent);
    }

    // Guards against an entry that is never registered because the log rejected its first
    // registration.
    void rejectedEntryRegistrationIsProposedAgain()
    {
        const fleet_entry entry = makeEntry();
        leader_harness leader;
        leader.acceptsProposals = false;
        leader.control.recordEntryHeartbeat(entry, leader.now);
        leader.acceptsProposals = true;
        leader.control.recordEntryHeartbeat(entry, leader.now);
        leader.commitAll();
        CPPUNIT_ASSERT(leader.control.state().entries().contains(entry.address));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_control_test);
