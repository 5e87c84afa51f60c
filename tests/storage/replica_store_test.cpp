#include "kingcuptiller/storage/replica_store.h"
#include "kingcuptiller/values/error.h"
#include "tests/storage/fake_disk.h"
#include "tests/support/temporary_folder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace kingcuptiller;
using kingcuptiller::testing::fake_disk;

namespace {

int incarnations = 0;

store_options optionsFor(const std::string &host, bool founding = false)
{
    return {host_id(host), founding, [] { return "i" + std::to_string(++incarnations); }};
}

log_record command(std::uint64_t index, std::uint64_t term, const std::string &payload)
{
    return {record_kind::command, epoch_number(term), log_index(index), payload};
}

std::vector<log_record> entriesOf(const replica_store &store)
{
    std::vector<log_record> entries;
    for (log_index index = store.baseIndex().next(); index <= store.lastIndex();
         index = index.next())
        entries.push_back(store.entry(index));
    return entries;
}

// The code that an action ends with; ok when it throws nothing.
result_code codeOf(const std::function<void()> &action)
{
    try {
        action();
    } catch (const error &failure) {
        return failure.code();
    }
    return result_code::ok;
}

result_code openingCode(fake_disk &files, const store_options &options)
{
    return codeOf([&] { const replica_store store(files.hooks(), options); });
}

// A store with a snapshot up to entry 5 and synced entries up to `entries`.
void fill(fake_disk &files, std::uint64_t entries)
{
    replica_store store(files.hooks(), optionsFor("a"));
    store.saveVote({epoch_number(1), store.identity()});
    for (std::uint64_t index = 1; index <= entries; ++index)
        store.append(command(index, 1, "entry " + std::to_string(index)));
    store.saveSnapshot({log_index(5), epoch_number(1), R"({"voters":[]})", "state"}, log_index(3));
    store.sync();
}

} // namespace

