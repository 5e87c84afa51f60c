#include "kingcuptiller/storage/replica_store.h"

#include "kingcuptiller/values/error.h"

#include "store_payloads.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace kingcuptiller {

namespace {

constexpr const char *identityName = "identity";
constexpr const char *logName = "log";
constexpr const char *snapshotName = "snapshot";
constexpr const char *damagedPrefix = "damaged-";

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

[[noreturn]] void reportDamage(const std::string &what)
{
    throw error(result_code::data_folder_damaged, what);
}

// The files of the replica itself; removes what an interrupted replacement left behind.
std::vector<std::string> cleanedNames(const disk &files)
{
    std::vector<std::string> names;
    for (const std::string &name : files.list()) {
        if (name.ends_with(".tmp"))
            files.remove(name);
        else if (!name.starts_with(damagedPrefix))
            names.push_back(name);
    }
    return names;
}

bool isEntry(record_kind kind)
{
    return kind == record_kind::command || kind == record_kind::membership
        || kind == record_kind::empty;
}

} // namespace

replica_store::replica_store(disk files, store_options options)
    : m_files(std::move(files))
    , m_options(std::move(options))
{
    guarded([this] { open(); });
}

void replica_store::guarded(const std::function<void()> &change)
{
    if (m_failed)
        throw error(result_code::disk_failed, "the data folder is closed after a failed write");
    try {
        change();
    } catch (const error &failure) {
        m_failed = failure.code() == result_code::disk_failed;
        throw;
    }
}

void replica_store::open()
{
    if (cleanedNames(m_files).empty()) {
        createIdentity(m_options.founding);
        return;
    }
    try {
        recover();
        m_state = folder_state::recovered;
    } catch (const error &failure) {
        if (failure.code() != result_code::data_folder_damaged || m_options.founding)
            throw;
        m_damage = failure.what();
        moveAside();
        createIdentity(false);
        m_state = folder_state::damaged;
    }
}

void replica_store::recover()
{
    if (!contains(m_files.list(), identityName))
        reportDamage("the file that names the replica is missing");
    const log_record record = parseSingleRecord(m_files.read(identityName), record_kind::identity);
    const internal::identity_payload identity = internal::decodeIdentity(record.payload);
    m_identity = identity.replica;
    m_founding = identity.founding;
    checkOwner();
    recoverLog();
    recoverSnapshot();
    if (m_options.founding && (!m_founding || lastIndex() != log_index(0)))
        throw error(result_code::data_folder_not_founding,
                    "the data folder already holds a replica; start without --init");
    // Bytes that the former process wrote but did not sync were read back from memory. Writing the
    // log anew makes everything durable that this replica now takes as its log, and drops an
    // incomplete record at the end.
    rewriteLog();
}

void replica_store::checkOwner() const
{
    if (m_identity.host != m_options.host)
        throw error(result_code::data_folder_wrong_host,
                    "the data folder belongs to host " + m_identity.host.text() + ", not to "
                        + m_options.host.text());
}

void replica_store::recoverLog()
{
    if (!contains(m_files.list(), logName))
        reportDamage("the log file is missing");
    const parsed_records parsed = parseRecords(m_files.read(logName));
    if (parsed.records.empty() || parsed.records.front().kind != record_kind::base)
        reportDamage("the log file has no first record");
    m_base = parsed.records.front();
    for (std::size_t position = 1; position < parsed.records.size(); ++position) {
        const log_record &record = parsed.records[position];
        if (record.kind == record_kind::vote) {
            m_vote = internal::decodeVote(record);
        } else if (isEntry(record.kind) && record.index > m_base.index
                   && record.index <= lastIndex().next()
                   && record.term >= termAt(log_index(record.index.number() - 1))) {
            insert(record);
        } else {
            reportDamage("the log file holds a record that does not continue the log");
        }
    }
}

void replica_store::recoverSnapshot()
{
    if (contains(m_files.list(), snapshotName)) {
        const log_record record =
            parseSingleRecord(m_files.read(snapshotName), record_kind::snapshot);
        static_cast<void>(internal::decodeSnapshot(record));
        m_snapshotIndex = record.index;
        m_snapshotTerm = record.term;
        m_snapshotBytes = record.payload.size();
    }
    if (m_base.index > m_snapshotIndex)
        reportDamage("entries between the snapshot and the log are missing");
    adoptSnapshotPosition(m_base.index);
}

