#pragma once

// What the scripts of this folder share: a small deployment of `kingcuptiller-platform` on loopback
// addresses, and stand-ins for its platform, clients, backends and operator. Only POSIX sockets and
// the standard library are used.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Exit codes of a script.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

using headers = std::map<std::string, std::string>;

inline std::chrono::steady_clock::time_point &startTime()
{
    static auto start = std::chrono::steady_clock::now();
    return start;
}

// Seconds since the script began.
inline double seconds()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - startTime()).count();
}

inline void pause(double duration)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(duration, 0.0)));
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Writes one line to record.txt and, when `loud`, to standard output.
inline void record(const std::string &line, bool loud = false)
{
    static std::mutex lock;
    static std::ofstream file("record.txt", std::ios::trunc);
    const std::lock_guard guard(lock);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", seconds());
    file << time << line << std::endl;
    if (loud)
        std::printf("%s%s\n", time, line.c_str());
    std::fflush(stdout);
}

inline bool withTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

struct address
{
    std::string ip;
    int port = 0;

    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in socketAddress(const address &where)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.ip.c_str(), &result.sin_addr);
    return result;
}

inline int listenOn(const address &where)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in target = socketAddress(where);
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0
        || ::listen(listener, 256) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

inline bool waitFor(int socket, short events, double until)
{
    for (;;) {
        const double left = until - seconds();
        if (left <= 0)
            return false;
        pollfd entry{socket, events, 0};
        const int ready = ::poll(&entry, 1, static_cast<int>(left * 1'000) + 1);
        if (ready > 0)
            return true;
        if (ready < 0 && errno != EINTR)
            return false;
    }
}

// Connects within the time limit; -1 when that fails.
inline int connectTo(const address &where, double until)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in target = socketAddress(where);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        int problem = errno;
        socklen_t size = sizeof problem;
        if (problem != EINPROGRESS || !waitFor(socket, POLLOUT, until)
            || ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &problem, &size) != 0 || problem != 0) {
            ::close(socket);
            return -1;
        }
    }
    return socket;
}

inline bool sendAll(int socket, const std::string &bytes, double until)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0)
            sent += static_cast<std::size_t>(count);
        else if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            if (!waitFor(socket, POLLOUT, until))
                return false;
        } else if (errno != EINTR)
            return false;
    }
    return true;
}

// One HTTP message; `first` is its first line.
struct message
{
    std::string first;
    headers fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string &lowerName) const
    {
        const auto found = fields.find(lowerName);
        return found == fields.end() ? std::string() : found->second;
    }
};

// Reads one message whose body has a length or is chunked. `rest` keeps what was read beyond it.
inline bool readMessage(int socket, std::string &rest, message &result, double until)
{
    const auto more = [&] {
        char bytes[65'536];
        for (;;) {
            const ssize_t count = ::recv(socket, bytes, sizeof bytes, MSG_DONTWAIT);
            if (count > 0) {
                rest.append(bytes, static_cast<std::size_t>(count));
                return true;
            }
            if (count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR))
                return false;
            if (!waitFor(socket, POLLIN, until))
                return false;
        }
    };
    std::size_t end = 0;
    while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return false;
    }
    result = {};
    std::istringstream lines(rest.substr(0, end + 2));
    rest.erase(0, end + 4);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (result.first.empty()) {
            result.first = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const std::size_t begin = line.find_first_not_of(' ', colon + 1);
        result.fields[name] = begin == std::string::npos ? "" : line.substr(begin);
    }
    if (result.field("transfer-encoding") == "chunked") {
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = rest.find("\r\n")) == std::string::npos) {
                if (!more())
                    return false;
            }
            const std::size_t size = std::stoul(rest.substr(0, lineEnd), nullptr, 16);
            while (rest.size() < lineEnd + 2 + size + 2) {
                if (!more())
                    return false;
            }
            result.body += rest.substr(lineEnd + 2, size);
            rest.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }
    const std::string length = result.field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (rest.size() < size) {
        if (!more())
            return false;
    }
    result.body = rest.substr(0, size);
    rest.erase(0, size);
    return true;
}

struct reply
{
    // 0 when there was no answer.
    int status = 0;
    message answer;
};

