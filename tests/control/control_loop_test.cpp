#include "samples.h"
#include "tests/storage/fake_disk.h"

#include "kingcuptiller/control/control_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <memory>

using namespace kingcuptiller;
using namespace kingcuptiller::samples;

namespace {

// Three control loops in one thread, over a network and a clock that the test controls.
class loop_fleet
{
public:
    loop_fleet()
    {
        for (std::size_t each = 0; each < hosts; ++each)
            restart(each, true);
        run(milliseconds{3000});
    }

    void restart(std::size_t number, bool founding = false)
    {
        control_loop_options options;
        for (std::size_t each = 0; each < hosts; ++each)
            options.replicas.hosts.push_back(idOf(each));
        options.openFolder = [this, number] { return m_disks.at(number).hooks(); };
        options.store = {idOf(number), founding,
                         [this] { return "i" + std::to_string(++m_drawn); }};
        options.now = [this] { return m_now; };
        options.wall = [this] { return start + m_now.time_since_epoch(); };
        options.random = [this] { return m_random(); };
        options.send = [this, number](const peer_message &message) {
            m_network.emplace_back(number, message);
        };
        m_loops.at(number).reset();
        m_loops.at(number) = std::make_unique<control_loop>(std::move(options), m_counters);
        m_loops.at(number)->open();
    }

    void crashAll()
    {
        for (std::size_t each = 0; each < hosts; ++each) {
            m_disks.at(each).crash(m_random);
            restart(each);
        }
        isolated.reset();
        m_network.clear();
    }

    void run(milliseconds duration)
    {
        for (const instant end = m_now + duration; m_now < end; m_now += milliseconds{10})
            stepAll();
    }

    void stepAll()
    {
        const auto messages = std::exchange(m_network, {});
        for (const auto &[from, message] : messages) {
            const std::size_t to = numberOf(message.to.host);
            if (from != isolated && to != isolated)
                m_loops.at(to)->receive(message);
        }
        for (const auto &each : m_loops)
            each->step();
    }

    // The host that holds a lease and is not cut off.
    std::size_t leader() const
    {
        for (std::size_t each = 0; each < hosts; ++each) {
            if (each != isolated && m_loops.at(each)->hasLease())
                return each;
        }
        CPPUNIT_FAIL("there is no leader");
        return 0;
    }

    std::variant<change_answer, error> submit(std::size_t host, const change_request &request)
    {
        auto result = std::make_shared<std::variant<change_answer, error>>();
        m_loops.at(host)->post([request, result](control_core &core, lease_moment moment) {
            core.submitChange(request, moment, [result](const auto &answer) { *result = answer; });
        });
        run(milliseconds{2000});
        return *result;
    }

    control_loop &loop(std::size_t number) { return *m_loops.at(number); }
    testing::fake_disk &files(std::size_t number) { return m_disks.at(number); }

    std::optional<std::size_t> isolated;

private:
    static constexpr std::size_t hosts = 3;

    static host_id idOf(std::size_t number) { return host_id("c" + std::to_string(number)); }
    static std::size_t numberOf(const host_id &host)
    {
        return static_cast<std::size_t>(host.text().at(1) - '0');
    }

    instant m_now{microseconds{0}};
    std::mt19937_64 m_random{7}; // NOLINT(bugprone-random-generator-seed): the same run each time
    std::uint64_t m_drawn = 0;
    counter_registry m_counters;
    std::array<testing::fake_disk, hosts> m_disks;
    std::array<std::unique_ptr<control_loop>, hosts> m_loops;
    std::vector<std::pair<std::size_t, peer_message>> m_network;
};

change_answer accepted(const std::variant<change_answer, error> &result)
{
    const auto *failure = std::get_if<error>(&result);
    CPPUNIT_ASSERT_MESSAGE(failure == nullptr ? "" : failure->what(), failure == nullptr);
    return std::get<change_answer>(result);
}

} // namespace