void replica_store::createIdentity(bool founding)
{
    m_identity = {m_options.host, incarnation_id(m_options.drawIncarnation())};
    m_founding = founding;
    m_vote = {};
    m_base = {record_kind::base, {}, {}, {}};
    m_entries.clear();
    m_pending.clear();
    m_snapshotIndex = {};
    m_snapshotTerm = {};
    m_snapshotBytes = 0;
    m_bytesSinceSnapshot = 0;
    m_state = folder_state::created;
    // The identity comes last: where it exists, the log exists too.
    rewriteLog();
    replaceFile(
        m_files, identityName,
        encodeRecord(
            {record_kind::identity, {}, {}, internal::encodeIdentity({m_identity, m_founding})}));
}

void replica_store::moveAside()
{
    std::size_t number = 1;
    const std::vector<std::string> names = m_files.list();
    const auto taken = [&](const std::string &prefix) {
        return std::any_of(names.begin(), names.end(),
                           [&](const std::string &name) { return name.starts_with(prefix); });
    };
    while (taken(damagedPrefix + std::to_string(number) + "-"))
        ++number;
    const std::string prefix = damagedPrefix + std::to_string(number) + "-";
    for (const std::string &name : names) {
        if (!name.starts_with(damagedPrefix))
            m_files.rename(name, prefix + name);
    }
    m_files.syncFolder();
}

void replica_store::abandon()
{
    guarded([this] {
        moveAside();
        createIdentity(false);
    });
}

void replica_store::saveVote(const term_vote &vote)
{
    m_vote = vote;
    m_pending += encodeRecord(internal::encodeVote(vote));
}

log_index replica_store::lastIndex() const
{
    return log_index(m_base.index.number() + m_entries.size());
}

epoch_number replica_store::termAt(log_index index) const
{
    return index == m_base.index ? m_base.term : entry(index).term;
}

const log_record &replica_store::entry(log_index index) const
{
    if (index <= m_base.index || index > lastIndex())
        throw error(result_code::internal_fault,
                    "the log has no entry " + std::to_string(index.number()));
    return m_entries[index.number() - m_base.index.number() - 1];
}

void replica_store::append(const log_record &entry)
{
    if (entry.index <= m_base.index || entry.index > lastIndex().next())
        throw error(result_code::internal_fault,
                    "entry " + std::to_string(entry.index.number()) + " does not continue the log");
    m_pending += encodeRecord(entry);
    insert(entry);
}

void replica_store::insert(const log_record &entry)
{
    while (lastIndex() >= entry.index) {
        if (lastIndex() > m_snapshotIndex)
            m_bytesSinceSnapshot -= m_entries.back().payload.size();
        m_entries.pop_back();
    }
    m_entries.push_back(entry);
    if (entry.index > m_snapshotIndex)
        m_bytesSinceSnapshot += entry.payload.size();
}

void replica_store::sync()
{
    if (m_pending.empty() && !m_failed)
        return;
    guarded([this] {
        m_files.append(logName, m_pending);
        m_files.sync(logName);
    });
    m_pending.clear();
}

stored_snapshot replica_store::readSnapshot() const
{
    return internal::decodeSnapshot(
        parseSingleRecord(m_files.read(snapshotName), record_kind::snapshot));
}

void replica_store::saveSnapshot(const stored_snapshot &snapshot, log_index keepAfter)
{
    guarded([&] {
        const log_record record = internal::encodeSnapshot(snapshot);
        replaceFile(m_files, snapshotName, encodeRecord(record));
        m_snapshotIndex = snapshot.index;
        m_snapshotTerm = snapshot.term;
        m_snapshotBytes = record.payload.size();
        adoptSnapshotPosition(std::min(keepAfter, snapshot.index));
        rewriteLog();
    });
}

void replica_store::adoptSnapshotPosition(log_index keepAfter)
{
    const bool continues = m_snapshotIndex >= m_base.index && m_snapshotIndex <= lastIndex()
        && termAt(m_snapshotIndex) == m_snapshotTerm;
    if (!continues) {
        m_entries.clear();
        m_base = {record_kind::base, m_snapshotTerm, m_snapshotIndex, {}};
    }
    while (m_base.index < keepAfter) {
        m_base = {record_kind::base, m_entries.front().term, m_entries.front().index, {}};
        m_entries.pop_front();
    }
    m_bytesSinceSnapshot = 0;
    for (const log_record &entry : m_entries) {
        if (entry.index > m_snapshotIndex)
            m_bytesSinceSnapshot += entry.payload.size();
    }
}

void replica_store::rewriteLog()
{
    std::string bytes = encodeRecord(m_base) + encodeRecord(internal::encodeVote(m_vote));
    for (const log_record &entry : m_entries)
        bytes += encodeRecord(entry);
    replaceFile(m_files, logName, bytes);
    m_pending.clear();
}

} // namespace kingcuptiller
