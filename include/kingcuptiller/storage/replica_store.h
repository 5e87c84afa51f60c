#pragma once

#include "kingcuptiller/storage/disk.h"
#include "kingcuptiller/storage/log_record.h"
#include "kingcuptiller/storage/replica_identity.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace kingcuptiller {

struct store_options
{
    // The control host that this process is.
    host_id host;
    // The process was started with --init: an empty folder is marked as founding. A folder that
    // already holds a replica is then refused with `data_folder_not_founding`, unless it is still
    // founding itself.
    bool founding = false;
    // Returns a new random text for each call, for incarnations.
    std::function<std::string()> drawIncarnation;
};

// How the data folder was found.
enum class folder_state { created, recovered, damaged };

// The current term and the candidate that got this replica's vote in it.
struct term_vote
{
    epoch_number term;
    std::optional<replica_identity> candidate;

    bool operator==(const term_vote &) const = default;
};

// The replicated state up to and including the entry at `index`.
struct stored_snapshot
{
    log_index index;
    epoch_number term;
    // The membership in force at `index`, as the membership entries write it.
    std::string membership;
    // The owner's bytes.
    std::string state;

    bool operator==(const stored_snapshot &) const = default;
};

// What a replica keeps in its data folder: identity, term and vote, the log and one snapshot. The
// log is also held in memory. `append` and `saveVote` only collect; `sync` makes everything that
// was collected durable with one write and one sync. A replica must not tell anyone of an entry or
// a vote before `sync` returned.
//
// A disk error throws `error` with `disk_failed`; the store then refuses every further change,
// because after a failed sync only reading the files again (a restart) shows what is durable.
class replica_store
{
public:
    // Opens the folder, or makes an identity in an empty one. A damaged folder is moved aside (its
    // files are renamed to "damaged-<n>-<name>" and kept) and gets a new identity. Throws `error`
    // with `data_folder_wrong_host`, `data_folder_not_founding` or `disk_failed`.
    replica_store(disk files, store_options options);

    // Moves everything aside and starts under a new incarnation, for a replica that was told that
    // its identity has been superseded. The owner must then build a new `replica`.
    void abandon();

    [[nodiscard]] const replica_identity &identity() const { return m_identity; }
    [[nodiscard]] bool founding() const { return m_founding; }
    [[nodiscard]] folder_state state() const { return m_state; }
    // Why the folder was found damaged; empty otherwise.
    [[nodiscard]] const std::string &damage() const { return m_damage; }

    [[nodiscard]] const term_vote &vote() const { return m_vote; }
    void saveVote(const term_vote &vote);

    // The log holds the entries in (baseIndex, lastIndex].
    [[nodiscard]] log_index baseIndex() const { return m_base.index; }
    [[nodiscard]] log_index lastIndex() const;
    // The term of the entry at `index`, which must be in [baseIndex, lastIndex].
    [[nodiscard]] epoch_number termAt(log_index index) const;
    // The entry at `index`, which must be in (baseIndex, lastIndex].
    [[nodiscard]] const log_record &entry(log_index index) const;
    // Adds an entry. Its index must be in (baseIndex, lastIndex + 1]; entries from there on are
    // replaced.
    void append(const log_record &entry);

    // True when something was collected since the last sync.
    [[nodiscard]] bool dirty() const { return !m_pending.empty(); }
    void sync();

    // Index of the stored snapshot; 0 when there is none.
    [[nodiscard]] log_index snapshotIndex() const { return m_snapshotIndex; }
    [[nodiscard]] epoch_number snapshotTerm() const { return m_snapshotTerm; }
    [[nodiscard]] std::size_t snapshotBytes() const { return m_snapshotBytes; }
    // Payload bytes of the entries after the snapshot.
    [[nodiscard]] std::size_t bytesSinceSnapshot() const { return m_bytesSinceSnapshot; }
    // Reads the snapshot file. There must be a snapshot.
    [[nodiscard]] stored_snapshot readSnapshot() const;
    // Stores a snapshot durably and drops the entries up to `keepAfter`, which is at most the
    // snapshot's index. Entries that contradict the snapshot are dropped too.
    void saveSnapshot(const stored_snapshot &snapshot, log_index keepAfter);

private:
    void open();
    void recover();
    void recoverLog();
    void recoverSnapshot();
    void checkOwner() const;
    void createIdentity(bool founding);
    void moveAside();
    void adoptSnapshotPosition(log_index keepAfter);
    void insert(const log_record &entry);
    void rewriteLog();
    void guarded(const std::function<void()> &change);

    disk m_files;
    store_options m_options;
    replica_identity m_identity;
    bool m_founding = false;
    folder_state m_state = folder_state::created;
    std::string m_damage;
    term_vote m_vote;
    log_record m_base;
    std::deque<log_record> m_entries;
    std::string m_pending;
    log_index m_snapshotIndex;
    epoch_number m_snapshotTerm;
    std::size_t m_snapshotBytes = 0;
    std::size_t m_bytesSinceSnapshot = 0;
    bool m_failed = false;
};

} // namespace kingcuptiller
