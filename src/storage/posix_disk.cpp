#include "kingcuptiller/storage/disk.h"
#include "kingcuptiller/values/error.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <map>
#include <memory>
#include <system_error>

namespace kingcuptiller {

namespace {

constexpr const char *lockName = "lock";

[[noreturn]] void fail(const std::string &action, const std::string &name)
{
    throw error(result_code::disk_failed,
                "cannot " + action + " " + name + ": " + std::generic_category().message(errno));
}

class file_descriptor
{
public:
    file_descriptor(int descriptor, const std::string &action, const std::string &name)
        : m_descriptor(descriptor)
    {
        if (m_descriptor < 0)
            fail(action, name);
    }
    ~file_descriptor() { ::close(m_descriptor); }
    file_descriptor(const file_descriptor &) = delete;
    file_descriptor &operator=(const file_descriptor &) = delete;

    [[nodiscard]] int get() const { return m_descriptor; }

private:
    int m_descriptor;
};

// Keeps the descriptors of the files that were appended to, so that a batch costs one write and one
// sync and no open.
class posix_folder
{
public:
    explicit posix_folder(const std::string &path)
        : m_path(path)
        , m_folder(openFolder(path), "open the folder", path)
        , m_lock(::openat(m_folder.get(), lockName, O_RDWR | O_CREAT | O_CLOEXEC, 0600),
                 "open the lock in", path)
    {
        if (::flock(m_lock.get(), LOCK_EX | LOCK_NB) != 0)
            throw error(result_code::data_folder_in_use,
                        "another process uses the data folder " + path);
    }

    [[nodiscard]] std::vector<std::string> list() const
    {
        std::vector<std::string> names;
        std::error_code failure;
        for (std::filesystem::directory_iterator entry(m_path, failure), end;
             !failure && entry != end; entry.increment(failure)) {
            if (entry->is_regular_file(failure) && entry->path().filename() != lockName)
                names.push_back(entry->path().filename());
        }
        if (failure)
            throw error(result_code::disk_failed,
                        "cannot list " + m_path + ": " + failure.message());
        std::sort(names.begin(), names.end());
        return names;
    }

    [[nodiscard]] std::string read(const std::string &name) const
    {
        const file_descriptor file(::openat(m_folder.get(), name.c_str(), O_RDONLY | O_CLOEXEC),
                                   "open", name);
        struct stat status = {};
        if (::fstat(file.get(), &status) != 0)
            fail("examine", name);
        std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t count = ::read(file.get(), bytes.data() + done, bytes.size() - done);
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0)
                fail("read", name);
            if (count == 0)
                break;
            done += static_cast<std::size_t>(count);
        }
        bytes.resize(done);
        return bytes;
    }

    void append(const std::string &name, std::string_view bytes)
    {
        const int file = opened(name);
        while (!bytes.empty()) {
            const ssize_t count = ::write(file, bytes.data(), bytes.size());
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0)
                fail("write to", name);
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
    }

    void sync(const std::string &name)
    {
        if (::fdatasync(opened(name)) != 0)
            fail("sync", name);
    }

    void rename(const std::string &from, const std::string &to)
    {
        m_files.erase(from);
        m_files.erase(to);
        if (::renameat(m_folder.get(), from.c_str(), m_folder.get(), to.c_str()) != 0)
            fail("rename", from);
    }

    void truncate(const std::string &name, std::uint64_t size)
    {
        if (::ftruncate(opened(name), static_cast<off_t>(size)) != 0)
            fail("truncate", name);
    }

    void remove(const std::string &name)
    {
        m_files.erase(name);
        if (::unlinkat(m_folder.get(), name.c_str(), 0) != 0)
            fail("remove", name);
    }

    void syncFolder() const
    {
        if (::fsync(m_folder.get()) != 0)
            fail("sync the folder", m_path);
    }

private:
    static int openFolder(const std::string &path)
    {
        if (::mkdir(path.c_str(), 0700) == 0)
            syncParent(path);
        else if (errno != EEXIST)
            fail("create the folder", path);
        return ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    }

    // Without it a power failure could remove the new folder with everything in it.
    static void syncParent(const std::string &path)
    {
        const std::string parent = std::filesystem::absolute(path).parent_path();
        const file_descriptor folder(::open(parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC),
                                     "open the folder", parent);
        if (::fsync(folder.get()) != 0)
            fail("sync the folder", parent);
    }

    int opened(const std::string &name)
    {
        auto &file = m_files[name];
        if (!file) {
            try {
                file = std::make_unique<file_descriptor>(
                    ::openat(m_folder.get(), name.c_str(),
                             O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600),
                    "open", name);
            } catch (const error &) {
                m_files.erase(name);
                throw;
            }
        }
        return file->get();
    }

    std::string m_path;
    file_descriptor m_folder;
    file_descriptor m_lock;
    std::map<std::string, std::unique_ptr<file_descriptor>> m_files;
};

} // namespace

disk posixDisk(const std::string &folder)
{
    const auto files = std::make_shared<posix_folder>(folder);
    disk result;
    result.list = [files] { return files->list(); };
    result.read = [files](const std::string &name) { return files->read(name); };
    result.append = [files](const std::string &name, std::string_view bytes) {
        files->append(name, bytes);
    };
    result.sync = [files](const std::string &name) { files->sync(name); };
    result.rename = [files](const std::string &from, const std::string &to) {
        files->rename(from, to);
    };
    result.truncate = [files](const std::string &name, std::uint64_t size) {
        files->truncate(name, size);
    };
    result.remove = [files](const std::string &name) { files->remove(name); };
    result.syncFolder = [files] { files->syncFolder(); };
    return result;
}

void replaceFile(const disk &files, const std::string &name, std::string_view bytes)
{
    const std::string temporary = name + ".tmp";
    const std::vector<std::string> names = files.list();
    if (std::binary_search(names.begin(), names.end(), temporary))
        files.remove(temporary);
    files.append(temporary, bytes);
    files.sync(temporary);
    files.rename(temporary, name);
    files.syncFolder();
}

} // namespace kingcuptiller