inline std::string requestText(const std::string &method, const std::string &path,
                               const headers &fields, const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "PUT" || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

// Sends one request on a connection of its own and closes that after the answer or the time limit.
inline reply call(const address &where, const std::string &method, const std::string &path,
                  headers fields, const std::string &body, double limit)
{
    const double until = seconds() + limit;
    reply result;
    const int socket = connectTo(where, until);
    if (socket < 0)
        return result;
    fields.try_emplace("Host", where.text());
    std::string rest;
    if (sendAll(socket, requestText(method, path, fields, body), until)
        && readMessage(socket, rest, result.answer, until) && result.answer.first.size() > 12)
        result.status = std::atoi(result.answer.first.c_str() + 9);
    ::close(socket);
    return result;
}

inline std::string newId()
{
    static std::mutex lock;
    static std::mt19937_64 engine(std::random_device{}());
    const std::lock_guard guard(lock);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(engine()));
    return text;
}

// A program of the project, started with the command of the deploy file. `restart` starts it again
// half a second after it has ended by itself, as the platform does.
class process
{
public:
    process(std::string name, std::string role, std::string settings, std::string folder)
        : m_name(std::move(name))
        , m_role(std::move(role))
        , m_settings(std::move(settings))
        , m_folder(std::move(folder))
    {
    }
    ~process() { end(); }
    process(const process &) = delete;
    process &operator=(const process &) = delete;

