#include "kingcuptiller/values/error.h"
#include "kingcuptiller/values/result_code.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

using namespace kingcuptiller;

namespace {

std::string documentedCodes()
{
    std::ifstream file(KCT_SOURCE_DIR "/docs/result-codes.md");
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

class result_code_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(result_code_test);
    CPPUNIT_TEST(everyCodeIsDocumentedWithItsNumber);
    CPPUNIT_TEST(everyDocumentedCodeExists);
    CPPUNIT_TEST(numbersAndNamesAreUnique);
    CPPUNIT_TEST(namesCanBeReadBack);
    CPPUNIT_TEST(exitStatusFitsOneByteAndIsZeroOnlyForOk);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a new code that the page for operators does not explain.
    void everyCodeIsDocumentedWithItsNumber()
    {
        const std::string page = documentedCodes();
        for (const result_code code : allResultCodes()) {
            const std::string row = "| " + std::to_string(static_cast<int>(code)) + " | `"
                + std::string(name(code)) + "` | " + std::string(advice(code)) + " |";
            CPPUNIT_ASSERT_MESSAGE("docs/result-codes.md lacks the row: " + row,
                                   page.find(row) != std::string::npos);
        }
    }

    // Guards against a row that outlives its code.
    void everyDocumentedCodeExists()
    {
        const std::string page = documentedCodes();
        const std::regex row(R"(\| (\d+) \| `(\w+)` \|)");
        std::size_t rows = 0;
        for (auto match = std::sregex_iterator(page.begin(), page.end(), row);
             match != std::sregex_iterator(); ++match, ++rows) {
            const result_code code = resultCodeFromName((*match)[2].str());
            CPPUNIT_ASSERT_EQUAL_MESSAGE((*match)[2].str(), (*match)[1].str(),
                                         std::to_string(static_cast<int>(code)));
        }
        CPPUNIT_ASSERT_EQUAL(allResultCodes().size(), rows);
    }

    // Guards against a number or a name that is given out twice.
    void numbersAndNamesAreUnique()
    {
        std::set<int> numbers;
        std::set<std::string> names;
        for (const result_code code : allResultCodes()) {
            CPPUNIT_ASSERT(numbers.insert(static_cast<int>(code)).second);
            CPPUNIT_ASSERT(names.insert(std::string(name(code))).second);
        }
    }

    // Guards against a code that is sent by name and not understood by the receiver.
    void namesCanBeReadBack()
    {
        for (const result_code code : allResultCodes())
            CPPUNIT_ASSERT(resultCodeFromName(name(code)) == code);
        CPPUNIT_ASSERT_THROW(static_cast<void>(resultCodeFromName("no such code")), error);
    }

    // Guards against an error that a script reads as success.
    void exitStatusFitsOneByteAndIsZeroOnlyForOk()
    {
        for (const result_code code : allResultCodes()) {
            const int status = exitStatus(code);
            CPPUNIT_ASSERT(status >= 0 && status < 126);
            CPPUNIT_ASSERT_EQUAL(code == result_code::ok, status == 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(result_code_test);