class replica_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_store_test);
    CPPUNIT_TEST(aCrashKeepsWhatWasSyncedAndAPrefixOfTheRest);
    CPPUNIT_TEST(everyFlippedBitLeadsToANewIdentity);
    CPPUNIT_TEST(anIncompleteLastRecordIsNoDamage);
    CPPUNIT_TEST(missingAndForeignFilesAreDamage);
    CPPUNIT_TEST(damagedFilesAreKept);
    CPPUNIT_TEST(aCrashWhileASnapshotIsStoredKeepsOldOrNew);
    CPPUNIT_TEST(foldersOfOthersAreRefusedWithTheirCode);
    CPPUNIT_TEST(aFailedWriteClosesTheStore);
    CPPUNIT_TEST(theRealDiskKeepsEverything);
    CPPUNIT_TEST(theRealDiskLocksItsFolder);
    CPPUNIT_TEST(anyBytesAreParsedOrRefusedWithACode);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an entry or a vote that was promised and is gone after a power failure, and
    // against torn bytes that are read as an entry or as damage.
    void aCrashKeepsWhatWasSyncedAndAPrefixOfTheRest()
    {
        CPPUNIT_ASSERT(rc::check("crash", [](std::uint32_t seed, std::uint8_t count) {
            std::mt19937_64 random(seed);
            fake_disk files;
            auto store = std::make_unique<replica_store>(files.hooks(), optionsFor("a"));
            const replica_identity identity = store->identity();
            std::vector<log_record> written;
            term_vote vote;
            for (int round = 0; round < count; ++round) {
                const std::uint64_t last = store->lastIndex().number();
                // Sometimes replaces a part of the log, as a new leader does.
                const std::uint64_t index = 1 + last - (last > 0 ? random() % 3 % last : 0);
                vote = {epoch_number(round + 1), identity};
                store->saveVote(vote);
                store->append(command(index, round + 1, std::string(random() % 50, 'x')));
                store->append(command(index + 1, round + 1, "y"));
                const std::vector<log_record> all = entriesOf(*store);
                written.insert(written.end(), all.end() - 2, all.end());
                const bool syncs = random() % 2 == 0;
                // Otherwise the machine fails before the write, in it, or between write and sync.
                if (!syncs)
                    files.failAfter = random() % 2;
                if (syncs || random() % 3 != 0)
                    RC_ASSERT(syncs == (codeOf([&] { store->sync(); }) == result_code::ok));
                if (syncs && random() % 2 == 0)
                    continue;
                store.reset();
                files.crash(random);
                store = std::make_unique<replica_store>(files.hooks(), optionsFor("a"));
                RC_ASSERT(store->identity() == identity);
                for (const log_record &entry : entriesOf(*store))
                    RC_ASSERT(std::find(written.begin(), written.end(), entry) != written.end());
                if (syncs) {
                    RC_ASSERT(entriesOf(*store) == all);
                    RC_ASSERT(store->vote() == vote);
                }
            }
        }));
    }

    // Guards against a damaged record that is taken for a torn one or for a good one: the host
    // would vote and acknowledge with a log that lacks promised entries.
    void everyFlippedBitLeadsToANewIdentity()
    {
        fake_disk original;
        fill(original, 8);
        for (const std::string name : {"log", "snapshot", "identity"}) {
            for (std::size_t bit = 0; bit < 8 * original.content(name).size(); bit += 3) {
                fake_disk files = original.clone();
                files.flipBit(name, bit);
                const replica_store store(files.hooks(), optionsFor("a"));
                CPPUNIT_ASSERT_MESSAGE(name + " bit " + std::to_string(bit),
                                       store.state() == folder_state::damaged);
                CPPUNIT_ASSERT_EQUAL(log_index(0), store.lastIndex());
                CPPUNIT_ASSERT_EQUAL(epoch_number(0), store.vote().term);
            }
        }
    }

    // Guards against a host that needs a repair after each power failure, and against new records
    // that follow the torn one and cannot be read.
    void anIncompleteLastRecordIsNoDamage()
    {
        fake_disk original;
        fill(original, 8);
        const std::string bytes = original.content("log");
        const std::size_t complete =
            bytes.size() - recordHeaderBytes - std::string("entry 8").size();
        for (std::size_t size = complete; size < bytes.size(); ++size) {
            fake_disk files = original.clone();
            files.content("log").resize(size);
            {
                replica_store store(files.hooks(), optionsFor("a"));
                CPPUNIT_ASSERT(store.state() == folder_state::recovered);
                CPPUNIT_ASSERT_EQUAL(log_index(7), store.lastIndex());
                store.append(command(8, 2, "again"));
                store.sync();
            }
            const replica_store store(files.hooks(), optionsFor("a"));
            CPPUNIT_ASSERT_EQUAL(std::string("again"), store.entry(log_index(8)).payload);
        }
    }

    // Guards against a folder with a hole that is taken for a short but good one.
    void missingAndForeignFilesAreDamage()
    {
        for (const std::string name : {"log", "snapshot", "identity"}) {
            fake_disk files;
            fill(files, 8);
            files.hooks().remove(name);
            CPPUNIT_ASSERT_MESSAGE(name,
                                   replica_store(files.hooks(), optionsFor("a")).state()
                                       == folder_state::damaged);
        }
    }

    // Guards against destroying what could still be read by hand.
    void damagedFilesAreKept()
    {
        fake_disk files;
        for (int round = 1; round <= 2; ++round) {
            fill(files, 8);
            files.flipBit("log", 100);
            const std::string damaged = files.content("log");
            const replica_store store(files.hooks(), optionsFor("a"));
            CPPUNIT_ASSERT_EQUAL(damaged,
                                 files.content("damaged-" + std::to_string(round) + "-log"));
        }
    }

    // Guards against a crash between the steps that leaves neither the old nor the new state.
    void aCrashWhileASnapshotIsStoredKeepsOldOrNew()
    {
        for (std::size_t steps = 0; steps < 12; ++steps) {
            fake_disk files;
            fill(files, 8);
            replica_store store(files.hooks(), optionsFor("a"));
            std::mt19937_64 random(steps);
            files.failAfter = steps;
            const bool failed =
                result_code::ok != codeOf([&] {
                    store.saveSnapshot({log_index(20), epoch_number(3), "{}", "new"},
                                       log_index(20));
                });
            files.crash(random);
            const replica_store again(files.hooks(), optionsFor("a"));
            CPPUNIT_ASSERT(again.state() == folder_state::recovered);
            const stored_snapshot snapshot = again.readSnapshot();
            CPPUNIT_ASSERT(snapshot.state == "new" || (failed && snapshot.state == "state"));
            CPPUNIT_ASSERT_EQUAL(log_index(snapshot.state == "new" ? 20 : 8), again.lastIndex());
        }
    }

    // Guards against a copied folder, a wrong path in the settings and --init on a host in use.
    void foldersOfOthersAreRefusedWithTheirCode()
    {
        fake_disk files;
        CPPUNIT_ASSERT(result_code::ok == openingCode(files, optionsFor("a", true)));
        CPPUNIT_ASSERT(result_code::ok == openingCode(files, optionsFor("a", true)));
        CPPUNIT_ASSERT(result_code::data_folder_wrong_host == openingCode(files, optionsFor("b")));
        fake_disk used;
        fill(used, 8);
        CPPUNIT_ASSERT(result_code::data_folder_not_founding
                       == openingCode(used, optionsFor("a", true)));
        used.flipBit("log", 100);
        CPPUNIT_ASSERT(result_code::data_folder_damaged
                       == openingCode(used, optionsFor("a", true)));
    }

    // Guards against a store that goes on after a failed sync, when nobody knows what is durable.
    void aFailedWriteClosesTheStore()
    {
        fake_disk files;
        replica_store store(files.hooks(), optionsFor("a"));
        store.append(command(1, 1, "x"));
        files.failAfter = 0;
        CPPUNIT_ASSERT(result_code::disk_failed == codeOf([&] { store.sync(); }));
        files.failAfter.reset();
        CPPUNIT_ASSERT(result_code::disk_failed == codeOf([&] { store.sync(); }));
    }

    // Guards against the POSIX hooks differing from what the fake disk promises.
    void theRealDiskKeepsEverything()
    {
        const temporary_folder folder;
        const std::string path = folder.path + "/data";
        replica_identity identity;
        {
            replica_store store(posixDisk(path), optionsFor("a"));
            identity = store.identity();
            store.saveVote({epoch_number(4), identity});
            for (std::uint64_t index = 1; index <= 20; ++index) {
                store.append(command(index, 4, std::string(1000, 'x')));
                store.sync();
            }
            store.saveSnapshot({log_index(10), epoch_number(4), "{}", "state"}, log_index(8));
            store.append(command(21, 4, "last"));
            store.sync();
        }
        const replica_store store(posixDisk(path), optionsFor("a"));
        CPPUNIT_ASSERT(store.state() == folder_state::recovered);
        CPPUNIT_ASSERT_EQUAL(identity, store.identity());
        CPPUNIT_ASSERT_EQUAL(log_index(8), store.baseIndex());
        CPPUNIT_ASSERT_EQUAL(std::string("last"), store.entry(log_index(21)).payload);
        CPPUNIT_ASSERT_EQUAL(std::string("state"), store.readSnapshot().state);
        CPPUNIT_ASSERT(store.vote() == (term_vote{epoch_number(4), identity}));
    }

    // Guards against two processes that vote with one data folder.
    void theRealDiskLocksItsFolder()
    {
        const temporary_folder folder;
        {
            const disk first = posixDisk(folder.path);
            CPPUNIT_ASSERT(result_code::data_folder_in_use
                           == codeOf([&] { static_cast<void>(posixDisk(folder.path)); }));
        }
        CPPUNIT_ASSERT(result_code::ok
                       == codeOf([&] { static_cast<void>(posixDisk(folder.path)); }));
        CPPUNIT_ASSERT(result_code::disk_failed == codeOf([&] {
                           static_cast<void>(posixDisk(folder.path + "/missing/data"));
                       }));
    }

    // Guards against a crash or a hang of the parser on whatever a broken disk returns.
    void anyBytesAreParsedOrRefusedWithACode()
    {
        fake_disk original;
        fill(original, 8);
        CPPUNIT_ASSERT(rc::check("parser", [&](std::string bytes, bool damageGoodLog) {
            if (damageGoodLog) {
                bytes = original.content("log");
                for (int change = 0; change < 3; ++change)
                    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
                        *rc::gen::arbitrary<char>();
                bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
            }
            const result_code code =
                codeOf([&] { RC_ASSERT(parseRecords(bytes).completeBytes <= bytes.size()); });
            RC_ASSERT(code == result_code::ok || code == result_code::data_folder_damaged);
            fake_disk files = original.clone();
            files.content("log") = bytes;
            RC_ASSERT(openingCode(files, optionsFor("a")) == result_code::ok);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_store_test);
