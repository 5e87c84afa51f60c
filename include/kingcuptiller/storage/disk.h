#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuptiller {

// The files of one data folder, as hooks. File names are plain names without a folder. Nothing is
// durable before its sync: bytes need `sync`, and creations, renames and removals need
// `syncFolder`. Every hook throws `error` with `disk_failed` when the system refuses. After a
// failed `append` or `sync` the content of the file is unknown until it has been read again.
//
//     disk files = posixDisk("/var/lib/kingcuptiller");
//     files.append("log", bytes);
//     files.sync("log");
struct disk
{
    // The names of all files in the folder, sorted; without the lock file.
    std::function<std::vector<std::string>()> list;
    // The whole content of a file.
    std::function<std::string(const std::string &name)> read;
    // Adds bytes to the end of a file, which is created when it does not exist.
    std::function<void(const std::string &name, std::string_view bytes)> append;
    std::function<void(const std::string &name)> sync;
    // Replaces `to` when it exists.
    std::function<void(const std::string &from, const std::string &to)> rename;
    std::function<void(const std::string &name, std::uint64_t size)> truncate;
    std::function<void(const std::string &name)> remove;
    std::function<void()> syncFolder;
};

// The files in `folder`, which is created when it does not exist. The folder stays locked for as
// long as a copy of the result lives; throws `error` with `data_folder_in_use` when another process
// holds the lock, and with `disk_failed` when the folder cannot be opened.
[[nodiscard]] disk posixDisk(const std::string &folder);

// Replaces a file so that after a crash either the former or the new content is there.
void replaceFile(const disk &files, const std::string &name, std::string_view bytes);

} // namespace kingcuptiller