    void start()
    {
        std::ofstream(m_folder + "/" + m_name + ".ini") << m_settings;
        const std::lock_guard guard(m_lock);
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        // Ends with the script, however that ends. Processes are started in the main thread only.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log =
            ::open((m_folder + "/" + m_name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::setenv("KINGCUPTILLER_SETTINGS", (m_folder + "/" + m_name + ".ini").c_str(), 1);
        const char *const program = "target/bin/kingcuptiller-platform";
        if (::chdir(std::getenv("REVIEW_ROOT")) == 0)
            ::execl(program, program, m_role.c_str(), static_cast<char *>(nullptr));
        ::_exit(127);
    }

    void signal(int number)
    {
        const std::lock_guard guard(m_lock);
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    // Returns whether the process has ended by itself, and how.
    bool hasEnded(std::string &how)
    {
        const std::lock_guard guard(m_lock);
        int status = 0;
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return false;
        m_pid = 0;
        how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                  : "exit status " + std::to_string(WEXITSTATUS(status));
        return true;
    }

    void end()
    {
        const std::lock_guard guard(m_lock);
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }

    [[nodiscard]] pid_t pid() const { return m_pid; }
    [[nodiscard]] const std::string &name() const { return m_name; }

private:
    std::string m_name;
    std::string m_role;
    std::string m_settings;
    std::string m_folder;
    std::mutex m_lock;
    pid_t m_pid = 0;
};

struct zone
{
    std::string name;
    std::string region;
};

inline const std::vector<zone> &zones()
{
    static const std::vector<zone> all{{"luz-cubao", "luzon"},     {"vis-mandaue", "visayas"},
                                       {"min-lanang", "mindanao"}, {"luz-calamba", "luzon"},
                                       {"vis-jaro", "visayas"},    {"min-lapasan", "mindanao"}};
    return all;
}

// A machine that runs one process of the system.
struct machine
{
    std::string ip;
    std::string zoneName;
    std::unique_ptr<process> program;
};

// The machines of the system, with the bounds of the site stbc-kingcup.
class deployment
{
public:
    deployment(std::size_t controlCount, std::size_t entryCount)
    {
        char path[] = "/tmp/kingcuptiller-review-XXXXXX";
        if (::mkdtemp(path) == nullptr)
            throw std::runtime_error("no temporary folder");
        m_folder = path;
        chooseAddresses(controlCount, entryCount);
        for (std::size_t i = 0; i < controlCount; ++i)
            m_controls.push_back(makeMachine("control", i, std::min<std::size_t>(3, controlCount)));
        for (std::size_t i = 0; i < entryCount; ++i)
            m_entries.push_back(makeMachine("entry", i, std::min<std::size_t>(3, controlCount)));
    }
    ~deployment()
    {
        m_controls.clear();
        m_entries.clear();
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(m_folder);
        else
            std::printf("logs in %s\n", m_folder.c_str());
    }
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    void start()
    {
        for (auto &each : m_controls)
            each.program->start();
        for (auto &each : m_entries)
            each.program->start();
    }

    // Sends the first configuration until it is accepted, and waits until all entries are ready.
    bool configure(const std::string &manifest, double limit)
    {
        const double until = seconds() + limit;
        bool accepted = false;
        for (std::size_t i = 0; seconds() < until && !accepted; ++i) {
            accepted = call(control(i), "PUT", "/v1/config", {{"Content-Type", "application/json"}},
                            manifest, 1)
                           .status
                == 200;
            if (!accepted)
                pause(0.2);
        }
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            while (seconds() < until
                   && call({m_entries[i].ip, m_readyPort}, "GET", "/v1/ready", {}, "", 1).status
                       != 200)
                pause(0.1);
        }
        record("the first manifest is accepted, all entries are ready", true);
        return accepted && seconds() < until;
    }

    [[nodiscard]] address control(std::size_t i) const
    {
        return {m_controls[i % m_controls.size()].ip, m_controlPort};
    }
    [[nodiscard]] address front(std::size_t i) const
    {
        return {m_entries[i % m_entries.size()].ip, m_frontPort};
    }
    [[nodiscard]] address backend(std::size_t i) const
    {
        return {m_network + ".3." + std::to_string(i + 1), m_backendPort};
    }
    [[nodiscard]] std::vector<machine> &controls() { return m_controls; }
    [[nodiscard]] std::vector<machine> &entries() { return m_entries; }
    [[nodiscard]] const std::string &folder() const { return m_folder; }

    // The control host that leads, as its metrics say; the number of hosts when none says so.
    [[nodiscard]] std::size_t leader() const
    {
        for (std::size_t i = 0; i < m_controls.size(); ++i) {
            const reply metrics =
                call({m_controls[i].ip, m_metricsPort}, "GET", "/metrics", {}, "", 1);
            if (metrics.answer.body.find("kct_control_leading 1") != std::string::npos)
                return i;
        }
        return m_controls.size();
    }

private:
    static bool isFree(const address &where)
    {
        const int listener = listenOn(where);
        if (listener >= 0)
            ::close(listener);
        return listener >= 0;
    }

    void chooseAddresses(std::size_t controlCount, std::size_t entryCount)
    {
        std::mt19937 engine(std::random_device{}());
        for (int attempt = 0; attempt < 100; ++attempt) {
            m_network = "127." + std::to_string(20 + engine() % 200) + "."
                + std::to_string(engine() % 25 * 10);
            m_network = m_network.substr(0, m_network.rfind('.'));
            const int base = 20'000 + static_cast<int>(engine() % 9'000);
            m_frontPort = base;
            m_readyPort = base + 1;
            m_controlPort = base + 2;
            m_directoryPort = base + 3;
            m_metricsPort = base + 4;
            m_internalPort = base + 5;
            m_backendPort = base + 6;
            bool free = true;
            for (std::size_t i = 0; free && i < std::max(controlCount, entryCount) + 6; ++i) {
                for (int port = base; free && port < base + 7; ++port)
                    for (const char *kind : {".1.", ".2.", ".3."})
                        free = free && isFree({m_network + kind + std::to_string(i + 1), port});
            }
            if (free)
                return;
        }
        throw std::runtime_error("no free ports");
    }

    machine makeMachine(const std::string &role, std::size_t i, std::size_t seedCount) const
    {
        const bool isControl = role == "control";
        machine result;
        result.ip = m_network + (isControl ? ".1." : ".2.") + std::to_string(i + 1);
        const zone &place = zones()[i % zones().size()];
        result.zoneName = place.name;
        const std::string name = role + "-" + std::to_string(i + 1);
        const auto listen = [&](bool serves, int port) {
            return serves ? result.ip + ":" + std::to_string(port) : std::string();
        };
        std::ostringstream text;
        text << "[host]\nname = " << name << "\naddress = " << result.ip
             << "\nzone = " << place.name << "\nregion = " << place.region
             << "\n\n[places]\nzones =\n";
        for (const zone &each : zones())
            text << "  " << each.name << "=" << each.region << ",\n";
        text << "\n[listen]\ntraffic = " << listen(!isControl, m_frontPort)
             << "\nready = " << listen(!isControl, m_readyPort)
             << "\ncontrol = " << listen(isControl, m_controlPort)
             << "\ndirectory = " << listen(!isControl, m_directoryPort)
             << "\nmetrics = " << listen(true, m_metricsPort)
             << "\ninternal_port = " << m_internalPort << "\n\n[control]\nseeds = ";
        for (std::size_t seed = 0; seed < seedCount; ++seed)
            text << (seed > 0 ? "," : "") << m_network << ".1." << seed + 1 << ":" << m_controlPort;
        text << "\nfounding = true\ndata_folder = "
             << (isControl ? m_folder + "/" + name + "-data" : std::string())
             << "\n\n[process]\nshutdown_limit = 6 s\n\n[directory]\nlongest_lifetime = 5 s\n\n"
             << "[retries]\nshare = 0.2\nslack = 64\nwindow = 10 s\n\n"
             << "[steering]\nlargest_shift = 0.15\n";
        result.program = std::make_unique<process>(name, role, text.str(), m_folder);
        return result;
    }

    std::string m_folder;
    std::string m_network;
    int m_frontPort = 0;
    int m_readyPort = 0;
    int m_controlPort = 0;
    int m_directoryPort = 0;
    int m_metricsPort = 0;
    int m_internalPort = 0;
    int m_backendPort = 0;
    std::vector<machine> m_controls;
    std::vector<machine> m_entries;
};

inline std::string serviceResource(const std::string &name)
{
    return R"({"resourceKind":"services","metadata":{"name":")" + name
        + R"("},"spec":{"healthPath":"/health","maxConnections":390,"protocol":"h1","tls":false,)"
          R"("coldStartS":3.0,"coldPerS":8.0}},)";
}

