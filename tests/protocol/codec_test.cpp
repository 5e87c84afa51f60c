#include "kingcuptiller/protocol/codec.h"
#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

using namespace kingcuptiller;

namespace {

constexpr std::size_t limitBytes = 1U << 20U;

std::string anyText()
{
    // Printable ASCII: the transport refuses anything that is not UTF-8 before the codec sees it.
    return *rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
}

template <typename Number>
Number anyNumber()
{
    return *rc::gen::inRange<Number>(0, 1'000'000);
}

entry_identity anyEntry()
{
    return {host_id(anyText()), incarnation_id(anyText()), endpoint_address(anyText()),
            region_name(anyText()), zone_name(anyText())};
}

upstream_announcement anyAnnouncement()
{
    upstream_announcement result;
    result.id = upstream_id(anyText());
    result.address = endpoint_address(anyText());
    result.workClass = class_name(anyText());
    result.slots = anyNumber<std::uint32_t>();
    result.load = anyNumber<int>() / 1024.0;
    result.lifetime = milliseconds(anyNumber<int>());
    result.leaving = *rc::gen::arbitrary<bool>();
    return result;
}

configuration anyConfiguration()
{
    configuration result;
    result.revision = revision_number(anyNumber<std::uint64_t>());
    work_class each;
    each.name = class_name(anyText());
    each.idempotent = *rc::gen::arbitrary<bool>();
    each.target = {milliseconds(anyNumber<int>()), anyNumber<std::uint32_t>(),
                   anyNumber<std::uint32_t>()};
    result.classes.push_back(each);
    result.stops.push_back({stop_id(anyText()), stop_scope::region, anyText(),
                            fromUnixMilliseconds(anyNumber<int>()),
                            fromUnixMilliseconds(anyNumber<int>())});
    return result;
}

entry_sync_request anySyncRequest()
{
    entry_sync_request result;
    result.entry = anyEntry();
    result.appliedRevision = revision_number(anyNumber<std::uint64_t>());
    result.usage.push_back({upstream_id(anyText()), incarnation_id(anyText()), 3});
    result.demand.push_back({class_name(anyText()), 1.5, 20.25});
    result.flows.push_back({class_name(anyText()), region_name("a"), region_name("b"), 7});
    result.announcements.push_back(anyAnnouncement());
    result.withdrawals.emplace_back(anyText());
    result.service.push_back(
        {class_name(anyText()), region_name("a"), 1, 2, 3, 4, {result_code::shift_cap}, {3}});
    return result;
}

entry_sync_response anySyncResponse()
{
    entry_sync_response result;
    result.lease = milliseconds(anyNumber<int>());
    if (*rc::gen::arbitrary<bool>())
        result.newConfiguration = anyConfiguration();
    if (*rc::gen::arbitrary<bool>())
        result.newAssignments = {upstream_assignment{}};
    result.entries.push_back({anyEntry(), true});
    return result;
}

settlement anySettlement()
{
    settlement result;
    result.key = request_key(anyText());
    result.kind = settlement_kind::completed;
    // Arbitrary bytes, not only text: a recorded body may be binary.
    result.answer =
        recorded_answer{201, "application/json", *rc::gen::arbitrary<std::string>(), false};
    return result;
}

template <typename Value>
bool survivesTheCodec(const Value &value)
{
    const std::string text = writeJson(toJson(value));
    return fromJson<Value>(parseJson(text, limitBytes)) == value;
}

// Changes, removes or inserts a few bytes at arbitrary places.
std::string damaged(std::string text)
{
    const int changes = *rc::gen::inRange(1, 8);
    for (int change = 0; change < changes && !text.empty(); ++change) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text[position] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(position, 1);
            break;
        default:
            text.insert(position, 1, *rc::gen::elementOf(std::string("{}[]\",:0-e\\")));
        }
    }
    return text;
}

// True when `text` is read, or refused by a numbered error; any other exception escapes.
template <typename Value>
bool readsOrRefuses(const std::string &text)
{
    try {
        static_cast<void>(fromJson<Value>(parseJson(text, limitBytes)));
    } catch (const error &refusal) {
        return refusal.code() == result_code::message_malformed;
    }
    return true;
}

} // namespace

class codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(messagesSurviveARoundTrip);
    CPPUNIT_TEST(damagedMessagesAreRefusedWithACode);
    CPPUNIT_TEST(wrongDocumentsAreRefusedWithTheFieldsName);
    CPPUNIT_TEST(tooLargeMessagesAreRefusedBeforeParsing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that is written and not read, or read with another range.
    void messagesSurviveARoundTrip()
    {
        CPPUNIT_ASSERT(
            rc::check("sync request", [] { return survivesTheCodec(anySyncRequest()); }));
        CPPUNIT_ASSERT(
            rc::check("sync response", [] { return survivesTheCodec(anySyncResponse()); }));
        CPPUNIT_ASSERT(rc::check("settlement", [] { return survivesTheCodec(anySettlement()); }));
    }

    // Guards against a crash or an unnumbered exception on a message damaged on its way.
    void damagedMessagesAreRefusedWithACode()
    {
        CPPUNIT_ASSERT(rc::check("damaged sync request", [] {
            return readsOrRefuses<entry_sync_request>(damaged(writeJson(toJson(anySyncRequest()))));
        }));
        CPPUNIT_ASSERT(rc::check("damaged settlement", [] {
            return readsOrRefuses<settlement>(damaged(writeJson(toJson(anySettlement()))));
        }));
        CPPUNIT_ASSERT(rc::check("arbitrary bytes", [](const std::string &bytes) {
            return readsOrRefuses<change_request>(bytes);
        }));
    }

    // Guards against a refusal that does not say which field is wrong.
    void wrongDocumentsAreRefusedWithTheFieldsName()
    {
        const std::vector<std::pair<std::string, std::string>> cases = {
            {R"({"id":"a"})", "base"},
            {R"({"id":1,"base":0})", "id"},
            {R"({"id":"a","base":-1})", "base"},
            {R"({"id":"a","base":0,"putClasses":{}})", "putClasses"},
            {R"({"id":"a","base":0,"putClasses":[],"removeClasses":[],"planStops":[],)"
             R"("withdrawStops":[7]})",
             "withdrawStops"},
        };
        for (const auto &[text, fieldName] : cases) {
            try {
                static_cast<void>(fromJson<change_request>(parseJson(text, limitBytes)));
                CPPUNIT_FAIL("accepted: " + text);
            } catch (const error &refusal) {
                CPPUNIT_ASSERT_MESSAGE(refusal.what(),
                                       std::string(refusal.what()).find(fieldName)
                                           != std::string::npos);
            }
        }
    }

    // Guards against the memory that parsing an oversized message would take.
    void tooLargeMessagesAreRefusedBeforeParsing()
    {
        try {
            static_cast<void>(parseJson(std::string(1001, ' '), 1000));
            CPPUNIT_FAIL("accepted 1001 bytes");
        } catch (const error &refusal) {
            CPPUNIT_ASSERT(refusal.code() == result_code::message_too_large);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);