class control_loop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_loop_test);
    CPPUNIT_TEST(commandsThatWaitTogetherShareOneSync);
    CPPUNIT_TEST(resentChangeGetsItsFirstAnswerFromANewLeaderAndAfterRestarts);
    CPPUNIT_TEST(isolatedLeaderRefusesEverything);
    CPPUNIT_TEST(hostWithAFailedDiskOpensItsFolderAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a sync for each command, which limits claims to some hundred a second.
    void commandsThatWaitTogetherShareOneSync()
    {
        loop_fleet fleet;
        const std::size_t leader = fleet.leader();
        accepted(fleet.submit(leader, makeChange("a", 0, {makeClass("postings")})));
        std::size_t granted = 0;
        for (int each = 0; each < 50; ++each) {
            const auto request = makeClaim("k" + std::to_string(each), "a" + std::to_string(each));
            fleet.loop(leader).post([request, &granted](control_core &core, lease_moment moment) {
                core.claimRequests({request}, moment, [&granted](const auto &answer) {
                    const auto *answers = std::get_if<std::vector<claim_answer>>(&answer);
                    granted += answers != nullptr && answers->at(0).code == result_code::ok ? 1 : 0;
                });
            });
        }
        const auto before = fleet.files(leader).syncs;
        fleet.run(milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::size_t{50}, granted);
        CPPUNIT_ASSERT_EQUAL(before + 1, fleet.files(leader).syncs);
    }

    // Guards against a change that is applied twice or lost with the host that took it (I8).
    void resentChangeGetsItsFirstAnswerFromANewLeaderAndAfterRestarts()
    {
        loop_fleet fleet;
        const std::size_t first = fleet.leader();
        const auto change = makeChange("a", 0, {makeClass("postings")});
        const auto answer = accepted(fleet.submit(first, change));
        CPPUNIT_ASSERT(answer.code == result_code::ok);
        fleet.isolated = first;
        fleet.run(milliseconds{3000});
        CPPUNIT_ASSERT(answer == accepted(fleet.submit(fleet.leader(), change)));
        fleet.crashAll();
        fleet.run(milliseconds{3000});
        const std::size_t last = fleet.leader();
        CPPUNIT_ASSERT(answer == accepted(fleet.submit(last, change)));
        CPPUNIT_ASSERT(accepted(fleet.submit(last, makeChange("b", 0, {makeClass("x")}))).code
                       == result_code::revision_conflict);
    }

    // Guards against a host that does not notice that it was cut off and goes on as the leader.
    void isolatedLeaderRefusesEverything()
    {
        loop_fleet fleet;
        const std::size_t leader = fleet.leader();
        fleet.isolated = leader;
        fleet.run(milliseconds{600});
        CPPUNIT_ASSERT(!fleet.loop(leader).hasLease());
        const auto result = fleet.submit(leader, makeChange("a", 0, {makeClass("postings")}));
        CPPUNIT_ASSERT(std::get<error>(result).code() == result_code::not_leader);
        CPPUNIT_ASSERT(!fleet.loop(leader).isReady());
        CPPUNIT_ASSERT(fleet.leader() != leader);
    }

    // Guards against a host that goes on with a log that is not durable.
    void hostWithAFailedDiskOpensItsFolderAgain()
    {
        loop_fleet fleet;
        const std::size_t leader = fleet.leader();
        fleet.files(leader).failAfter = 0;
        CPPUNIT_ASSERT_THROW(fleet.submit(leader, makeChange("a", 0, {makeClass("x")})), error);
        std::mt19937_64 random(1); // NOLINT(bugprone-random-generator-seed): see above
        fleet.files(leader).crash(random);
        fleet.restart(leader);
        fleet.run(milliseconds{3000});
        CPPUNIT_ASSERT(fleet.loop(leader).isReady());
        CPPUNIT_ASSERT(
            accepted(fleet.submit(fleet.leader(), makeChange("b", 0, {makeClass("x")}))).code
            == result_code::ok);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_loop_test);
