#include "kingcuptiller/node/control_node.h"
#include "kingcuptiller/storage/disk.h"
#include "kingcuptiller/transport/free_port.h"
#include "kingcuptiller/transport/system_clock.h"
#include "kingcuptiller/values/error.h"
#include "tests/support/run_until.h"
#include "tests/support/temporary_folder.h"

#include "../../src/consensus/peer_json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

namespace asio = boost::asio;

constexpr std::size_t routes = 1'700;

// A configuration in the manner of an operator's: many routes that differ by little.
std::string documentOf(std::size_t count)
{
    std::string text = "{\"routes\":[";
    for (std::size_t i = 0; i < count; ++i)
        text += std::string(i == 0 ? "" : ",") + R"({"name":"route-)" + std::to_string(i)
            + R"(","host":"a.example","path":"/extra/)" + std::to_string(i)
            + R"(/","methods":["GET","PUT"],"class":"reads","timeout_ms":1500,"service":"orders"})";
    return text + "]}";
}

// An entry's end of a connection to a control host.
class fake_entry
{
public:
    fake_entry(asio::io_context &context, const asio::ip::tcp::endpoint &host)
    {
        asio::ip::tcp::socket socket(context);
        socket.connect(host);
        m_connection = std::make_shared<frame_connection>(std::move(socket));
        m_connection->start([this](const frame &received) { note(received); }, [] {});
    }

    // Tells the host which view this entry has; `behind`, that it has none yet.
    void sendPresence(bool behind = false)
    {
        Json::Value object;
        object["version"] = Json::UInt64(behind ? 0 : view.version.number());
        object["commands"] = Json::UInt64(behind ? 0 : view.appliedCommands);
        object["serving"] = false;
        object["entry"] = "";
        m_connection->send(frame_kind::presence, internal::writeCompactJson(object));
    }

    fleet_view view;
    std::vector<std::string> documents;
    std::size_t viewBytes = 0;
    int currents = 0;

private:
    void note(const frame &received)
    {
        if (received.kind == frame_kind::current)
            ++currents;
        if (received.kind != frame_kind::view)
            return;
        viewBytes += received.body.size();
        const fleet_difference difference = decodeFleetDifference(received.body);
        if (!difference.document.empty())
            documents.push_back(difference.document);
        view = applyDifference(view, difference);
    }

    std::shared_ptr<frame_connection> m_connection;
};

// A folder on a disk that refuses all writes while `full` is set.
disk diskThatFillsUp(const std::string &folder, const std::shared_ptr<bool> &full)
{
    const disk files = posixDisk(folder);
    const auto refuseIfFull = [full] {
        if (*full)
            throw error(result_code::disk_failed, "no space left on device");
    };
    disk result = files;
    result.append = [files, full, refuseIfFull](const std::string &name, std::string_view bytes) {
        // A full disk still takes the first part of a write.
        if (*full)
            files.append(name, bytes.substr(0, bytes.size() / 2));
        refuseIfFull();
        files.append(name, bytes);
    };
    result.sync = [files, refuseIfFull](const std::string &name) {
        refuseIfFull();
        files.sync(name);
    };
    return result;
}

// A group of three control hosts whose disks can fill up.
struct control_group
{
    struct member
    {
        temporary_folder folder;
        std::shared_ptr<bool> full = std::make_shared<bool>(false);
        counter_registry counters;
        std::unique_ptr<control_node> node;
    };

    control_group()
    {
        for (std::size_t i = 0; i < members.size(); ++i) {
            member &each = members[i];
            control_node_options options;
            options.host = hosts[i];
            options.port = port;
            options.seeds = hosts;
            options.founding = true;
            options.dataFolder = each.folder.path;
            options.openDisk = [full = each.full](const std::string &folder) {
                return diskThatFillsUp(folder, full);
            };
            options.now = readInstant;
            options.random = [] { return std::uint64_t{std::random_device()()}; };
            each.node = std::make_unique<control_node>(context, options, each.counters);
        }
    }

