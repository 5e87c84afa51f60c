#include "wire_codec.h"

#include "kingcuptiller/settings/node_settings.h"
#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptiller;

namespace {

const std::string service =
    R"({"resourceKind":"services","metadata":{"name":"s"},"spec":{"healthPath":"/health",)"
    R"("maxConnections":390,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":8.0}})";

std::string route(const std::string &name, const std::string &more)
{
    return R"({"resourceKind":"routes","metadata":{"name":")" + name
        + R"("},"spec":{"host":"a.example","pathPrefix":"/x/","timeoutMs":1200,)"
          R"("targetLatencyMs":600,"priority":1,"maxAttempts":2,"allowedRegions":[],)"
        + more + "}}";
}

std::string account(const std::string &name, const std::string &spec)
{
    return R"({"resourceKind":"tenants","metadata":{"name":")" + name + R"("},"spec":{)" + spec
        + "}}";
}

std::string document(const std::string &version, const std::string &base,
                     const std::string &resources)
{
    return R"({"version":)" + version + R"(,"baseVersion":)" + base + R"(,"resources":[)"
        + resources + "]}";
}

struct text_case
{
    std::string name;
    std::string text;
};

} // namespace

class wire_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(wire_codec_test);
    CPPUNIT_TEST(configurationIsRead);
    CPPUNIT_TEST(badConfigurationsAreRefused);
    CPPUNIT_TEST(accountsAreRead);
    CPPUNIT_TEST(badAccountsAreRefusedWithoutNamingAKey);
    CPPUNIT_TEST(heartbeatIsRead);
    CPPUNIT_TEST(badHeartbeatsNameNoUpstream);
    CPPUNIT_TEST(settingsOfBothProgramsAreRead);
    CPPUNIT_TEST(badSettingsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that is read under another name or with another meaning.
    void configurationIsRead()
    {
        const traffic_configuration read = platform::decodeConfiguration(document(
            R"("r7")", R"("r5")",
            service + "," + route("r-1", R"("kind":"unsafe","sessionAffinity":true,"service":"s")")
                + "," + R"({"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":100,)"
                + R"("maxBodyBytes":200,"headerTimeoutMs":300,"idleTimeoutMs":400}})"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), read.version.number());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), read.base.number());
        traffic_route expected;
        expected.name = "r-1";
        expected.host = "a.example";
        expected.pathPrefix = "/x/";
        expected.timeout = milliseconds(1'200);
        expected.latencyTarget = milliseconds(600);
        expected.priority = 1;
        expected.weightedServices = {{service_name("s"), 1}};
        expected.maximumAttempts = 2;
        expected.affinity = true;
        CPPUNIT_ASSERT(read.routes == std::vector<traffic_route>{expected});
        CPPUNIT_ASSERT(
            (read.services
             == std::vector<service_settings>{{service_name("s"), 390, milliseconds(3'000), 8.0}}));
        CPPUNIT_ASSERT(
            (read.limits == client_limits{100, 200, milliseconds(300), milliseconds(400)}));
    }

    // Guards against a half-read order that is put in force.
    void badConfigurationsAreRefused()
    {
        const std::string good = route("r", R"("kind":"safe","service":"s")");
        const std::vector<text_case> cases = {
            {"cut short", document(R"("r7")", R"("r5")", service + "," + good).substr(0, 200)},
            {"not an object", "[]"},
            {"old version", document(R"("r5")", R"("r5")", service)},
            {"version of another type", document("{}", R"("r5")", service)},
            {"unknown service", document(R"("r7")", R"("r5")", good)},
            {"no service",
             document(R"("r7")", R"("r5")", service + "," + route("r", R"("kind":"safe")"))},
            {"negative weight",
             document(
                 R"("r7")", R"("r5")",
                 service + ","
                     + route("r",
                             R"("kind":"safe","trafficSplit":[{"service":"s","weight":-1}])"))},
            {"unknown kind",
             document(R"("r7")", R"("r5")",
                      R"({"resourceKind":"other","metadata":{"name":"x"},"spec":{}})")},
            {"unknown kind of request",
             document(R"("r7")", R"("r5")",
                      service + "," + route("r", R"("kind":"saef","service":"s")"))},
            {"public that is no boolean",
             document(R"("r7")", R"("r5")",
                      service + "," + route("r", R"("kind":"safe","service":"s","public":1)"))},
            {"deep nesting", std::string(10'000, '[')},
        };
        for (const text_case &each : cases)
            CPPUNIT_ASSERT_THROW_MESSAGE(each.name, platform::decodeConfiguration(each.text),
                                         error);
    }

    // Guards against an account that is read under another name or with another meaning.
    void accountsAreRead()
    {
        const traffic_configuration read = platform::decodeConfiguration(
            document(R"("r7")", R"("r5")",
                     account("one",
                             R"("apiKeys":["k1","k2"],"priority":3,"ratePerS":50,"burst":20.5,)"
                             R"("allowedRegions":["r"])")
                         + "," + account("other", R"("apiKeys":[])")));
        const client_account one{account_name("one"),
                                 {digestOfKey("k1"), digestOfKey("k2")},
                                 {50, 20.5},
                                 3,
                                 {region_name("r")}};
        const client_account other{account_name("other"), {}, {}, std::nullopt, {}};
        CPPUNIT_ASSERT((read.accounts == std::vector<client_account>{one, other}));
    }

    // Guards against accounts that are in force in part, and against a key in an error text.
    void badAccountsAreRefusedWithoutNamingAKey()
    {
        const std::string good = account("one", R"("apiKeys":["secret"])");
        const std::vector<text_case> cases = {
            {"two accounts with one key", good + "," + account("two", R"("apiKeys":["secret"])")},
            {"two accounts with one name", good + "," + account("one", R"("apiKeys":["other"])")},
            {"keys that are no list", account("one", R"("apiKeys":"secret")")},
            {"key that is no text", account("one", R"("apiKeys":["secret",7])")},
            {"empty key", account("one", R"("apiKeys":["secret",""])")},
            {"negative rate", account("one", R"("apiKeys":["secret"],"ratePerS":-1)")},
            {"infinite burst", account("one", R"("apiKeys":["secret"],"burst":1e999)")},
            {"priority of another type", account("one", R"("apiKeys":["secret"],"priority":"1")")},
            {"regions of another type",
             account("one", R"("apiKeys":["secret"],"allowedRegions":"r")")},
            {"region that is no name",
             account("one", R"("apiKeys":["secret"],"allowedRegions":[1])")},
        };
        CPPUNIT_ASSERT_NO_THROW(
            platform::decodeConfiguration(document(R"("r7")", R"("r5")", good)));
        for (const text_case &each : cases) {
            try {
                (void)platform::decodeConfiguration(document(R"("r7")", R"("r5")", each.text));
                CPPUNIT_FAIL(each.name + " is accepted");
            } catch (const error &failure) {
                CPPUNIT_ASSERT_MESSAGE(each.name + ": " + failure.what(),
                                       std::string(failure.what()).find("secret")
                                           == std::string::npos);
            }
        }
    }

    void heartbeatIsRead()
    {
        const upstream_incarnation life = platform::decodeHeartbeat(
            "i-1",
            R"({"address":"10.0.0.9:8080","born":1700000000123,"info":{"service":"s",)"
            R"("version":"v1","zone":"a","slots":9},"status":{"state":"draining","sequence":4,)"
            R"("coldRemainingMs":1500}})");
        upstream_incarnation expected;
        expected.id = upstream_id("i-1");
        expected.startTimeMs = 1'700'000'000'123;
        expected.sequence = 4;
        expected.address = endpoint_address("10.0.0.9:8080");
        expected.service = service_name("s");
        expected.zone = zone_name("a");
        expected.slots = 9;
        expected.state = upstream_state::draining;
        expected.coldRemaining = milliseconds(1'500);
        CPPUNIT_ASSERT(life == expected);
    }

    // Guards against using what another writer announced.
    void badHeartbeatsNameNoUpstream()
    {
        const std::string info = R"("info":{"service":"s","zone":"a","slots":9})";
        const std::string status = R"("status":{"state":"ready","sequence":4})";
        const std::vector<text_case> cases = {
            {"not JSON", "\x01\x02"},
            {"no address", "{" + info + "," + status + "}"},
            {"no info", R"({"address":"10.0.0.9:80",)" + status + "}"},
            {"name in place of an address", R"({"address":"host:80",)" + info + "," + status + "}"},
            {"unknown state",
             R"({"address":"10.0.0.9:80",)" + info + R"(,"status":{"state":"odd","sequence":4}})"},
            {"sequence of another type",
             R"({"address":"10.0.0.9:80",)" + info
                 + R"(,"status":{"state":"ready","sequence":"4"}})"},
            {"deep nesting", R"({"address":)" + std::string(100'000, '[')},
            {"deep nesting, closed",
             R"({"x":)" + std::string(50'000, '[') + std::string(50'000, ']') + "}"},
            {"port out of range", R"({"address":"10.0.0.9:65536",)" + info + "," + status + "}"},
            {"port 0", R"({"address":"10.0.0.9:0",)" + info + "," + status + "}"},
            {"negative port", R"({"address":"10.0.0.9:-80",)" + info + "," + status + "}"},
            {"port of many digits",
             R"({"address":"10.0.0.9:)" + std::string(400, '9') + "\"," + info + "," + status
                 + "}"},
            {"slots of many digits",
             R"({"address":"10.0.0.9:80","info":{"service":"s","zone":"a","slots":)"
                 + std::string(400, '9') + "}," + status + "}"},
            {"more slots than any upstream has",
             R"({"address":"10.0.0.9:80","info":{"service":"s","zone":"a","slots":999999999},)"
                 + status + "}"},
            {"infinite slots",
             R"({"address":"10.0.0.9:80","info":{"service":"s","zone":"a","slots":1e999},)" + status
                 + "}"},
            {"born beyond 64 bits",
             R"({"address":"10.0.0.9:80","born":18446744073709551615,)" + info + "," + status
                 + "}"},
            {"born in a far future",
             R"({"address":"10.0.0.9:80","born":9223372036854775807,)" + info + "," + status + "}"},
            {"sequence beyond 64 bits",
             R"({"address":"10.0.0.9:80",)" + info
                 + R"(,"status":{"state":"ready","sequence":1e300}})"},
            {"cold for years",
             R"({"address":"10.0.0.9:80",)" + info
                 + R"(,"status":{"state":"ready","sequence":4,"coldRemainingMs":1e11}})"},
            {"born of another type",
             R"({"address":"10.0.0.9:80","born":"x",)" + info + "," + status + "}"},
        };
        for (const text_case &each : cases)
            CPPUNIT_ASSERT_THROW_MESSAGE(each.name, platform::decodeHeartbeat("i-1", each.text),
                                         error);
    }

    void settingsOfBothProgramsAreRead()
    {
        const std::string common = "[host]\nname = n\naddress = 10.0.0.1\nzone = a\nregion = r\n"
                                   "[places]\nzones =\n  a=r,\n  b=q,\n"
                                   "[control]\nseeds = 10.0.0.1:8544,10.0.0.2:8544\n"
                                   "founding = true\ndata_folder = /data\n"
                                   "[process]\nshutdown_limit = 4 s\n"
                                   "[directory]\nlongest_lifetime = 1 s\n";
        const node_settings settings = parseNodeSettings(
            "f", common + "[listen]\ncontrol = 10.0.0.1:8544\ninternal_port = 7540\n");
        CPPUNIT_ASSERT(
            (settings.seeds == std::vector<host_id>{host_id("10.0.0.1"), host_id("10.0.0.2")}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), settings.zones.size());
        CPPUNIT_ASSERT(settings.control && !settings.traffic && settings.founding);
        CPPUNIT_ASSERT(settings.shutdownLimit == milliseconds(4'000));
        CPPUNIT_ASSERT(settings.directoryLifetime == milliseconds(1'000));
    }

    // Guards against a process that binds ports with settings that cannot work.
    void badSettingsAreRefused()
    {
        const std::string host = "[host]\nname = n\naddress = 10.0.0.1\nzone = a\nregion = r\n";
        const std::string rest = "[places]\nzones = a=r\n[listen]\ninternal_port = 7540\n";
        const std::string seeds = "[control]\nseeds = 10.0.0.1:8544\n";
        CPPUNIT_ASSERT_NO_THROW(parseNodeSettings("f", host + rest + seeds));
        const std::vector<text_case> cases = {
            {"no seeds", host + rest + "[control]\nseeds =\n"},
            {"unknown key", host + rest + seeds + "[process]\nodd = 1\n"},
            {"no port", host + "[places]\nzones = a=r\n" + seeds},
            {"zone without region",
             host + "[places]\nzones = a\n[listen]\ninternal_port = 7540\n" + seeds},
            {"control without a folder",
             host + "[places]\nzones = a=r\n[listen]\ninternal_port = 7540\ncontrol = 10.0.0.1:80\n"
                 + seeds},
            {"no number", host + rest + seeds + "[retries]\nshare = much\n"},
            {"no shift", host + rest + seeds + "[steering]\nlargest_shift = 0\n"},
            {"shift of more than all", host + rest + seeds + "[steering]\nlargest_shift = 1.5\n"},
        };
        for (const text_case &each : cases)
            CPPUNIT_ASSERT_THROW_MESSAGE(each.name, parseNodeSettings("f", each.text), error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wire_codec_test);
