#include "tests/platform/platform_processes.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace kingcuptiller {

namespace {

constexpr int trafficPort = 18'080;
constexpr int readyPort = 18'081;
constexpr int controlPort = 18'082;
constexpr int directoryPort = 18'083;
constexpr int metricsPort = 18'084;
constexpr int internalPort = 18'085;
constexpr int upstreamPort = 18'086;
constexpr std::size_t regionCount = 3;
// The more hosts of one kind there are, the more addresses must be free.
constexpr std::size_t hostsOfAKind = 12;
constexpr std::chrono::milliseconds exitPollInterval{5};

// The program under test: the one built beside this test, unless the environment names another.
std::string programPath()
{
    // NOLINTNEXTLINE(concurrency-mt-unsafe): nothing changes the environment
    if (const char *const chosen = std::getenv("KCT_PLATFORM_PROGRAM"))
        return chosen;
    const auto self = std::filesystem::read_symlink("/proc/self/exe");
    return (self.parent_path().parent_path() / "bin" / "kingcuptiller-platform").string();
}

std::string regionOf(std::size_t number)
{
    return fmt::format("region-{}", number % regionCount);
}

// Where the settings and logs of the processes stay after a run; empty when nowhere.
std::string keptFolder()
{
    // NOLINTNEXTLINE(concurrency-mt-unsafe): nothing changes the environment
    const char *const chosen = std::getenv("KCT_SOAK_LOGS");
    return chosen == nullptr ? std::string() : chosen;
}

} // namespace

platform_process::platform_process(const std::string &name, std::string role,
                                   const std::string &settings, const std::string &folder)
    : m_program(programPath())
    , m_role(std::move(role))
    , m_settingsPath(folder + "/" + name + ".ini")
    , m_logPath(folder + "/" + name + ".log")
{
    std::ofstream(m_settingsPath) << settings;
}

platform_process::platform_process(platform_process &&other) noexcept
    : m_program(std::move(other.m_program))
    , m_role(std::move(other.m_role))
    , m_settingsPath(std::move(other.m_settingsPath))
    , m_logPath(std::move(other.m_logPath))
    , m_pid(std::exchange(other.m_pid, 0))
    , m_descriptorLimit(other.m_descriptorLimit)
{
}

platform_process::~platform_process()
{
    kill();
}

void platform_process::start()
{
    std::array<char *, 5> arguments = {m_program.data(), const_cast<char *>("--config"),
                                       m_settingsPath.data(), m_role.data(), nullptr};
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (m_descriptorLimit > 0) {
        const rlimit limit{m_descriptorLimit, m_descriptorLimit};
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    const int log = ::open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
}

void platform_process::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = 0;
}

void platform_process::editSettings(const std::string &from, const std::string &to) const
{
    std::ostringstream text;
    text << std::ifstream(m_settingsPath).rdbuf();
    std::string settings = text.str();
    settings.replace(settings.find(from), from.size(), to);
    std::ofstream(m_settingsPath) << settings;
}

void platform_process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

std::optional<int> platform_process::waitForExit(std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    int status = 0;
    while (m_pid > 0) {
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = 0;
            return WIFEXITED(status) ? std::optional<int>(WEXITSTATUS(status)) : std::nullopt;
        }
        if (std::chrono::steady_clock::now() >= until)
            return std::nullopt;
        std::this_thread::sleep_for(exitPollInterval);
    }
    return std::nullopt;
}

bool platform_process::isRunning() const
{
    return m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == 0;
}

std::uint64_t platform_process::peakResidentBytes() const
{
    std::ifstream status(fmt::format("/proc/{}/status", m_pid));
    std::string word;
    std::uint64_t kibibytes = 0;
    while (status >> word) {
        if (word == "VmHWM:" && status >> kibibytes)
            return kibibytes * 1'024;
    }
    return 0;
}