// A manifest with one route to one service, and perhaps a further service without a route.
inline std::string manifest(const std::string &kind, int timeoutMs,
                            const std::string &furtherService = "")
{
    return R"({"version":"r1","baseVersion":"r0","resources":[)"
           R"({"resourceKind":"routes","metadata":{"name":"r-review"},"spec":{)"
           R"("host":"review.example","pathPrefix":"/review/","kind":")"
        + kind + R"(","timeoutMs":)" + std::to_string(timeoutMs)
        + R"(,"targetLatencyMs":600,"priority":1,"service":"svc-review","maxAttempts":2,)"
          R"("sessionAffinity":false,"allowedRegions":[]}},)"
        + serviceResource("svc-review")
        + (furtherService.empty() ? std::string() : serviceResource(furtherService))
        + R"({"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,)"
          R"("maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]})";
}

// The body of a heartbeat.
inline std::string heartbeatBody(const std::string &where, const std::string &service,
                                 const std::string &zoneName, const std::string &state,
                                 std::int64_t born, std::uint64_t sequence, int coldMs = 0)
{
    return R"({"address":")" + where + R"(","born":)" + std::to_string(born)
        + R"(,"info":{"service":")" + service + R"(","version":"v1","zone":")" + zoneName
        + R"(","slots":8},"status":{"state":")" + state + R"(","sequence":)"
        + std::to_string(sequence) + R"(,"coldRemainingMs":)" + std::to_string(coldMs) + "}}";
}

// A backend: it announces itself every 1.5 s, runs the requests that name its id, and counts them.
class backend
{
public:
    struct run
    {
        double at = 0;
        std::string request;
    };

    backend(deployment &fleet, std::size_t number, std::string id, int workMs, double coldS = 0)
        : m_fleet(fleet)
        , m_where(fleet.backend(number))
        , m_zone(zones()[number % zones().size()].name)
        , m_id(std::move(id))
        , m_workMs(workMs)
        , m_next(number)
        , m_born(unixMs())
        , m_coldUntil(seconds() + coldS)
        , m_listener(listenOn(m_where))
    {
        if (m_listener < 0)
            throw std::runtime_error("a backend cannot listen on " + m_where.text());
        m_threads.emplace_back([this] { acceptAll(); });
        m_threads.emplace_back([this] { beat(); });
    }
    ~backend()
    {
        m_ended = true;
        ::shutdown(m_listener, SHUT_RDWR);
        for (auto &each : m_threads)
            each.join();
        while (m_open > 0)
            pause(0.02);
        ::close(m_listener);
    }
    backend(const backend &) = delete;
    backend &operator=(const backend &) = delete;

