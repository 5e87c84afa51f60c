#include "kingcuptiller/consensus/membership.h"
#include "kingcuptiller/consensus/peer_message.h"
#include "kingcuptiller/values/error.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace kingcuptiller;

namespace {

const replica_identity sender{host_id("control-0"), incarnation_id("i1")};
const replica_identity receiver{host_id("control-1"), incarnation_id("i2")};

std::string anyText()
{
    // UTF-8 characters of one to four bytes, and characters that JSON escapes.
    static const std::vector<std::string> characters = {"a",
                                                        "\"",
                                                        "\\",
                                                        "/",
                                                        "\n",
                                                        std::string(1, '\0'),
                                                        "\x7f",
                                                        "\xc3\xa9",
                                                        "\xe2\x82\xac",
                                                        "\xf0\x9f\x98\x80"};
    std::string text;
    for (const std::uint8_t choice : *rc::gen::arbitrary<std::vector<std::uint8_t>>())
        text += characters[choice % characters.size()];
    return text;
}

std::uint64_t anyNumber()
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

append_request anyAppend()
{
    append_request body;
    body.previousIndex = log_index(anyNumber() / 2);
    body.previousTerm = epoch_number(anyNumber());
    for (std::uint64_t number = 1; number <= *rc::gen::inRange<std::uint64_t>(0, 5); ++number)
        body.entries.push_back({record_kind::command, epoch_number(anyNumber()),
                                log_index(body.previousIndex.number() + number), anyText()});
    body.committed = log_index(anyNumber());
    body.sentAt = *rc::gen::arbitrary<std::int64_t>();
    return body;
}

peer_message anyMessage()
{
    const std::string membershipText = encodeMembership(membership().with(sender).with(receiver));
    const std::string bytes = *rc::gen::arbitrary<std::string>();
    const bool flag = *rc::gen::arbitrary<bool>();
    const log_index index(anyNumber());
    const epoch_number term(anyNumber());
    const std::int64_t sentAt = *rc::gen::arbitrary<std::int64_t>();
    const std::vector<peer_message_body> bodies = {
        vote_request{flag, index, term},
        vote_response{flag, !flag},
        anyAppend(),
        append_response{flag, index, sentAt},
        snapshot_chunk{index, term, membershipText, 10, 10 + bytes.size(), bytes, sentAt},
        snapshot_response{index, anyNumber(), flag, sentAt},
        join_request{flag, {host_id("control-0"), host_id(anyText())}},
        superseded_notice{}};
    return {sender, receiver, term, *rc::gen::elementOf(bodies)};
}

// Returns `ok` if `text` decodes to a message, or the code of the error that decoding throws.
result_code decodingResult(const std::string &text)
{
    try {
        static_cast<void>(decodePeerMessage(text));
    } catch (const error &refusal) {
        return refusal.code();
    }
    return result_code::ok;
}

} // namespace

class peer_message_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_message_test);
    CPPUNIT_TEST(messagesSurviveEncodingAndDecoding);
    CPPUNIT_TEST(arbitraryTextIsDecodedOrRejectedWithErrorCode);
    CPPUNIT_TEST(malformedMessagesAreRejected);
    CPPUNIT_TEST(largestAppendFitsIntoOneMessage);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against commands that encoding and decoding change, so that replicas would store
    // different commands.
    void messagesSurviveEncodingAndDecoding()
    {
        CPPUNIT_ASSERT(rc::check("codec", [] {
            const peer_message message = anyMessage();
            RC_ASSERT(decodePeerMessage(encodePeerMessage(message)) == message);
        }));
    }

    // Guards against a crash on input that is not a valid message.
    void arbitraryTextIsDecodedOrRejectedWithErrorCode()
    {
        CPPUNIT_ASSERT(rc::check("parser", [](const std::string &randomText) {
            std::string text = encodePeerMessage(anyMessage());
            const auto change = [&] { return *rc::gen::inRange<std::size_t>(0, text.size()); };
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                text = randomText;
                break;
            case 1:
                text[change()] ^= 1;
                break;
            case 2:
                text.resize(change());
                break;
            default:
                text.insert(change(), randomText);
            }
            const result_code code = decodingResult(text);
            RC_ASSERT(code == result_code::ok || code == result_code::message_malformed);
        }));
    }

    // Guards against decoding a message whose fields have a wrong type, range or size.
    void malformedMessagesAreRejected()
    {
        struct row
        {
            std::string from;
            std::string to;
        };
        const std::string good = encodePeerMessage(
            {sender, receiver, epoch_number(7),
             snapshot_chunk{log_index(5), epoch_number(6), R"({"voters":[]})", 3, 9, "abc", 1}});
        CPPUNIT_ASSERT(result_code::ok == decodingResult(good));
        for (const row &row : std::vector<struct row>{{"\"term\":7", "\"term\":-7"},
                                                      {"\"term\":7", "\"term\":7.5"},
                                                      {"\"term\":7", "\"term\":\"7\""},
                                                      {"\"offset\":3", "\"offset\":7"},
                                                      {"\"totalBytes\":9", "\"totalBytes\":5"},
                                                      {"\"totalBytes\":9", "\"totalBytes\":1e300"},
                                                      {"YWJj", "YWJ"},
                                                      {"YWJj", "Y(Jj"},
                                                      {"voters", "others"},
                                                      {"snapshot_part", "snapshot"},
                                                      {"\"body\"", "\"corpus\""},
                                                      {"control-0\"", "control-0\",\"x\":["}}) {
            std::string text = good;
            text.replace(text.find(row.from), row.from.size(), row.to);
            CPPUNIT_ASSERT_MESSAGE(text, result_code::message_malformed == decodingResult(text));
        }
        CPPUNIT_ASSERT(result_code::message_malformed == decodingResult(std::string(100'000, '[')));
        CPPUNIT_ASSERT(result_code::message_too_large
                       == decodingResult(good + std::string(maximumPeerMessageBytes, ' ')));
    }

    // Guards against an append that exceeds the message size limit: every follower would reject it,
    // and no further entry could be committed.
    void largestAppendFitsIntoOneMessage()
    {
        for (const std::string character : {"x", "\"", "\x01", "\xc3\xa9", "\xf0\x9f\x98\x80"}) {
            std::string command;
            const std::size_t bytes = commandJsonBytesUpperBound(character) - 2;
            while (command.size() / character.size() < (maximumAppendJsonBytes - 2) / bytes)
                command += character;
            CPPUNIT_ASSERT(commandJsonBytesUpperBound(command) <= maximumAppendJsonBytes);
            append_request body;
            body.entries.push_back({record_kind::command, epoch_number(1), log_index(1), command});
            const std::string text = encodePeerMessage({sender, receiver, epoch_number(1), body});
            CPPUNIT_ASSERT(text.size() <= maximumPeerMessageBytes);
            CPPUNIT_ASSERT(decodePeerMessage(text).body == peer_message_body(body));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_message_test);
