#include "kingcuptiller/settings/control_settings.h"
#include "kingcuptiller/settings/entry_settings.h"
#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

const std::string entryText = "[host]\nid = entry-1\nregion = luzon\nzone = luzon-a\n"
                              "listen = 127.0.0.1:7400\n"
                              "[control]\nhosts = c1=127.0.0.1:7300,\n    c2=127.0.0.2:7300\n";
const std::string controlText = "[host]\nid = c1\nregion = luzon\nzone = luzon-a\n"
                                "rpc_listen = 127.0.0.1:7300\nhttp_listen = 127.0.0.1:7301\n"
                                "[peers]\nhosts = c1=127.0.0.1:7300\n[storage]\nfolder = /data\n";

struct refusal_case
{
    // Added to the valid text, or, with `removed`, taken the place of that line.
    std::string added;
    std::string removed;
    // Must be in the message, so that an operator finds the place.
    std::string named;
};

std::string changed(std::string text, const refusal_case &each)
{
    if (each.removed.empty())
        return text + each.added + "\n";
    const std::size_t place = text.find(each.removed);
    CPPUNIT_ASSERT_MESSAGE("the case removes a line that is not there: " + each.removed,
                           place != std::string::npos);
    return text.replace(place, each.removed.size(), each.added);
}

template <typename Parse>
void expectRefusals(const std::string &text, const std::vector<refusal_case> &cases, Parse parse)
{
    for (const refusal_case &each : cases) {
        const std::string faulty = changed(text, each);
        try {
            static_cast<void>(parse("x.ini", faulty));
            CPPUNIT_FAIL("accepted: " + faulty);
        } catch (const error &fault) {
            CPPUNIT_ASSERT(fault.code() == result_code::settings_invalid);
            const std::string message = fault.what();
            CPPUNIT_ASSERT_MESSAGE(message + " does not name " + each.named,
                                   message.starts_with("x.ini")
                                       && message.find(each.named) != std::string::npos);
        }
    }
}

} // namespace

class settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(faultyEntrySettingsAreRefusedByName);
    CPPUNIT_TEST(faultyControlSettingsAreRefusedByName);
    CPPUNIT_TEST(valuesAndTheirSourcesAreKept);
    CPPUNIT_TEST(quantitiesNeedAKnownUnit);
    CPPUNIT_TEST(everySampleLoads);
    CPPUNIT_TEST(arbitraryTextIsRefusedOrLoadedButNeverCrashes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a typing error that silently leaves a default in force.
    void faultyEntrySettingsAreRefusedByName()
    {
        expectRefusals(entryText,
                       {{"[limits]\nconcurency = 5", "", "[limits] concurency"},
                        {"[limit]\nconcurrency = 5", "", "[limit]"},
                        {"[empty]", "", "[empty]"},
                        {"[limits]\nconcurrency = 0", "", "[limits] concurrency"},
                        {"[limits]\nconcurrency = 5 ms", "", "[limits] concurrency"},
                        {"[limits]\nconcurrency = -1", "", "[limits] concurrency"},
                        {"[limits]\nrequest_body = 4096", "", "[limits] request_body"},
                        {"[limits]\nlookup_lifetime = 5 KiB", "", "[limits] lookup_lifetime"},
                        {"[limits]\nqueue = 1\nqueue = 2", "", "[limits] queue"},
                        {"[steering]\nshift_cap_percent = 101", "", "[steering] shift_cap_percent"},
                        {"[tls]\ncertificate = a.pem", "", "[tls] key"},
                        {"[log]\nlevel = loud", "", "[log] level"},
                        {"", "listen = 127.0.0.1:7400\n", "[host] listen"},
                        {"listen = localhost:7400", "listen = 127.0.0.1:7400", "[host] listen"},
                        {"listen = 127.0.0.1:70000", "listen = 127.0.0.1:7400", "[host] listen"},
                        {"listen = 0.0.0.0:7400", "listen = 127.0.0.1:7400", "[host] advertise"},
                        {"id = Entry 1", "id = entry-1", "[host] id"},
                        {"c1=127.0.0.2:7300", "c1=127.0.0.1:7300", "[control] hosts"},
                        {"c2=127.0.0.1:7300", "c1=127.0.0.1:7300", "[control] hosts"},
                        {"not a line", "", "x.ini:9"},
                        {"[limits]\nqueue = " + std::string(300, '1'), "", "x.ini:10"}},
                       parseEntrySettings);
    }

    // Guards against timings under which elections or leases never settle.
    void faultyControlSettingsAreRefusedByName()
    {
        expectRefusals(
            controlText,
            {{"[timing]\nelection_minimum = 200 ms", "", "[timing] election_minimum"},
             {"[timing]\nelection_maximum = 500 ms", "", "[timing] election_maximum"},
             {"[timing]\nentry_lease = 1 s", "", "[timing] entry_lease"},
             {"[ledger]\nretention = 25 h", "", "[ledger] retention"},
             {"[ledger]\nbody_budget = 2 GiB", "", "[ledger] body_budget"},
             {"http_listen = 127.0.0.1:7300", "http_listen = 127.0.0.1:7301", "[host] http_listen"},
             {"c2=127.0.0.1:7300", "c1=127.0.0.1:7300", "[peers] hosts"},
             {"c1=127.0.0.1:7300, c2=127.0.0.2:7300", "c1=127.0.0.1:7300", "[peers] hosts"},
             {"", "folder = /data\n", "[storage] folder"}},
            parseControlSettings);
    }

    // Guards against --check telling something else than what is in force.
    void valuesAndTheirSourcesAreKept()
    {
        const entry_settings settings =
            parseEntrySettings("x.ini", entryText + "[limits]\nanswer_body = 64 KiB\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{65536}, settings.answerBodyLimit);
        CPPUNIT_ASSERT_EQUAL(settings.listen, settings.advertised);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings.controlHosts.size());
        CPPUNIT_ASSERT_EQUAL(host_id("c2"), settings.controlHosts[1].host);
        const std::string text = describeSettings(settings.effective);
        for (const std::string line :
             {"[limits] answer_body = 64 KiB", "(x.ini:10)", "[limits] queue = 256", "(default)"})
            CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
        const control_settings control = parseControlSettings("x.ini", controlText);
        CPPUNIT_ASSERT(control.entryLease == milliseconds(2500));
        CPPUNIT_ASSERT(control.ledgerRetention == milliseconds(3600000));
    }

    // Guards against a bare number whose unit the reader guesses.
    void quantitiesNeedAKnownUnit()
    {
        CPPUNIT_ASSERT(parseDuration("200 ms") == milliseconds(200));
        CPPUNIT_ASSERT(parseDuration("2.5s") == milliseconds(2500));
        CPPUNIT_ASSERT(parseDuration("1 h") == milliseconds(3600000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{65536}, parseBytes("64 KiB"));
        for (const std::string text : {"200", "", "ms", "-1 ms", "1 sec", "1 KiB", "0.5 ms",
                                       "nan ms", "inf s", "1e3 ms", "99999999999999999999 h"})
            CPPUNIT_ASSERT_THROW_MESSAGE(text, static_cast<void>(parseDuration(text)),
                                         std::invalid_argument);
        for (const std::string text : {"64", "64 kb", "64 ms", "1.5 B", "9999999999 GiB"})
            CPPUNIT_ASSERT_THROW_MESSAGE(text, static_cast<void>(parseBytes(text)),
                                         std::invalid_argument);
    }

    // Guards against samples that no longer fit the settings, or that do not form one fleet.
    void everySampleLoads()
    {
        for (const std::string deployment : {"cuenca", "sari-tindahan"}) {
            std::set<std::string> addresses;
            std::map<std::string, std::set<std::string>> zones;
            std::vector<host_address> control;
            std::size_t entries = 0;
            std::size_t controls = 0;
            for (const auto &file : std::filesystem::directory_iterator(
                     KCT_SOURCE_DIR "/docs/examples/" + deployment)) {
                const std::string path = file.path().string();
                if (file.path().filename().string().starts_with("control-")) {
                    const control_settings settings = loadControlSettings(path);
                    CPPUNIT_ASSERT_MESSAGE(path, control.empty() || control == settings.peers);
                    control = settings.peers;
                    CPPUNIT_ASSERT_MESSAGE(
                        path,
                        std::count(control.begin(), control.end(),
                                   host_address{settings.host, settings.rpcListen})
                            == 1);
                    CPPUNIT_ASSERT(addresses.insert(settings.rpcListen.text()).second);
                    CPPUNIT_ASSERT(addresses.insert(settings.httpListen.text()).second);
                    ++controls;
                } else {
                    const entry_settings settings = loadEntrySettings(path);
                    CPPUNIT_ASSERT_MESSAGE(path,
                                           control.empty() || control == settings.controlHosts);
                    control = settings.controlHosts;
                    CPPUNIT_ASSERT(addresses.insert(settings.listen.text()).second);
                    zones[settings.region.text()].insert(settings.zone.text());
                    ++entries;
                }
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(deployment, std::size_t{7}, entries);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(deployment, std::size_t{3}, controls);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(deployment, std::size_t{3}, zones.size());
            for (const auto &[region, names] : zones)
                CPPUNIT_ASSERT_EQUAL_MESSAGE(region, std::size_t{2}, names.size());
        }
    }

    // Guards against a file that ends the process other than by a numbered refusal.
    void arbitraryTextIsRefusedOrLoadedButNeverCrashes()
    {
        const bool held = rc::check([] {
            std::string text = *rc::gen::element(entryText, controlText);
            const auto edits =
                *rc::gen::container<std::vector<std::pair<std::size_t, std::string>>>(rc::gen::pair(
                    rc::gen::arbitrary<std::size_t>(),
                    rc::gen::oneOf(rc::gen::string<std::string>(),
                                   rc::gen::element<std::string>(
                                       "[", "]", "=", "\n", "\r", " ", ";", "\n[limits]\n",
                                       "id = ", "18446744073709551616", "1e309 h"))));
            for (const auto &[place, inserted] : edits)
                text.replace(place % (text.size() + 1), inserted.size() / 2, inserted);
            const auto outcome = [&text](auto parse) {
                try {
                    static_cast<void>(parse("x.ini", text));
                    return result_code::ok;
                } catch (const error &fault) {
                    return fault.code();
                }
            };
            const std::set<result_code> allowed{result_code::ok, result_code::settings_invalid};
            RC_ASSERT(allowed.contains(outcome(parseEntrySettings)));
            RC_ASSERT(allowed.contains(outcome(parseControlSettings)));
        });
        CPPUNIT_ASSERT(held);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);