    // Sends a configuration to the hosts in turn until one accepts it.
    bool configure(std::uint64_t version, const std::string &document)
    {
        for (std::size_t attempt = 0; attempt < 200; ++attempt) {
            result_code code = result_code::not_leader;
            bool answered = false;
            control_node &node = *members[attempt % members.size()].node;
            asio::co_spawn(
                context,
                [&]() -> asio::awaitable<void> {
                    fleet_command command = configure_command{
                        revision_number(version), revision_number(version - 1), document};
                    code = co_await node.submitCommand(std::move(command));
                    answered = true;
                },
                asio::detached);
            runUntil(context, [&] { return answered; });
            if (code == result_code::ok)
                return true;
            context.run_for(std::chrono::milliseconds(20));
        }
        return false;
    }

    std::optional<std::string> read(std::size_t member)
    {
        std::optional<std::string> document;
        bool answered = false;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                document = co_await members[member].node->readDocument();
                answered = true;
            },
            asio::detached);
        runUntil(context, [&] { return answered; });
        return document;
    }

    asio::io_context context;
    std::uint16_t port = findFreePort();
    std::vector<host_id> hosts{host_id("127.0.0.11"), host_id("127.0.0.12"), host_id("127.0.0.13")};
    std::array<member, 3> members;
};

// A fleet of one control host.
struct control_world
{
    control_world()
        : node(context, options(), counters)
    {
    }

    control_node_options options()
    {
        control_node_options result;
        result.host = host_id("127.0.0.5");
        result.port = port;
        result.seeds = {result.host};
        result.founding = true;
        result.dataFolder = folder.path;
        result.openDisk = [this](const std::string &path) {
            disk files = posixDisk(path);
            files.sync = [this, sync = files.sync](const std::string &name) {
                ++syncs;
                sync(name);
            };
            return files;
        };
        // Longer than the test takes to read its frames, also under a sanitizer.
        result.gatherLimit = milliseconds(2'000);
        result.now = [this] { return readInstant() + suspension; };
        result.random = [] { return std::uint64_t{std::random_device()()}; };
        return result;
    }

    template <typename Condition>
    bool reaches(const Condition &condition)
    {
        return runUntil(context, condition);
    }

    // Orders an evacuation. Returns nothing while the call is unanswered.
    std::shared_ptr<std::optional<result_code>> evacuate(const zone_name &zone, bool begins,
                                                         control_node::caller_check isWaiting)
    {
        auto answer = std::make_shared<std::optional<result_code>>();
        asio::co_spawn(
            context,
            [](control_node &host, zone_name ordered, bool evacuated,
               control_node::caller_check check,
               std::shared_ptr<std::optional<result_code>> result) -> asio::awaitable<void> {
                const result_code code =
                    co_await host.orderEvacuation(std::move(ordered), evacuated, std::move(check));
                *result = code;
            }(node, zone, begins, std::move(isWaiting), answer),
            asio::detached);
        return answer;
    }

    // The evacuated zones, as an entry that connects now is informed of them.
    std::set<zone_name> evacuatedZones()
    {
        fake_entry entry(context, address());
        entry.sendPresence(true);
        CPPUNIT_ASSERT(reaches([&] { return entry.view.appliedCommands > 0; }));
        return entry.view.evacuated;
    }

    // Orders a configuration until it is accepted.
    bool configure(std::uint64_t version, const std::string &document)
    {
        result_code code = result_code::not_leader;
        for (int attempt = 0; attempt < 50 && code != result_code::ok; ++attempt) {
            bool answered = false;
            asio::co_spawn(
                context,
                [&]() -> asio::awaitable<void> {
                    fleet_command command = configure_command{
                        revision_number(version), revision_number(version - 1), document};
                    code = co_await node.submitCommand(std::move(command));
                    answered = true;
                },
                asio::detached);
            reaches([&] { return answered; });
            context.run_for(std::chrono::milliseconds(20));
        }
        return code == result_code::ok;
    }

    asio::ip::tcp::endpoint address() const { return {asio::ip::make_address("127.0.0.5"), port}; }

    // How long the host has been suspended so far: its clock runs on, its event loop does not.
    milliseconds suspension{0};
    std::size_t syncs = 0;
    temporary_folder folder;
    asio::io_context context;
    std::uint16_t port = findFreePort();
    counter_registry counters;
    control_node node;
};

} // namespace