std::size_t platform_process::openDescriptors() const
{
    const auto files = std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", m_pid));
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

platform_processes::platform_processes(std::size_t controls, std::size_t entries,
                                       std::string memory, std::string shutdownLimit)
    : m_memory(std::move(memory))
    , m_shutdownLimit(std::move(shutdownLimit))
    , m_founders(controls)
{
    std::random_device random;
    constexpr int mostTries = 100;
    for (int i = 0; i < mostTries && (i == 0 || !isNetworkFree()); ++i)
        m_network = fmt::format("127.{}.{}", 20 + random() % 200, random() % 250);
    for (std::size_t i = 0; i < controls; ++i)
        m_controls.emplace_back(fmt::format("control-{}", i), "control",
                                settingsOf(host_kind::control, i), m_folder.path);
    for (std::size_t i = 0; i < entries; ++i)
        m_entries.emplace_back(fmt::format("entry-{}", i), "entry", settingsOf(host_kind::entry, i),
                               m_folder.path);
}

platform_processes::~platform_processes()
{
    m_entries.clear();
    m_controls.clear();
    if (!keptFolder().empty())
        std::filesystem::copy(m_folder.path,
                              keptFolder() + m_folder.path.substr(m_folder.path.rfind('/')),
                              std::filesystem::copy_options::recursive);
}

void platform_processes::start(std::size_t firstLateEntry)
{
    for (platform_process &each : m_controls)
        each.start();
    for (std::size_t i = 0; i < firstLateEntry; ++i)
        m_entries.at(i).start();
}

tcp_endpoint platform_processes::endpoint(host_kind kind, std::size_t number, int port) const
{
    return parseTcpEndpoint(
        fmt::format("{}.{}:{}", m_network, static_cast<std::size_t>(kind) * 20 + number, port));
}

tcp_endpoint platform_processes::controlEndpoint(std::size_t number) const
{
    return endpoint(host_kind::control, number, controlPort);
}

tcp_endpoint platform_processes::trafficEndpoint(std::size_t number) const
{
    return endpoint(host_kind::entry, number, trafficPort);
}

tcp_endpoint platform_processes::upstreamEndpoint(std::size_t number) const
{
    return endpoint(host_kind::upstream, number, upstreamPort);
}

tcp_endpoint platform_processes::readyEndpoint(std::size_t number) const
{
    return endpoint(host_kind::entry, number, readyPort);
}

tcp_endpoint platform_processes::directoryEndpoint(std::size_t number) const
{
    return endpoint(host_kind::entry, number, directoryPort);
}

tcp_endpoint platform_processes::internalEndpoint(std::size_t number) const
{
    return endpoint(host_kind::control, number, internalPort);
}

std::string platform_processes::zoneOf(std::size_t number)
{
    return fmt::format("zone-{}", number % regionCount);
}

bool platform_processes::isNetworkFree() const
{
    boost::asio::io_context context;
    for (const host_kind kind : {host_kind::control, host_kind::entry, host_kind::upstream}) {
        for (std::size_t number = 0; number < hostsOfAKind; ++number) {
            for (int port = trafficPort; port <= upstreamPort; ++port) {
                boost::asio::ip::tcp::acceptor acceptor(context, boost::asio::ip::tcp::v4());
                boost::system::error_code problem;
                acceptor.bind(endpoint(kind, number, port), problem);
                if (problem)
                    return false;
            }
        }
    }
    return true;
}

std::string platform_processes::settingsOf(host_kind kind, std::size_t number) const
{
    const bool isControl = kind == host_kind::control;
    const auto listen = [&](bool serves, int port) {
        if (!serves)
            return std::string();
        const tcp_endpoint where = endpoint(kind, number, port);
        return fmt::format("{}:{}", where.address().to_string(), where.port());
    };
    std::string zones;
    for (std::size_t i = 0; i < regionCount; ++i)
        zones += fmt::format("  {}={},\n", zoneOf(i), regionOf(i));
    std::string seeds;
    for (std::size_t i = 0; i < m_founders; ++i) {
        const tcp_endpoint seed = endpoint(host_kind::control, i, controlPort);
        seeds += fmt::format("{}{}:{}", i > 0 ? "," : "", seed.address().to_string(), seed.port());
    }
    return fmt::format(
        "[host]\nname = {}-{}\naddress = {}\nzone = {}\nregion = {}\n\n[places]\nzones =\n{}\n"
        "[listen]\ntraffic = {}\nready = {}\ncontrol = {}\ndirectory = {}\nmetrics = {}\n"
        "internal_port = {}\n\n[control]\nseeds = {}\nfounding = true\ndata_folder = {}\n\n"
        "[process]\nshutdown_limit = {}\nmemory = {}\n\n[directory]\nlongest_lifetime = 5 s\n\n"
        "[retries]\nshare = 0.2\nslack = 64\nwindow = 10 s\n\n[steering]\nlargest_shift = 0.15\n",
        isControl ? "control" : "entry", number,
        endpoint(kind, number, internalPort).address().to_string(), zoneOf(number),
        regionOf(number), zones, listen(!isControl, trafficPort), listen(!isControl, readyPort),
        listen(isControl, controlPort), listen(!isControl, directoryPort),
        listen(true, metricsPort), internalPort, seeds,
        isControl ? fmt::format("{}/control-{}-data", m_folder.path, number) : std::string(),
        m_shutdownLimit, m_memory);
}

} // namespace kingcuptiller