    // Sends one heartbeat as pages say: to the next control host when one does not acknowledge it
    // within a second. Returns whether it was acknowledged.
    bool announce()
    {
        const std::lock_guard guard(m_beating);
        const std::string state = m_draining ? "draining" : "ready";
        const int coldMs = std::max(static_cast<int>((m_coldUntil - seconds()) * 1'000), 0);
        ++m_sequence;
        for (std::size_t i = 0; i < m_fleet.controls().size() && !m_ended; ++i, ++m_next) {
            const reply answer = call(m_fleet.control(m_next), "PUT", "/v1/instances/" + m_id,
                                      {{"Content-Type", "application/json"}},
                                      heartbeatBody(m_where.text(), "svc-review", m_zone, state,
                                                    m_born, m_sequence, coldMs),
                                      1);
            if (answer.status >= 200 && answer.status < 300) {
                if (coldMs > 0)
                    record(m_id + " is cold for " + std::to_string(coldMs) + " ms: acknowledged by "
                               + m_fleet.control(m_next).text(),
                           true);
                if (m_draining)
                    record(m_id + " is draining: acknowledged by " + m_fleet.control(m_next).text(),
                           true);
                return true;
            }
        }
        return false;
    }

    void setDraining() { m_draining = true; }
    void setColdUntil(double end) { m_coldUntil = end; }
    // The body of the next heartbeat, which the caller sends itself.
    std::string nextHeartbeat()
    {
        const std::lock_guard guard(m_beating);
        return heartbeatBody(m_where.text(), "svc-review", m_zone, "ready", m_born, ++m_sequence);
    }
    // The process of the backend ends; what it runs at this moment is lost.
    void exit()
    {
        m_crashed = true;
        ::shutdown(m_listener, SHUT_RDWR);
        record(m_id + " exits", true);
    }
    // Sends no more heartbeats, and goes on serving.
    void stopBeating() { m_silent = true; }
    [[nodiscard]] const std::string &id() const { return m_id; }
    [[nodiscard]] const std::string &zoneName() const { return m_zone; }
    [[nodiscard]] const address &where() const { return m_where; }
    [[nodiscard]] std::vector<run> runs()
    {
        const std::lock_guard guard(m_counting);
        return m_runs;
    }
    [[nodiscard]] std::size_t runsBetween(double from, double to)
    {
        const auto all = runs();
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const run &each) {
            return each.at >= from && each.at < to;
        }));
    }

private:
    // Three times the rate that the manifest says a cold backend tolerates, and one.
    static constexpr std::size_t coldCrashPerSecond = 25;

    void beat()
    {
        while (!m_ended) {
            if (!m_silent && !m_crashed)
                announce();
            for (int i = 0; i < 15 && !m_ended; ++i)
                pause(0.1);
        }
    }

    void acceptAll()
    {
        while (!m_ended && !m_crashed) {
            const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            ++m_open;
            std::thread([this, socket] {
                serve(socket);
                ::close(socket);
                --m_open;
            }).detach();
        }
    }

    // While cold, a backend crashes at a rate well above the one that it tolerates.
    void crashWhenOverloaded()
    {
        if (seconds() >= m_coldUntil || m_crashed
            || runsBetween(seconds() - 1, seconds()) <= coldCrashPerSecond)
            return;
        m_crashed = true;
        record(m_id + " crashes: more than " + std::to_string(coldCrashPerSecond)
                   + " requests in one second while it is cold",
               true);
    }

    void serve(int socket)
    {
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string rest;
        while (!m_ended && !m_crashed) {
            if (rest.empty() && !waitFor(socket, POLLIN, seconds() + 0.2))
                continue;
            message request;
            if (!readMessage(socket, rest, request, seconds() + 10))
                return;
            const std::string attempt = request.field("kingcuptiller-attempt-id");
            const std::string expected = request.field("kingcuptiller-expect-instance");
            std::string head = "HTTP/1.1 200 OK\r\n";
            std::string body = "done by " + m_id + "\n";
            if (!expected.empty() && expected != m_id) {
                head = "HTTP/1.1 421 Misdirected Request\r\nKingcuptiller-Not-Executed: 1\r\n";
                body = "";
            } else {
                {
                    const std::lock_guard guard(m_counting);
                    m_runs.push_back({seconds(), attempt});
                }
                record(m_id + " runs " + attempt);
                crashWhenOverloaded();
                pause(m_workMs / 1'000.0);
                if (m_crashed)
                    return;
                head += "Kingcuptiller-Response-Seal: " + attempt + "." + m_id + "\r\n";
            }
            head += "Kingcuptiller-Attempt-Id: " + attempt + "\r\n"
                + "Kingcuptiller-Server-Load: 1,0,8\r\nKeep-Alive: timeout=10\r\n"
                + (m_draining ? "Connection: close\r\n" : "")
                + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            if (!sendAll(socket, head + body, seconds() + 5) || m_draining)
                return;
        }
    }

    deployment &m_fleet;
    address m_where;
    std::string m_zone;
    std::string m_id;
    int m_workMs;
    std::size_t m_next;
    std::int64_t m_born;
    std::uint64_t m_sequence = 0;
    std::atomic<double> m_coldUntil;
    int m_listener;
    std::mutex m_beating;
    std::mutex m_counting;
    std::vector<run> m_runs;
    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_silent = false;
    std::atomic<bool> m_crashed = false;
    std::atomic<bool> m_ended = false;
    std::atomic<int> m_open = 0;
    std::vector<std::thread> m_threads;
};

