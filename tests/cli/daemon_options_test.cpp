#include "kingcuptiller/cli/daemon_options.h"
#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

daemon_options parse(daemon_kind kind, std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "daemon");
    arguments.push_back(nullptr);
    return parseDaemonOptions(kind, static_cast<int>(arguments.size()) - 1, arguments.data());
}

} // namespace

class daemon_options_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(daemon_options_test);
    CPPUNIT_TEST(optionsAreRead);
    CPPUNIT_TEST(faultyCommandLinesAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an option that is accepted but has no effect.
    void optionsAreRead()
    {
        const daemon_options entry = parse(daemon_kind::entry, {"--config", "a.ini", "--check"});
        CPPUNIT_ASSERT_EQUAL(std::string("a.ini"), entry.configFile);
        CPPUNIT_ASSERT(entry.check && !entry.init && entry.help.empty());
        const daemon_options control = parse(daemon_kind::control, {"-c", "b.ini", "--init"});
        CPPUNIT_ASSERT(control.init && !control.check);
        CPPUNIT_ASSERT(!parse(daemon_kind::entry, {"--help"}).help.empty());
    }

    // Guards against a misspelt option that is ignored, and --init where it means nothing.
    void faultyCommandLinesAreRefused()
    {
        const std::vector<std::vector<const char *>> faulty{{},
                                                            {"--check"},
                                                            {"--config"},
                                                            {"--config", "a", "extra"},
                                                            {"--config", "a", "--init"},
                                                            {"--config", "a", "--chek"}};
        for (const auto &each : faulty) {
            try {
                static_cast<void>(parse(daemon_kind::entry, each));
                CPPUNIT_FAIL("accepted: " + std::string(each.empty() ? "" : each.back()));
            } catch (const error &fault) {
                CPPUNIT_ASSERT(fault.code() == result_code::command_line_invalid);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_options_test);
