#pragma once

#include "kingcuptiller/relay/http_types.h"
#include "tests/support/temporary_folder.h"

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kingcuptiller {

// A control host or an entry: the program `kingcuptiller-platform` in a process of its own, which
// is killed at the end. Start it in the main thread only: it ends with the thread that started it.
class platform_process
{
public:
    // `role` is "control" or "entry". The settings and the log are files in `folder`.
    platform_process(const std::string &name, std::string role, const std::string &settings,
                     const std::string &folder);
    ~platform_process();
    platform_process(platform_process &&other) noexcept;
    platform_process(const platform_process &) = delete;
    platform_process &operator=(const platform_process &) = delete;

    void start();
    // Kills the process without notice.
    void kill();
    // Sends a signal such as SIGTERM.
    void signal(int number) const;
    // Waits until the process has ended by itself, for at most `limit`. Returns its exit status, or
    // nothing if it still runs or a signal has ended it.
    [[nodiscard]] std::optional<int> waitForExit(std::chrono::milliseconds limit);
    // Replaces a text in its settings file.
    void editSettings(const std::string &from, const std::string &to) const;
    [[nodiscard]] const std::string &settingsPath() const { return m_settingsPath; }
    // Lets the process have at most `count` open files from its next start on.
    void limitDescriptors(std::size_t count) { m_descriptorLimit = count; }

    [[nodiscard]] bool isRunning() const;
    // The largest resident memory of the process so far, and the files that it has open now.
    [[nodiscard]] std::uint64_t peakResidentBytes() const;
    [[nodiscard]] std::size_t openDescriptors() const;

private:
    std::string m_program;
    std::string m_role;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_pid = 0;
    // 0 for the limit of this process.
    std::size_t m_descriptorLimit = 0;
};

// Control hosts and entries on loopback addresses that nobody else uses. Host i of each kind is in
// the region i modulo 3. With KCT_SOAK_LOGS=FOLDER in the environment, the settings and logs stay
// in a new folder there.
class platform_processes
{
public:
    // `memory` is the memory setting of each process, such as "256 MiB", and `shutdownLimit` how
    // long it may take to end after SIGTERM, such as "6 s".
    platform_processes(std::size_t controls, std::size_t entries, std::string memory = "256 MiB",
                       std::string shutdownLimit = "6 s");
    ~platform_processes();
    platform_processes(const platform_processes &) = delete;
    platform_processes &operator=(const platform_processes &) = delete;

    // Starts all processes but the entries from `firstLateEntry` on.
    void start(std::size_t firstLateEntry);

    [[nodiscard]] platform_process &control(std::size_t number) { return m_controls.at(number); }
    [[nodiscard]] platform_process &entry(std::size_t number) { return m_entries.at(number); }
    // Where control hosts take calls, entries requests, and stand-in upstreams listen.
    [[nodiscard]] tcp_endpoint controlEndpoint(std::size_t number) const;
    [[nodiscard]] tcp_endpoint trafficEndpoint(std::size_t number) const;
    [[nodiscard]] tcp_endpoint upstreamEndpoint(std::size_t number) const;
    // Where an entry says whether it is ready, and answers the look-ups of clients.
    [[nodiscard]] tcp_endpoint readyEndpoint(std::size_t number) const;
    [[nodiscard]] tcp_endpoint directoryEndpoint(std::size_t number) const;
    // Where a control host takes connections of other hosts and entries.
    [[nodiscard]] tcp_endpoint internalEndpoint(std::size_t number) const;
    [[nodiscard]] static std::string zoneOf(std::size_t number);
    [[nodiscard]] std::size_t controlCount() const { return m_controls.size(); }
    [[nodiscard]] std::size_t entryCount() const { return m_entries.size(); }

private:
    enum class host_kind : std::uint8_t { control = 1, entry = 2, upstream = 3 };

    [[nodiscard]] tcp_endpoint endpoint(host_kind kind, std::size_t number, int port) const;
    [[nodiscard]] bool isNetworkFree() const;
    [[nodiscard]] std::string settingsOf(host_kind kind, std::size_t number) const;

    temporary_folder m_folder;
    std::string m_network;
    std::string m_memory;
    std::string m_shutdownLimit;
    std::size_t m_founders;
    std::vector<platform_process> m_controls;
    std::vector<platform_process> m_entries;
};

} // namespace kingcuptiller