// Clients that send a request to each entry in turn, `perSecond` in all, until the object ends.
class clients
{
public:
    clients(deployment &fleet, std::string method, double perSecond)
        : m_fleet(fleet)
        , m_method(std::move(method))
    {
        // Each thread waits for its answers, so it sends only a few requests a second.
        const double entries = static_cast<double>(m_fleet.entries().size());
        const auto threads = static_cast<std::size_t>(perSecond / entries / threadRate) + 1;
        for (std::size_t i = 0; i < m_fleet.entries().size(); ++i) {
            for (std::size_t thread = 0; thread < threads; ++thread)
                m_threads.emplace_back([this, i, thread, threads, entries, perSecond] {
                    const double interval = entries * static_cast<double>(threads) / perSecond;
                    pause(interval * static_cast<double>(thread) / static_cast<double>(threads));
                    run(i, interval);
                });
        }
    }
    ~clients()
    {
        m_ended = true;
        for (auto &each : m_threads)
            each.join();
    }
    clients(const clients &) = delete;
    clients &operator=(const clients &) = delete;

    [[nodiscard]] std::map<int, std::size_t> statuses()
    {
        const std::lock_guard guard(m_counting);
        return m_statuses;
    }

private:
    static constexpr double threadRate = 5;

    void run(std::size_t entry, double interval)
    {
        while (!m_ended) {
            const double begin = seconds();
            const std::string id = newId();
            const reply answer = call(m_fleet.front(entry), m_method, "/review/item",
                                      {{"Host", "review.example"},
                                       {"Kingcuptiller-Attempt-Id", id},
                                       {"Kingcuptiller-Deadline-Ms", "4000"}},
                                      m_method == "GET" ? "" : "work", 4);
            record("client " + id + " by " + m_fleet.entries()[entry].program->name() + ": "
                   + std::to_string(answer.status));
            {
                const std::lock_guard guard(m_counting);
                ++m_statuses[answer.status];
            }
            pause(begin + interval - seconds());
        }
    }

    deployment &m_fleet;
    std::string m_method;
    std::mutex m_counting;
    std::map<int, std::size_t> m_statuses;
    std::atomic<bool> m_ended = false;
    std::vector<std::thread> m_threads;
};

// An order of the operator: sent to one control host after the other, beginning with `first`, until
// one acknowledges it. Returns the time of the acknowledgement, or a negative number.
inline double order(deployment &fleet, const std::string &method, const std::string &path,
                    std::size_t first, double limit)
{
    const double until = seconds() + limit;
    double backoff = 0.1;
    for (std::size_t i = first; seconds() < until; ++i) {
        const std::string host = fleet.control(i).text();
        record("operator sends " + method + " " + path + " to " + host, true);
        const reply answer = call(fleet.control(i), method, path, {}, "", 1);
        record("operator gets " + (answer.status == 0 ? "no answer" : std::to_string(answer.status))
                   + " from " + host,
               true);
        if (answer.status >= 200 && answer.status < 300)
            return seconds();
        pause(backoff);
        backoff *= 2;
    }
    return -1;
}

// Runs a script to its end and returns its exit code.
inline int runScript(const std::function<int()> &play)
{
    ::signal(SIGPIPE, SIG_IGN);
    try {
        const int result = play();
        record("result " + std::to_string(result), true);
        return result;
    } catch (const std::exception &failure) {
        record(failure.what(), true);
        return couldNotRun;
    }
}

} // namespace review