class control_node_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_node_test);
    CPPUNIT_TEST(presenceThatCrossesAViewDoesNotRepeatIt);
    CPPUNIT_TEST(entryThatConnectsAgainIsSentWhatItLacks);
    CPPUNIT_TEST(entriesInStepShareOneEncodedView);
    CPPUNIT_TEST(largeConfigurationIsSmallOnTheWire);
    CPPUNIT_TEST(packedDocumentsThatCannotBeReadAreRefused);
    CPPUNIT_TEST(disksThatAreFullOneAfterAnotherDoNotStopChanges);
    CPPUNIT_TEST(malformedFramesCloseTheirConnectionOnly);
    CPPUNIT_TEST(ordersOfCallersThatGaveUpAreDropped);
    CPPUNIT_TEST(callsThatArriveTogetherShareSyncs);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a large configuration that is sent again to entries which are receiving it.
    void presenceThatCrossesAViewDoesNotRepeatIt()
    {
        control_world world;
        const std::string document = documentOf(routes);
        CPPUNIT_ASSERT(world.configure(1, document));
        fake_entry entry(world.context, world.address());
        constexpr int presences = 10;
        for (int i = 0; i < presences; ++i)
            entry.sendPresence(true);
        // Each is answered, so that the entry doesn't take the host for frozen.
        CPPUNIT_ASSERT(world.reaches([&] {
            return entry.currents + static_cast<int>(entry.documents.size()) >= presences;
        }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.documents.size());
        CPPUNIT_ASSERT(document == entry.documents.front());

        const std::string next = documentOf(routes + 1);
        CPPUNIT_ASSERT(world.configure(2, next));
        entry.sendPresence();
        CPPUNIT_ASSERT(world.reaches([&] { return entry.documents.size() > 1; }));
        world.context.run_for(std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, entry.documents.size());
        CPPUNIT_ASSERT(next == entry.documents.back());
    }

    void entryThatConnectsAgainIsSentWhatItLacks()
    {
        control_world world;
        CPPUNIT_ASSERT(world.configure(1, documentOf(1)));
        fake_entry first(world.context, world.address());
        first.sendPresence();
        CPPUNIT_ASSERT(world.reaches([&] { return first.documents.size() == 1; }));
        CPPUNIT_ASSERT(world.configure(2, documentOf(2)));
        CPPUNIT_ASSERT(world.reaches([&] { return first.documents.size() == 2; }));

        fake_entry again(world.context, world.address());
        again.view = first.view;
        again.sendPresence();
        CPPUNIT_ASSERT(world.reaches([&] { return again.currents == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, again.documents.size());
        CPPUNIT_ASSERT(world.configure(3, documentOf(3)));
        CPPUNIT_ASSERT(world.reaches([&] { return again.documents.size() == 1; }));
        CPPUNIT_ASSERT(documentOf(3) == again.documents.front());
    }

    // Guards against the time that a slow host needs for a large configuration growing with the
    // number of entries.
    void entriesInStepShareOneEncodedView()
    {
        control_world world;
        CPPUNIT_ASSERT(world.configure(1, documentOf(1)));
        constexpr std::size_t entryCount = 12;
        std::vector<std::unique_ptr<fake_entry>> entries;
        for (std::size_t i = 0; i < entryCount; ++i) {
            entries.push_back(std::make_unique<fake_entry>(world.context, world.address()));
            entries.back()->sendPresence();
        }
        const auto allHave = [&](std::size_t documents) {
            return std::all_of(entries.begin(), entries.end(), [&](const auto &each) {
                return each->documents.size() == documents;
            });
        };
        CPPUNIT_ASSERT(world.reaches([&] { return allHave(1); }));
        const counter &encoded = world.counters.get("kct_control_views_encoded");
        const std::uint64_t before = encoded.value();
        const std::string document = documentOf(routes);
        CPPUNIT_ASSERT(world.configure(2, document));
        CPPUNIT_ASSERT(world.reaches([&] { return allHave(2); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, encoded.value() - before);
        for (const auto &each : entries)
            CPPUNIT_ASSERT(document == each->documents.back());
    }

    // Guards against a large configuration that fills the links of control hosts and entries.
    void largeConfigurationIsSmallOnTheWire()
    {
        control_world world;
        const std::string document = documentOf(routes);
        CPPUNIT_ASSERT(world.configure(1, document));
        fake_entry entry(world.context, world.address());
        entry.sendPresence();
        CPPUNIT_ASSERT(world.reaches([&] { return entry.documents.size() == 1; }));
        CPPUNIT_ASSERT(document == entry.documents.front());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(entry.viewBytes),
                               entry.viewBytes <= document.size() / 5);
        const fleet_command command =
            configure_command{revision_number(2), revision_number(1), document};
        CPPUNIT_ASSERT(encodeFleetCommand(command).size() <= document.size() / 5);
        CPPUNIT_ASSERT(command == decodeFleetCommand(encodeFleetCommand(command)));
    }

    // Guards against one malformed message that ends the process of a control host.
    void malformedFramesCloseTheirConnectionOnly()
    {
        const std::vector<std::string> bodies = {
            "",
            "\xff\xfe",
            "[]",
            "{}",
            std::string(100'000, '['),
            R"({"host":"127.0.0.6","known":[{}]})",
            R"({"host":"127.0.0.6","known":[[],"x",1e999]})",
            R"({"host":"127.0.0.6","known":[null,{"a":[1]}]})",
            R"({"host":7,"known":{}})",
            R"({"id":1,"from":"127.0.0.6","operation":"order","body":"{}"})",
            R"({"id":1,"from":"127.0.0.6","operation":"announce","body":"[1]"})",
            R"({"id":-1,"from":[],"operation":{},"body":1e300})",
            R"({"id":18446744073709551616,"code":"odd","body":""})",
            R"({"version":"1","commands":-1,"serving":"yes","entry":{}})",
            R"({"version":1,"commands":0,"serving":true,"entry":"{\"address\":[]}"})",
        };
        control_world world;
        CPPUNIT_ASSERT(world.configure(1, documentOf(1)));
        for (const std::string &body : bodies) {
            for (const char kind : std::string("ipcreqvks")) {
                asio::ip::tcp::socket socket(world.context);
                socket.connect(world.address());
                const auto connection = std::make_shared<frame_connection>(std::move(socket));
                connection->start([](const frame &) {}, [] {});
                connection->send(static_cast<frame_kind>(kind), body);
                world.context.run_for(std::chrono::milliseconds(1));
            }
        }
        CPPUNIT_ASSERT(world.configure(2, documentOf(2)));
    }

    // Guards against applying an order whose caller has turned to another host and may have sent a
    // newer order: because the caller has closed its connection, or because the order lay in this
    // host while it was suspended.
    void ordersOfCallersThatGaveUpAreDropped()
    {
        struct order_case
        {
            std::string name;
            bool callerWaits;
            milliseconds suspension;
            bool isApplied;
        };
        const std::vector<order_case> cases = {
            {"the caller waits", true, milliseconds(0), true},
            {"the caller has closed its connection", false, milliseconds(0), false},
            {"the host was suspended", true, milliseconds(4'000), false},
        };
        for (const order_case &each : cases) {
            control_world world;
            CPPUNIT_ASSERT(world.configure(1, documentOf(1)));
            world.suspension += each.suspension;
            const auto answer =
                world.evacuate(zone_name("a"), true, [&each] { return each.callerWaits; });
            CPPUNIT_ASSERT_MESSAGE(each.name, world.reaches([&] { return answer->has_value(); }));
            CPPUNIT_ASSERT_MESSAGE(each.name, (*answer == result_code::ok) == each.isApplied);
            CPPUNIT_ASSERT_MESSAGE(
                each.name, world.evacuatedZones().contains(zone_name("a")) == each.isApplied);
        }
    }

    // Guards against a leader that syncs its log for each registration, when all upstreams of a
    // large fleet register within seconds.
    void callsThatArriveTogetherShareSyncs()
    {
        constexpr std::size_t hosts = 5;
        constexpr std::size_t callsPerHost = 40;
        constexpr std::size_t maximumSyncs = 4;
        control_world world;
        CPPUNIT_ASSERT(world.configure(1, documentOf(1)));
        std::vector<std::shared_ptr<frame_connection>> connections;
        for (std::size_t host = 0; host < hosts; ++host) {
            asio::ip::tcp::socket socket(world.context);
            socket.connect(world.address());
            connections.push_back(std::make_shared<frame_connection>(std::move(socket)));
            connections.back()->start([](const frame &) {}, [] {});
        }
        world.context.run_for(std::chrono::milliseconds(50));
        const std::size_t syncsBefore = world.syncs;
        for (std::size_t call = 0; call < callsPerHost; ++call) {
            for (std::size_t host = 0; host < hosts; ++host) {
                upstream_incarnation incarnation;
                incarnation.id =
                    upstream_id("u" + std::to_string(host) + "-" + std::to_string(call));
                incarnation.address = endpoint_address("10.0.0.1:80");
                Json::Value object;
                object["id"] = Json::UInt64(call);
                object["from"] = "127.0.0.6";
                object["operation"] = "announce";
                object["body"] = encodeUpstreamIncarnation(incarnation);
                connections[host]->send(frame_kind::call, internal::writeCompactJson(object));
            }
        }
        const counter &upstreams = world.counters.get("kct_control_upstreams");
        CPPUNIT_ASSERT(world.reaches([&] { return upstreams.value() == hosts * callsPerHost; }));
        const std::size_t syncs = world.syncs - syncsBefore;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(syncs), syncs <= maximumSyncs);
    }

    // Guards against a control host that ends when its disk is full, and against one that never
    // takes part again although its disk has room: with several of them, changes are refused for
    // good.
    void disksThatAreFullOneAfterAnotherDoNotStopChanges()
    {
        control_group group;
        std::uint64_t version = 1;
        CPPUNIT_ASSERT(group.configure(version, documentOf(version)));
        for (control_group::member &each : group.members) {
            *each.full = true;
            ++version;
            CPPUNIT_ASSERT_MESSAGE("disk full, version " + std::to_string(version),
                                   group.configure(version, documentOf(version)));
            *each.full = false;
            ++version;
            CPPUNIT_ASSERT_MESSAGE("disk has room, version " + std::to_string(version),
                                   group.configure(version, documentOf(version)));
        }
        // All hosts are needed to outvote one that is lost, so each must have caught up.
        for (std::size_t member = 0; member < group.members.size(); ++member)
            CPPUNIT_ASSERT(
                runUntil(group.context, [&] { return group.read(member) == documentOf(version); }));
    }

    void packedDocumentsThatCannotBeReadAreRefused()
    {
        for (const std::string document :
             {R"("text")", R"({"size":4,"bytes":"AAAA"})", R"({"size":4})", R"({"bytes":"AAAA"})",
              R"({"size":4,"bytes":"?"})", R"({"size":99999999999,"bytes":"AAAA"})",
              R"({"size":3,"bytes":"eJxLSkxKBAAFhgGH"})"}) {
            result_code code = result_code::ok;
            try {
                static_cast<void>(decodeFleetCommand(
                    R"({"kind":"configure","version":1,"base":0,"document":)" + document + "}"));
            } catch (const error &failure) {
                code = failure.code();
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(document, std::string("message_malformed"),
                                         std::string(name(code)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_node_test);
